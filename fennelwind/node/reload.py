"""Reads the configuration file at each SIGHUP, and again where it can't be read for a moment."""

from collections.abc import Callable

from fennelwind.loop.scheduler import Loop
from fennelwind.loop.syscall_retry import retried

RETRY_PAUSES_MS = (50.0, 100.0, 200.0, 400.0, 800.0)  # ms; all that a new file tells counts as told after 4 s


def read_text(path: str) -> str:
    """Return a file's text. Raises `OSError` and `UnicodeDecodeError`."""
    with open(path, encoding="utf-8") as file:
        return file.read()


class Reloader:
    """Hands the file's text on at each request; one reading at a time, always of the newest file."""

    def __init__(
        self, loop: Loop, path: str, take: Callable[[str], None], log: Callable[[str, str], None]
    ) -> None:
        """Take the file's path, who is handed its text, and who is told of a failure: a sort and a text."""
        self.loop, self.path, self.take, self.log = loop, path, take, log
        self._requested = self._running = False

    def ask(self) -> None:
        """Have the file read, in a task of its own: what breaks there ends no program."""
        self._requested = True
        if not self._running:
            self._running = True
            self.loop.spawn(self._run, name="reload")

    def _run(self) -> None:
        try:
            while self._requested:
                self._requested = False
                self._read()
        finally:
            self._running = False

    def _read(self) -> None:
        try:
            text = retried(self.loop, lambda: read_text(self.path), RETRY_PAUSES_MS, lambda _: True)
        except (OSError, UnicodeDecodeError) as exc:
            self.log("reload", f"the settings are as before, until the next SIGHUP: {exc}")
        else:
            self.take(text)
