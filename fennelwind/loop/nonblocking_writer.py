"""A descriptor that takes bytes at once or not at all: no line of a log is worth a wait of the loop."""

import os
import select


class Outlet:
    """A pipe, a file or a terminal beneath a stream of text."""

    def __init__(self, fd: int) -> None:
        """Take a descriptor. Raises `OSError` if it is none."""
        self.fd = fd
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)

    def write(self, rest: bytes) -> None:
        """Write so much at once that a pipe which is ready takes it without waiting.

        Raises `BlockingIOError` where nobody reads, and what the system says of a full disk or a closed end.
        """
        while rest:
            if not self._poll.poll(0):
                raise BlockingIOError
            rest = rest[os.write(self.fd, rest[: select.PIPE_BUF]) :]
