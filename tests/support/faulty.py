"""Fault injection for system calls of a separate process; call `install` before the program starts.

A JSON file maps the name of a call to the name of the error with which it fails while the entry is there.
"sizes" makes `send` and `recv` handle one byte at a time; "wall" steps the wall clock by that many seconds.
`recv` fails only on connections that the program opened itself. A call without an entry is not changed.
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

REAL_SOCKET, REAL_OPEN, REAL_PIPE, REAL_CLOCK = socket.socket, builtins.open, os.pipe, time.time


def install(path: str) -> None:
    """Replace the system calls by ones that fail as the file at `path` says."""
    file = Path(path)

    def configured_fault(call: str) -> str:
        try:
            with REAL_OPEN(file, encoding="utf-8") as stream:
                return json.load(stream).get(call, "")
        except (OSError, ValueError):
            return ""

    def fail(call: str) -> None:
        name = configured_fault(call)
        if name:
            number = getattr(errno, name)
            raise OSError(number, os.strerror(number))

    class FaultySocket(REAL_SOCKET):
        def __init__(self, *args, **kwargs) -> None:
            if "fileno" not in kwargs:
                fail("socket")
            super().__init__(*args, **kwargs)

        def accept(self):
            fail("accept")
            fd, address = self._accept()
            return FaultySocket(self.family, self.type, self.proto, fileno=fd), address

        def connect_ex(self, address):
            self.is_outgoing = True
            name = configured_fault("connect")
            return getattr(errno, name) if name else super().connect_ex(address)

        def setsockopt(self, *args):
            fail("setsockopt")
            return super().setsockopt(*args)

        def send(self, data, *flags):
            fail("send")
            return super().send(data[:1] if configured_fault("sizes") else data, *flags)

        def recv(self, size, *flags):
            if getattr(self, "is_outgoing", False) and not flags:
                fail("recv")
            return super().recv(1 if configured_fault("sizes") and not flags else size, *flags)

    def faulty_open(name, *args, **kwargs):
        if str(name) == os.environ["RELAY_CONFIG"]:
            fail("open")
        return REAL_OPEN(name, *args, **kwargs)

    def faulty_pipe():
        fail("pipe")
        return REAL_PIPE()

    def stepped_time() -> float:
        return REAL_CLOCK() + float(configured_fault("wall") or 0.0)

    time.time = stepped_time
    socket.socket, builtins.open, os.pipe = FaultySocket, faulty_open, faulty_pipe


def install_disk(path: str) -> None:
    """Make file writes and syncs fail as the file at `path` says.

    "half" writes half of the data and kills the process.
    """
    from fennelwind.loop import realdisk

    file, real_write, real_sync, real_fsync = Path(path), os.write, realdisk._sync, os.fsync

    def fail(call: str) -> str:
        try:
            fault = json.loads(file.read_text(encoding="utf-8")).get(call, "")
        except (OSError, ValueError):
            return ""
        if fault and fault != "half":
            raise OSError(getattr(errno, fault), os.strerror(getattr(errno, fault)))
        return fault

    def write(fd: int, data) -> int:
        if not stat.S_ISREG(os.fstat(fd).st_mode):
            return real_write(fd, data)
        if fail("write") == "half":
            real_write(fd, data[: max(1, len(data) // 2)])
            os.kill(os.getpid(), signal.SIGKILL)
        return real_write(fd, data)

    def sync(fd: int) -> None:
        fail("sync")
        real_sync(fd)

    def fsync(fd: int) -> None:
        fail("sync")
        real_fsync(fd)

    os.write, realdisk._sync, os.fsync = write, sync, fsync
