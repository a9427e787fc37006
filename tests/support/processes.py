"""Real processes over loopback: the command of `run` beside plain sockets of executors and clients.

Times are seconds of the system's monotonic clock, which all processes of a machine share. Bounds that a test
compares with are written here and in the tests from the pages, never taken from the program's constants.
"""

import search_paths  # noqa: F401 - for a play that is run by hand

# isort: split

import json
import os
import re
import select
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import msgpack
from nodes import SETTINGS, config_text, first_page, instance, nodes_event
from test_node_run import ROOT, WAIT_S, command, listening, serve_channel

LONGEST_COUNTED_MS, KILL_MS = 3000.0, 700.0  # protocol: SIGKILL, counted from SIGTERM
LEFT_S = 0.1  # standing: an attempt that begins later, after its client left, is lost
DEADLINE_SLACK_S = 0.15  # terms: of the deadline that an executor is told
LAST_DATA_RECEIVED = 52  # of tcp_info: the offset of the ms since data came last
UNASKED_S = 2.0  # protocol: a query that is not asked for so long has gone
UNTIL_STEP_S = 0.005


@dataclass
class Post:
    """An attempt as it came to an executor."""

    query: str
    whole_at: float
    headers: dict[str, str]
    executor: "ThreadedExecutor"
    asked_at: float  # when it was last asked for
    ended_at: float | None = None  # when its end was written, or it was given up
    never_ran: bool = False  # and so its executor said

    def out_until(self) -> float:
        """Return until when the attempt is out, as the protocol has it."""
        return self.asked_at + UNASKED_S if self.ended_at is None else self.ended_at


class ThreadedExecutor:
    """An executor on plain sockets.

    `serves` False: it accepts and answers nothing; `accepts` False: its queue of connections is full until
    `accept` is called, and what is dialled then comes up when the kernel tries again, a second later.
    """

    def __init__(self, work_s: float = 0.0, serves: bool = True, accepts: bool = True) -> None:
        self.work_s, self.serves = work_s, serves
        self.sock, self.address = listening()
        self.sock.settimeout(None)
        self.posts: list[Post] = []
        self.ends: dict[str, float] = {}
        self.latest: dict[str, Post] = {}  # attempt by query
        self.deleted: list[str] = []
        self.held: list[socket.socket] = []
        if accepts:
            self.accept()
        else:
            self.sock.listen(0)
            self.held = [socket.socket() for _ in range(4)]
            for sock in self.held:
                sock.setblocking(False)
                sock.connect_ex(self.sock.getsockname())

    def accept(self) -> None:
        """Take connections from now on."""
        for sock in self.held:
            sock.close()
        threading.Thread(target=self._accept, daemon=True).start()

    def queries(self) -> list[str]:
        """Return the ids of all attempts, in order."""
        return [post.query for post in self.posts]

    def _accept(self) -> None:
        while True:
            try:
                peer, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(peer,), daemon=True).start()

    def _serve(self, peer: socket.socket) -> None:
        data = b""
        with peer, suppress(OSError):
            while True:
                while b"\r\n\r\n" not in data:
                    data += self._more(peer)
                head, data = data.split(b"\r\n\r\n", 1)
                first, *lines = head.decode().split("\r\n")
                fields = dict(line.split(": ", 1) for line in lines)
                length = int(fields.get("Content-Length", "0"))
                while len(data) < length:
                    data += self._more(peer)
                data = data[length:]
                verb, path, _ = first.split(" ")
                fields["arrived"] = str(came_at(peer))
                answer = self._answer(verb, path, fields)
                self._note_end(verb, fields["X-Req"] if verb == "POST" else path.split("/")[2], answer)
                if self.serves:
                    peer.sendall(answer)

    def _note_end(self, verb: str, query: str, answer: bytes) -> None:
        post = self.latest.get(query)
        if post is None or verb == "PUT" or b" 202 " in answer or post.ended_at is not None:
            return
        if self.serves or verb == "DELETE":
            post.ended_at = time.monotonic()
        post.never_ran = b"X-Not-Run: 1" in answer

    @staticmethod
    def _more(peer: socket.socket) -> bytes:
        more = peer.recv(65536)
        if not more:
            raise OSError("ended")
        return more

    def _answer(self, verb: str, path: str, fields: dict[str, str]) -> bytes:
        now = time.monotonic()
        if verb == "POST":
            query = fields["X-Req"]
            self.latest[query] = Post(query, float(fields["arrived"]), fields, self, now)
            self.posts.append(self.latest[query])
            self.ends[query] = now + self.work_s
        else:
            query = path.split("/")[2]
        if verb == "GET" and query in self.latest:
            self.latest[query].asked_at = now
        if verb == "DELETE":
            self.deleted.append(query)
            self.ends.pop(query, None)
            return b"HTTP/1.1 204 Done\r\n\r\n"
        ends = self.ends.get(query)
        if ends is None:
            return b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
        time.sleep(max(0.0, min(0.25, ends - now)))
        if time.monotonic() < ends:
            return b"HTTP/1.1 202 Wait\r\nContent-Length: 0\r\n\r\n"
        return first_page()


class SlowChannel:
    """A channel that lets each question wait; `slow_s(k)` for the k-th, None: for ever."""

    def __init__(self, slow_s):
        self.slow_s, self.events, self.asked = slow_s, [], 0
        self.sock, self.address = listening()
        self.sock.settimeout(None)
        threading.Thread(target=self._accept, daemon=True).start()

    def tell(self, cursor, *instances):
        """Add an event."""
        self.events.append((cursor, json.dumps(nodes_event(cursor, instances)).encode()))

    def _accept(self):
        with suppress(OSError):
            while True:
                peer, _ = self.sock.accept()
                threading.Thread(target=self._serve, args=(peer, self.asked), daemon=True).start()
                self.asked += 1

    def _serve(self, peer, number):
        with suppress(OSError):
            last = int(re.search(rb"Last-Event-ID: (\d+)", peer.recv(4096))[1])
            slow = self.slow_s(number)
            time.sleep(1000.0 if slow is None else slow)
            peer.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
            commented = 0.0
            while True:
                for cursor, data in [event for event in self.events if event[0] > last]:
                    peer.sendall(b"id: %d\ndata: %s\n\n" % (cursor, data))
                    last = cursor
                if time.monotonic() > commented + 1.0:
                    commented = time.monotonic()
                    peer.sendall(b":\n\n")
                time.sleep(0.02)


class Controller:
    """The command of `run` as a process; `before` is Python run in it ahead of the program."""

    def __init__(
        self, folder, executors, *, before: str = "", instances=None, channel: str = "", **told: Any
    ) -> None:
        self.path = folder / "config.json"
        self.channel, own = listening()
        self.asked: list[tuple[bytes, socket.socket]] = []
        free, self.listen = listening()
        free.close()
        instances = instances or [
            instance(f"s-{k}", k) | {"hostPort": each.address} for k, each in enumerate(executors, 1)
        ]
        self.told = json.loads(config_text(instances, **told))
        self.told |= {"listen": self.listen, "channel": channel or own}
        self.write()
        threading.Thread(target=serve_channel, args=(self.channel, self.asked), daemon=True).start()
        line = command()
        if before:
            module = line[line.index("-m") + 1]
            line = [
                sys.executable,
                "-c",
                f"{before}\nimport runpy; runpy.run_module({module!r}, None, '__main__')",
            ]
        self.process = subprocess.Popen(
            line,
            cwd=ROOT,
            env=os.environ | {"RELAY_CONFIG": str(self.path)},
            stderr=subprocess.PIPE,
            text=True,
        )
        self.lines: list[str] = []
        threading.Thread(target=self._read, daemon=True).start()
        self.expect("listening")

    def write(self, **changes: Any) -> None:
        """Replace the configuration file, as a whole."""
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(self.told | changes), encoding="utf-8")
        os.replace(fresh, self.path)

    def _read(self) -> None:
        with suppress(ValueError):  # closed at the end
            for line in self.process.stderr:
                self.lines.append(line)

    def expect(self, words: str) -> str:
        """Wait until a line of the log holds the words; return it."""
        until(lambda: any(words in line for line in self.lines) or self.process.poll() is not None)
        until(lambda: any(words in line for line in self.lines), 1.0)
        return next(line for line in self.lines if words in line)

    def signal(self, number: int) -> float:
        """Send a signal; return when."""
        self.process.send_signal(number)
        return time.monotonic()

    @staticmethod
    def killed_after_s(longest_ms: float) -> float:
        """Return how soon after SIGTERM SIGKILL may come, where classes wait so long at most."""
        return (min(longest_ms, LONGEST_COUNTED_MS) + KILL_MS) / 1000.0

    def end(self) -> None:
        """End the process, whatever state it is in."""
        with suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.process.stderr.close()
        self.channel.close()


@dataclass
class Request:
    """A request as its client knows it."""

    query: str
    sent_at: float
    wait_s: float
    cls: str
    answers: list[tuple[float, Any, Any]] = field(default_factory=list)  # when, error and result


class ThreadedClient:
    """A client's connection on a plain socket; a thread reads what comes."""

    def __init__(self, controller: Controller, reads: bool = True, receive_bytes: int = 0) -> None:
        host, port = controller.listen.rsplit(":", 1)
        self.sock = socket.socket()
        self.sock.settimeout(WAIT_S)
        if receive_bytes:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.sock.connect((host, int(port)))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.requests: dict[int, Request] = {}
        self.number, self.reads = 0, reads
        self.ended_at: float | None = None
        self.reset = False
        if reads:
            self.read()

    def read(self) -> None:
        """Read what comes from now on."""
        self.reads = True
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        unpacker = msgpack.Unpacker(raw=False)
        while True:
            try:
                data = self.sock.recv(65536)
            except OSError as exc:
                self.reset, data = isinstance(exc, ConnectionResetError), b""
            if not data:
                self.ended_at = time.monotonic()
                return
            unpacker.feed(data)
            for _, number, error, result in unpacker:
                if number in self.requests:
                    self.requests[number].answers.append((time.monotonic(), error, result))

    def pack(
        self,
        query: str,
        cls: str = "lookup",
        wait_ms: float = 1500,
        statement: bytes = b"select 1",
        work_ms: float = 10.0,
    ) -> bytes:
        """Return the bytes of a request that counts as sent now."""
        self.number += 1
        told = {"i": query, "d": f"{wait_ms:.0f}", "t": "acme", "h": f"{work_ms:.1f}", "mb": "16"}
        raw = msgpack.packb([0, self.number, cls, [told, statement]])
        self.requests[self.number] = Request(query, time.monotonic(), wait_ms / 1000.0, cls)
        return raw

    def send_request(self, query: str, *args: Any, **more: Any) -> Request:
        """Send a request. Raises `OSError` where the connection has ended, as the kernel knows."""
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        if poll.poll(0):
            raise ConnectionResetError("the controller has closed the connection")
        raw = self.pack(query, *args, **more)
        request = self.requests[self.number]
        request.sent_at = time.monotonic()
        self.sock.sendall(raw)
        return request

    def forget(self, number: int) -> None:
        """Withdraw a request."""
        self.sock.sendall(msgpack.packb([2, "forget", [number]]))

    def close(self, reset: bool = False) -> None:
        """Close the connection, by a reset if asked for."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD if reset else socket.SHUT_RDWR)
        if self.reads:
            until(lambda: self.ended_at is not None)  # else the kernel would keep it for who reads
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


def came_at(sock: socket.socket) -> float:
    """Return when the last bytes came, by the kernel's account: a thread may have its turn much later."""
    now = time.monotonic()
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED + 4)
    return now - struct.unpack_from("I", info, LAST_DATA_RECEIVED)[0] / 1000.0


def until(holds, within_s: float = WAIT_S) -> None:
    """Wait for a state."""
    end = time.monotonic() + within_s
    while not holds():
        assert time.monotonic() < end, "it never came to be so"
        time.sleep(UNTIL_STEP_S)


def classes(**changes: Any) -> list[dict[str, Any]]:
    """Return the settings' classes with some fields changed in all of them."""
    return [grade | changes for grade in SETTINGS["Grades"]]


def child_of(controller: Controller) -> str:
    """Return the state letter of the process, as /proc tells it."""
    with open(f"/proc/{controller.process.pid}/stat", encoding="ascii") as file:
        return re.match(r"\d+ \(.*\) (\w)", file.read())[1]


def stop(controller: Controller) -> None:
    """Let the process stand still until SIGCONT."""
    controller.signal(signal.SIGSTOP)
    until(lambda: child_of(controller) == "T")
