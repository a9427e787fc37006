"""Reads the configuration file at each SIGHUP, with retries if it can't be read."""

from collections.abc import Callable

from fennelwind.loop.scheduler import Loop
from fennelwind.loop.syscall_retry import retried

RETRY_PAUSES_MS = (50.0, 100.0, 200.0, 400.0, 800.0)  # ms; a new file must have taken effect after 4 s


def read_text(path: str) -> str:
    """Return a file's text. Raises `OSError` or `UnicodeDecodeError`."""
    with open(path, encoding="utf-8") as file:
        return file.read()


class Reloader:
    """Reads and applies the file at each request, one read at a time.

    A SIGHUP during a read causes another read, since the file may have changed after it was read.
    """

    def __init__(
        self, loop: Loop, path: str, apply: Callable[[str], None], log: Callable[[str, str], None]
    ) -> None:
        """Initialize; `apply` takes the text of the file at `path`, `log` a failure's kind and text."""
        self.loop, self.path, self.apply, self.log = loop, path, apply, log
        self._is_requested = self._is_running = False

    def request(self) -> None:
        """Read the file in a separate task, where an exception does not end the program."""
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
