"""The platform's side: answers read by our parser and by h11 in one run; what a client's connection costs."""

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections import deque
from pathlib import Path

import h11
import msgpack

from fennelwind.node.http1 import ResponseReader

ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Batches: 1\r\nX-Load: cpu:0.61;waiting:3;x1:0.2\r\n"
    b"Content-Length: 2000\r\n\r\n" + b"0123456789abcdef\tof\tmay\n" * 80 + b"\t\t" + b"x" * 77 + b"\n"
)
ROUNDS, CALLS = 7, 2000  # the best of so many rounds, as others' work only adds to a time
WAIT_S = 10.0  # s for the process to listen
SETTINGS = {
    "Grades": [{"Name": "lookup", "AimMs": 400.0, "Effect": "repeatable", "GiveUpMs": 2000.0, "Points": 1.0}]
}


def answers() -> dict[str, float]:
    """Return the microseconds that reading one answer takes each parser, on a connection that is kept."""
    ours, theirs = ResponseReader(), h11.Connection(h11.CLIENT)

    def by_us() -> None:
        assert ours.feed(ANSWER) is not None

    def by_h11() -> None:
        theirs.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
        theirs.send(h11.EndOfMessage())
        theirs.receive_data(ANSWER)
        while type(theirs.next_event()) is not h11.EndOfMessage:
            pass
        theirs.start_next_cycle()

    best = {"fennelwind": float("inf"), "h11": float("inf")}
    for _ in range(ROUNDS):
        for name, call in (("fennelwind", by_us), ("h11", by_h11)):
            began = time.perf_counter()
            for _ in range(CALLS):
                call()
            best[name] = min(best[name], (time.perf_counter() - began) / CALLS * 1e6)
    return best


def crowd(sockets: int, connections: int) -> dict[str, float]:
    """Hold as many connections as a controller allows, open more; return what each of them costs."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    told = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "channel": "127.0.0.1:1",
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "settings": SETTINGS,
    }
    request = msgpack.packb([0, 1, "isWell", [{}]])
    held: deque[socket.socket] = deque()

    def hold() -> None:
        peer = socket.create_connection(("127.0.0.1", port), WAIT_S)
        peer.sendall(request)
        peer.recv(100)
        held.append(peer)

    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(told), encoding="utf-8")
        process = subprocess.Popen(
            [sys.executable, "-m", "fennelwind.node"],
            stderr=subprocess.PIPE,
            text=True,
            env=os.environ | {"RELAY_CONFIG": str(path)},
        )
        try:
            process.stderr.readline()  # it listens
            before = _resident_kb(process.pid)
            most = sockets // 2
            for _ in range(most):
                hold()
            after, cpu = _resident_kb(process.pid), _cpu_s(process.pid)
            for _ in range(connections):
                hold()
                held.popleft().close()
            spent = _cpu_s(process.pid) - cpu
            return {"held": most, "kb": (after - before) / most, "cpu_ms": spent * 1000.0 / connections}
        finally:
            process.kill()
            process.wait()
            process.stderr.close()
            for peer in held:
                peer.close()


def _resident_kb(pid: int) -> float:
    text = Path(f"/proc/{pid}/status").read_text("ascii")
    return float(next(line for line in text.splitlines() if line.startswith("VmRSS")).split()[1])


def _cpu_s(pid: int) -> float:
    user, system = Path(f"/proc/{pid}/stat").read_text("ascii").rsplit(")", 1)[1].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")
