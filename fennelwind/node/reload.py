"""Reads the configuration file at each SIGHUP, and again where it can't be read for a moment."""

from collections.abc import Callable

from fennelwind.loop.scheduler import Loop
from fennelwind.loop.syscall_retry import retried

RETRY_PAUSES_MS = (50.0, 100.0, 200.0, 400.0, 800.0)  # ms; a new file has to hold after 4 s


def read_text(path: str) -> str:
    """Return a file's text. Raises `OSError` and `UnicodeDecodeError`."""
    with open(path, encoding="utf-8") as file:
        return file.read()


class Reloader:
    """Applies the file at each request; one reading at a time, always of the newest file.

    A SIGHUP that comes while the file is read has it read once more: its contents may have been read before.
    """

    def __init__(
        self, loop: Loop, path: str, apply: Callable[[str], None], log: Callable[[str, str], None]
    ) -> None:
        """Read the file at `path`; `apply` takes its text, `log` the kind and text of a failure's line."""
        self.loop, self.path, self.apply, self.log = loop, path, apply, log
        self._is_requested = self._is_running = False

    def request(self) -> None:
        """Have the file read, in a task of its own: an exception there does not end the program."""
        self._is_requested = True
        if not self._is_running:
            self._is_running = True
            self.loop.spawn(self._run, name="reload")

    def _run(self) -> None:
        try:
            while self._is_requested:
                self._is_requested = False
                self._read()
        finally:
            self._is_running = False

    def _read(self) -> None:
        try:
            text = retried(self.loop, lambda: read_text(self.path), RETRY_PAUSES_MS, lambda _: True)
        except (OSError, UnicodeDecodeError) as exc:
            self.log("reload", f"the settings are as before, until the next SIGHUP: {exc}")
        else:
            self.apply(text)
