"""Whole queries a second and their latency: straight to engines, by a byte relay, and by the controller.

Engines, what stands between, and clients are processes of their own; clients wait for each answer before
the next query, so a rate is what so many connections get through. The ways take turns, so that a machine
that gets slower slows all of them.
"""

import json
import os
import resource
import select
import signal
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

from hdrh.histogram import HdrHistogram

from fennelwind.emulators.client import Ask, Client
from fennelwind.loop import Address, Loop, RealLoop, Stream, StreamReset, parse_address

ENGINES, LOADERS = 2, 2  # processes of each
LONGEST_US = 60_000_000  # microseconds; the longest that a histogram tells
START_S = 20.0  # s that a process may take to listen
RUN_S = 300.0  # s that a run of clients may take
SETTINGS = """
listener { address: "127.0.0.1:0" max_connections: 5000 max_sessions: 5000 max_operations: 50 idle_ms: 600000
           long_poll_ms: 1000 max_request_bytes: 4000000 max_connections_per_address: 5000
           max_sessions_per_user: 5000 max_bytes_per_s_per_user: 0 }
classes { name: "any" aim_ms: 20000 give_up_ms: 60000 worth: 1 effect: SAFE threads: 1 }
selectors { query_class: "any" }
kinds { name: "k" cores: 2000 }
%s
links { user: "bench" transport: BUFFERED max_links: 3000 connect_ms: 5000 idle_ms: 600000 page_rows: 500
        max_result_bytes: 64000000 }
traits { memory_grants: false priorities: false when_short_of_memory: SPILL note_ms: 0 tells_cost: true
         report_fields: "active" }
rules { answer_margin_ms: 30 answer_margin_most_ms: 200 drain_grace_ms: 1000 cold_share: 0.35
        cold_ms: 10000 fall_multiple: 0
        fall_ms: 2000 settle_ms: 0 budget_free: 5 budget_share: 0.2 budget_ms: 0 max_attempts: 3 cancel: true
        parallel: false max_retry_after_ms: 500 }
gateways: 1 me: 0 max_open: 10000
"""


@contextmanager
def process(*arguments: str) -> Iterator[tuple[subprocess.Popen, Address]]:
    """Run a command of ours that prints where it listens; end it by SIGTERM."""
    child = subprocess.Popen(
        [sys.executable, "-m", "fennelwind.cli.main", *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        ready, _, _ = select.select([child.stdout], [], [], START_S)
        line = child.stdout.readline() if ready else ""
        if not line:
            raise RuntimeError(f"{' '.join(arguments)}: it did not start")
        yield child, parse_address(json.loads(line)["listen"])
    finally:
        child.send_signal(signal.SIGTERM)
        try:
            child.wait(START_S)
        except subprocess.TimeoutExpired:
            child.kill()
            child.wait()
        child.stdout.close()


def relay(loop: Loop, there: list[Address], listen: Address) -> None:
    """Carry bytes between clients and engines, in turn; the least that anything between them does."""
    listener = loop.listen(listen)
    print(json.dumps({"listen": str(listener.address)}), flush=True)

    def carry(source: Stream, sink: Stream) -> None:
        try:
            while data := source.read():
                sink.write(data)
        except StreamReset:
            pass
        source.close()
        sink.close()

    count = 0
    while True:
        client = listener.accept()
        engine = loop.connect(there[count % len(there)])
        count += 1
        loop.spawn(carry, client, engine, name="relay there")
        loop.spawn(carry, engine, client, name="relay back")


def load(addresses: list[Address], connections: int, queries: int, rows: int) -> dict:
    """Put queries over connections, one after the other on each; return the figures as for JSON."""
    loop, histogram = RealLoop(), HdrHistogram(1, LONGEST_US, 3)
    ask = Ask(
        "select 1",
        60_000.0,
        {"standin.work_ms": "0.01", "standin.rows": str(rows), "fennelwind.work_ms": "1"},
    )

    def user(client: Client, count: int) -> None:
        for _ in range(count):
            began = loop.now()
            end, got = client.ask(ask)
            if (end, got) != ("served", rows):
                raise RuntimeError(f"a query ended {end} with {got} rows")
            histogram.record_value(max(1, int((loop.now() - began) * 1000.0)))

    def main() -> float:
        clients = []
        for i in range(connections):
            client = Client(loop, addresses[i % len(addresses)], "buffered", "bench", lambda s, who: s)
            client.open()
            client.ask(ask)
            clients.append(client)
        began = loop.now()
        tasks = [loop.spawn(user, c, queries // connections, name="user") for c in clients]
        for task in tasks:
            task.join()
        return loop.now() - began

    took = loop.run(main)
    return {
        "ms": took,
        "queries": queries // connections * connections,
        "histogram": histogram.encode().decode(),
    }


def run_loaders(
    addresses: list[Address], connections: int, queries: int, rows: int
) -> tuple[float, HdrHistogram]:
    """Run the clients' processes; return queries a second and their latencies in microseconds."""
    each = max(1, connections // LOADERS)
    count = min(LOADERS, connections)
    children = [
        subprocess.Popen(
            [
                sys.executable,
                "-m",
                "fennelwind.cli.main",
                "bench",
                "load",
                "--connections",
                str(each),
                "--queries",
                str(queries // count),
                "--rows",
                str(rows),
                *map(str, addresses),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(count)
    ]
    told = []
    for child in children:
        out, _ = child.communicate(timeout=RUN_S)
        if child.returncode:
            raise RuntimeError("a client's process failed")
        told.append(json.loads(out))
    histogram = HdrHistogram(1, LONGEST_US, 3)
    for one in told:
        histogram.decode_and_add(one["histogram"])
    return sum(one["queries"] / one["ms"] * 1000.0 for one in told), histogram


def measure(connections: list[int], queries: int, rows: int, rounds: int) -> dict:
    """Return by number of connections and way the rate, median and 99th; and the controller's stages."""
    results: dict = {"connections": {}, "stages": {}}
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="fennelwind-bench-")))
        engines = [
            stack.enter_context(process("standin", "engine", "--cores", "2000"))[1] for _ in range(ENGINES)
        ]
        _, between = stack.enter_context(process("bench", "relay", *map(str, engines)))
        (folder / "settings.txtpb").write_text(
            SETTINGS % "\n".join(f'engines {{ address: "{e}" kind: "k" }}' for e in engines), encoding="utf-8"
        )
        for count in connections:
            ways: dict[str, list[tuple[float, HdrHistogram]]] = {}
            with process(
                "serve",
                str(folder / "settings.txtpb"),
                "--seed",
                "1",
                "--sample",
                str(folder / "stages.json"),
            ) as (_, controller):
                for _ in range(rounds):
                    there_by_way = {"direct": engines, "relay": [between], "controller": [controller]}
                    for way, there in there_by_way.items():
                        ways.setdefault(way, []).append(run_loaders(there, count, queries, rows))
            results["stages"][count] = json.loads((folder / "stages.json").read_text(encoding="utf-8"))
            results["connections"][count] = {way: _middle(seen) for way, seen in ways.items()}
    return results


def _middle(seen: list[tuple[float, HdrHistogram]]) -> dict[str, float]:
    """Return the round with the median rate."""
    rate, histogram = sorted(seen, key=lambda pair: pair[0])[len(seen) // 2]
    return {
        "rate": rate,
        "median_ms": histogram.get_value_at_percentile(50) / 1000.0,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000.0,
    }


def memory(queries: int, visitors: int) -> list[tuple[int, float]]:
    """Return the controller's resident memory (MB) over so many queries, then after visitors' visits."""
    seen = []
    limit, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(limit, 2 * visitors + 200)), hard))
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="fennelwind-bench-")))
        engines = [
            stack.enter_context(process("standin", "engine", "--cores", "2000"))[1] for _ in range(ENGINES)
        ]
        path = folder / "settings.txtpb"
        path.write_text(
            SETTINGS % "\n".join(f'engines {{ address: "{e}" kind: "k" }}' for e in engines), encoding="utf-8"
        )
        child, controller = stack.enter_context(process("serve", str(path), "--seed", "1"))
        done = 0
        for _ in range(10):
            run_loaders([controller], 64, queries // 10, 10)
            done += queries // 10
            seen.append((done, resident_mb(child.pid)))
        loop = RealLoop()

        def visit() -> None:
            streams = [loop.connect(controller) for _ in range(visitors)]
            loop.sleep(1000.0)
            seen.append((done, resident_mb(child.pid)))
            for stream in streams:
                stream.close()
            loop.sleep(1000.0)

        loop.run(visit)
        run_loaders([controller], 64, queries // 10, 10)
        seen.append((done + queries // 10, resident_mb(child.pid)))
    return seen


def resident_mb(pid: int) -> float:
    """Return a process's resident memory, from /proc."""
    pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6
