"""The `run` command on real loopback sockets: answers, bad input, SIGHUP, SIGTERM."""

import os
import re
import signal
import socket
import subprocess
import sys
import threading
from pathlib import Path

import msgpack
import pytest
from nodes import ROWS, config_text, first_page, instance, query_id

ROOT = Path(__file__).parent.parent.parent
WAIT_S = 30.0  # upper bound of waits that are much shorter unless the machine stalls


def listening():
    sock = socket.create_server(("127.0.0.1", 0))
    sock.settimeout(WAIT_S)
    return sock, f"127.0.0.1:{sock.getsockname()[1]}"


def serve_executor(sock):
    def serve_connection(peer):
        data = b""
        with peer:
            while True:
                while b"\r\n\r\n" not in data:
                    more = peer.recv(65536)
                    if not more:
                        return
                    data += more
                head, data = data.split(b"\r\n\r\n", 1)
                length = int((re.search(rb"Content-Length: (\d+)", head) or [0, 0])[1])
                while len(data) < length:
                    data += peer.recv(65536)
                data = data[length:]
                peer.sendall(first_page())

    while True:
        try:
            peer, _ = sock.accept()
        except OSError:
            return
        threading.Thread(target=serve_connection, args=(peer,), daemon=True).start()


def serve_channel(sock, channel_requests):
    while True:
        try:
            peer, _ = sock.accept()
        except OSError:
            return
        head = peer.recv(4096)
        channel_requests.append((head, peer))
        peer.sendall(b"HTTP/1.1 200 OK\r\n\r\n: here\n\n")


def command():
    """Return the command line of `run` in the deploy file, with this environment's interpreter."""
    text = (ROOT / "deploy" / "balancer.toml").read_text("utf-8")
    line = re.search(r'^run = "exec \.venv/bin/python (.+)"$', text, re.M)
    return [sys.executable, *line[1].split()]


class Program:
    def __init__(self, folder):
        self.path = folder / "config.json"
        self.executor, self.executor_address = listening()
        self.channel, channel = listening()
        self.channel_requests = []
        free, self.listen = listening()
        free.close()
        self.write(channel)
        threading.Thread(target=serve_executor, args=(self.executor,), daemon=True).start()
        threading.Thread(
            target=serve_channel, args=(self.channel, self.channel_requests), daemon=True
        ).start()
        self.process = subprocess.Popen(
            command(),
            cwd=ROOT,
            env=os.environ | {"RELAY_CONFIG": str(self.path)},
            stderr=subprocess.PIPE,
            text=True,
        )
        self.expect("listening")

    def write(self, channel):
        text = config_text([instance("s-1", 1) | {"hostPort": self.executor_address}])
        self.path.write_text(
            re.sub(
                r'"listen": "[^"]+"',
                f'"listen": "{self.listen}"',
                re.sub(r'"channel": "[^"]+"', f'"channel": "{channel}"', text),
            ),
            encoding="utf-8",
        )

    def expect(self, words):
        """Read log lines until one contains `words`; return it."""
        while line := self.process.stderr.readline():
            if words in line:
                return line
        raise AssertionError(f"{words!r} is not in the log")

    def call(self, message):
        """Send bytes on a new connection; return the first answer, or None if the connection ends first."""
        host, port = self.listen.rsplit(":", 1)
        with socket.create_connection((host, int(port)), WAIT_S) as sock:
            sock.settimeout(WAIT_S)
            sock.sendall(message)
            unpacker = msgpack.Unpacker(raw=False)
            while True:
                try:
                    data = sock.recv(65536)
                except ConnectionResetError:
                    return None
                if not data:
                    return None
                unpacker.feed(data)
                for answer in unpacker:
                    return answer


@pytest.fixture
def program(tmp_path):
    running = Program(tmp_path)
    yield running
    if running.process.poll() is None:
        running.process.kill()
    running.process.wait()
    running.process.stderr.close()
    running.executor.close()
    running.channel.close()


def pack_request(number, **fields):
    sent = {"i": query_id(number), "d": "1900", "t": "acme"} | fields
    return msgpack.packb([0, 1, "lookup", [sent, b"select 1 from sales_3.orders"]])


def test_program_answers_rejects_moves_its_channel_and_shuts_down(program):
    assert program.call(msgpack.packb([0, 1, "isWell", [{}]])) == [1, 1, None, [True, {}]]
    assert program.call(pack_request(1)) == [1, 1, None, [ROWS, {}]]
    assert program.call(pack_request(2, d="-1"))[2][0] == "Unusable"
    assert program.call(b"\xc1" * 100) is None
    assert program.call(pack_request(3)) == [1, 1, None, [ROWS, {}]]

    program.path.write_text("{ no JSON", encoding="utf-8")
    program.process.send_signal(signal.SIGHUP)
    program.expect("settings are as before")
    moved, address = listening()
    channel_requests = []
    threading.Thread(target=serve_channel, args=(moved, channel_requests), daemon=True).start()
    program.write(address)
    program.process.send_signal(signal.SIGHUP)
    program.expect(f"command channel at {address}")
    assert program.call(pack_request(4)) == [1, 1, None, [ROWS, {}]]

    program.process.send_signal(signal.SIGTERM)
    for _ in range(1000):  # the signal may be handled only after some of these calls
        health = program.call(msgpack.packb([0, 1, "isWell", [{}]]))
        if health == [1, 1, None, [False, {}]]:
            break
    assert health == [1, 1, None, [False, {}]]
    assert program.call(pack_request(5)) == [1, 1, None, [ROWS, {}]]
    line = program.expect("closed")
    assert program.process.wait(WAIT_S) == 0
    assert "books agree: True" in line and "step errors 0" in line
    assert channel_requests and b"Last-Event-ID: 1\r\n" in channel_requests[0][0]
    moved.close()


def test_invalid_config_file_fails_startup_with_a_reason(tmp_path):
    path = tmp_path / "config.json"
    path.write_text("[]", encoding="utf-8")
    result = subprocess.run(
        command(),
        cwd=ROOT,
        env=os.environ | {"RELAY_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=WAIT_S,
    )
    assert result.returncode == 2 and "RELAY_CONFIG" in result.stderr


def test_run_does_not_import_unneeded_modules():
    code = (
        "import sys, fennelwind.node.lifecycle; "
        "print([m for m in ('structlog', 'ssl', 'google.protobuf', 'click', 'h11', 'logging', 'asyncio',"
        " 'prometheus_client', 'concurrent.futures') if m in sys.modules])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"


def test_program_does_not_block_on_a_log_that_is_not_read():
    read_end, write_end = os.pipe()
    code = (
        "import sys; from fennelwind.node.log import Log; log = Log(lambda: 0.0)\n"
        "for k in range(3000): log.write(str(k), 'x' * 100)\n"
        "print('went on')"
    )
    result = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=write_end,
        text=True,
        timeout=WAIT_S,
        check=True,
    )
    os.close(write_end)
    os.close(read_end)
    assert result.stdout == "went on\n"
