"""System calls that fail as a file says, in a program of its own; `install` goes ahead of the program.

The file holds the name of an error by that of a call: while it does, the call fails so. "sizes" lets `send`
and `recv` handle one byte at a time, "wall" steps the wall clock by so many seconds. `recv` fails on
connections that the program made itself. Without an entry a call is the system's own.
"""

import builtins
import errno
import json
import os
import signal
import socket
import stat
import time
from pathlib import Path

PLAIN, PLAIN_OPEN, PLAIN_PIPE, PLAIN_CLOCK = socket.socket, builtins.open, os.pipe, time.time


def install(path: str) -> None:
    """Put the failing calls in the place of the system's."""
    file = Path(path)

    def trouble(call: str) -> str:
        try:
            with PLAIN_OPEN(file, encoding="utf-8") as held:
                return json.load(held).get(call, "")
        except (OSError, ValueError):
            return ""

    def fail(call: str) -> None:
        name = trouble(call)
        if name:
            number = getattr(errno, name)
            raise OSError(number, os.strerror(number))

    class FaultySocket(PLAIN):
        def __init__(self, *args, **more) -> None:
            if "fileno" not in more:
                fail("socket")
            super().__init__(*args, **more)

        def accept(self):
            fail("accept")
            fd, address = self._accept()
            return FaultySocket(self.family, self.type, self.proto, fileno=fd), address

        def connect_ex(self, address):
            self.outward = True
            name = trouble("connect")
            return getattr(errno, name) if name else super().connect_ex(address)

        def setsockopt(self, *args):
            fail("setsockopt")
            return super().setsockopt(*args)

        def send(self, data, *flags):
            fail("send")
            return super().send(data[:1] if trouble("sizes") else data, *flags)

        def recv(self, size, *flags):
            if getattr(self, "outward", False) and not flags:
                fail("recv")
            return super().recv(1 if trouble("sizes") and not flags else size, *flags)

    def faulty_open(name, *args, **more):
        if str(name) == os.environ["RELAY_CONFIG"]:
            fail("open")
        return PLAIN_OPEN(name, *args, **more)

    def faulty_pipe():
        fail("pipe")
        return PLAIN_PIPE()

    def stepped() -> float:
        return PLAIN_CLOCK() + float(trouble("wall") or 0.0)

    time.time = stepped
    socket.socket, builtins.open, os.pipe = FaultySocket, faulty_open, faulty_pipe


def install_disk(path: str) -> None:
    """Let writes and syncs of files fail as the file says; "half" writes a half and kills the process."""
    from fennelwind.loop import realdisk

    file, plain_write, plain_sync, plain_names = Path(path), os.write, realdisk._sync, os.fsync

    def fail(call: str) -> str:
        try:
            held = json.loads(file.read_text(encoding="utf-8")).get(call, "")
        except (OSError, ValueError):
            return ""
        if held and held != "half":
            raise OSError(getattr(errno, held), os.strerror(getattr(errno, held)))
        return held

    def write(fd: int, data) -> int:
        if not stat.S_ISREG(os.fstat(fd).st_mode):
            return plain_write(fd, data)
        if fail("write") == "half":
            plain_write(fd, data[: max(1, len(data) // 2)])
            os.kill(os.getpid(), signal.SIGKILL)
        return plain_write(fd, data)

    def sync(fd: int) -> None:
        fail("sync")
        plain_sync(fd)

    def sync_names(fd: int) -> None:
        fail("sync")
        plain_names(fd)

    os.write, realdisk._sync, os.fsync = write, sync, sync_names
