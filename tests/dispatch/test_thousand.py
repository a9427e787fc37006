"""A thousand mixed requests over 60 connections and both transports while answers are lost.

Each has to end exactly once, served, refused, failed, cancelled or left by its client, and before its client
gives up; what may not run twice does not.
"""

import os
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from random import Random

import pytest
from fleet import Fleet, execute, fetch, ids, status
from test_service import ask

from fennelwind.engines.connection import RemoteError
from fennelwind.loop import DeadlineExceeded, RealLoop, SimLoop
from fennelwind.thrift import hiveserver2 as hs2

CONNECTIONS, REQUESTS = 60, 1000
PROCESSES = 6  # that play seeds; the rest of the machine is for the tests beside them
MIX = {
    "lookup": 40,
    "build": 4,
    "merge": 10,
    "load": 8,
    "metadata": 12,
    "async": 14,
    "cancelled": 5,
    "impatient": 7,
}
TIMEOUT_MS = {
    "lookup": 1200,
    "build": 6000,
    "merge": 2500,
    "load": 2000,
    "metadata": 2000,
    "async": 1500,
    "cancelled": 4000,
    "impatient": 2000,
}
ENDS = {"53000": "refused", "HYT00": "failed", "HY008": "cancelled"}
KEYED = """classes { name: "merge" aim_ms: 900 give_up_ms: 4000 worth: 4 effect: KEYED group: ALL
          memory_ms: 20000 serial: true threads: 1 }
selectors { query_class: "merge" statement: "merge" }
classes {"""


def change(text):
    text = text.replace("classes {", KEYED, 1).replace("max_sessions: 100", "max_sessions: 400")
    return text.replace("max_connections: 100", "max_connections: 200").replace(
        "max_sessions_per_user: 100", "max_sessions_per_user: 400"
    )


class Thousand:
    """Plays the requests; `ends` holds for each its kind, how it ended and how long that took."""

    def __init__(self, loop, seed, lost):
        self.loop, self.random, self.lost = loop, Random(seed), lost
        self.ends, self.left, self.ran = {}, REQUESTS, Counter()

    def play(self):
        loop = self.loop
        self.fleet = fleet = Fleet(loop, engines=6, change=change)
        for engine in fleet.engines:
            self._watch(engine)
        users = [loop.spawn(self._user, i, name=f"user {i}") for i in range(CONNECTIONS)]
        losing = loop.spawn(self._lose, name="lose")
        for user in users:
            user.join()
        losing.cancel()
        for engine in fleet.engines:
            engine.faults.lose = False
        loop.sleep(3000)
        driver = fleet.program.driver
        self.rest = driver.ledger.entries, driver.attempts.tasks, driver.gateway.queries
        fleet.program.close()

    def _watch(self, engine):
        run = engine._ExecuteStatement

        def counted(request, mine):
            self.ran[request.statement] += 1
            return run(request, mine)

        engine._ExecuteStatement = counted

    def _lose(self):
        """Let answers be lost: at one engine, at a third of them, at all."""
        while True:
            for count, ms in self.lost:
                for engine in self.random.sample(self.fleet.engines, count):
                    engine.faults.lose = True
                self.loop.sleep(ms)
                for engine in self.fleet.engines:
                    engine.faults.lose = False
                self.loop.sleep(ms)

    def _user(self, number):
        transport = ("sasl", "buffered", "framed", "http")[number % 4]
        client = None
        while self.left:
            self.left -= 1
            tag = REQUESTS - self.left
            (kind,) = self.random.choices(list(MIX), MIX.values())
            client = client or self.fleet.client(transport, user=f"user {number % 7}")
            began = self.loop.now()
            try:
                with self.loop.deadline(TIMEOUT_MS[kind]):
                    end = self._request(client, kind, tag)
            except RemoteError as exc:
                end = ENDS.get(exc.status.sqlState, exc.status.sqlState)
            except DeadlineExceeded:
                end = "unanswered"
            assert tag not in self.ends
            self.ends[tag] = kind, end, self.loop.now() - began
            if end in ("left", "unanswered"):
                client.drop()
                client = None
            self.loop.sleep(self.random.uniform(0, 40))
        if client is not None:
            client.drop()

    def _request(self, client, kind, tag):
        timeout = {"fennelwind.timeout_ms": str(TIMEOUT_MS[kind])}
        work = self.random.lognormvariate(2.5, 0.6)
        if kind == "metadata":
            handle = ask(client, self.random.choice(["GetTables", "GetColumns", "GetSchemas"]))
            rows = 3
        elif kind == "impatient":
            request = hs2.TExecuteStatementReq(
                client.session, f"load {tag}", {"standin.work_ms": str(work), **timeout}, False
            )
            if hasattr(client, "request"):
                client.stream.write(client.request("ExecuteStatement", request))
            else:
                client.send("ExecuteStatement", request)
            self.loop.sleep(self.random.uniform(0, 2 * work))
            return "left"
        else:
            name = {"async": "select", "lookup": "select", "cancelled": "build"}.get(kind, kind)
            key = {"fennelwind.key": f"key {tag % 5}"} if kind == "merge" else {}
            rows = self.random.choice([0, 3, 50])
            later = kind in ("async", "cancelled", "build")
            handle = execute(
                client,
                f"{name} {tag}",
                work=work * (20 if name == "build" else 1),
                rows=rows,
                asynchronous=later,
                **timeout,
                **key,
            )
            if kind == "cancelled":
                self.loop.sleep(self.random.uniform(0, 60))
                client.call("CancelOperation", hs2.TCancelOperationReq(handle))
            while later and (seen := status(client, handle)).operationState != hs2.FINISHED:
                if seen.sqlState is not None:
                    client.call("CloseOperation", hs2.TCloseOperationReq(handle))
                    return ENDS[seen.sqlState]
                self.loop.sleep(5)
        got = (
            ids(fetch(client, handle))
            if kind != "metadata"
            else [*range(len(fetch(client, handle).results.columns[0].stringVal.values))]
        )
        assert got == list(range(rows))
        client.call("CloseOperation", hs2.TCloseOperationReq(handle))
        return "served"


def verdict(day):
    ends = Counter(end for _, end, _ in day.ends.values())
    assert len(day.ends) == REQUESTS and set(ends) <= {"served", "refused", "failed", "cancelled", "left"}
    late = [(tag, *each) for tag, each in day.ends.items() if each[2] > TIMEOUT_MS[each[0]]]
    assert not late
    ledger = day.fleet.program.driver.ledger
    unseen = REQUESTS - sum(c["taken"] for c in ledger.counts)  # their clients went before they were read
    assert ledger.is_balanced() and 0 <= unseen <= ends["left"] / 4
    assert (ledger.duplicate_answers, ledger.late_answers, day.fleet.program.driver.unanswered_by_policy) == (
        0,
        0,
        0,
    )
    assert not any(day.rest)
    twice = [s for s, count in day.ran.items() if count > 1 and s.startswith("load")]
    assert not twice
    assert not any(e._operations for e in day.fleet.engines)
    return ends


LOST = [(1, 900), (2, 700), (6, 400)]


SEEDS = range(20)


def play_in_virtual_time(seed):
    """Play a seed and check it; return how its requests ended."""
    loop, broken = SimLoop(seed), []
    loop.on_error = lambda task, exc: broken.append((task.name, repr(exc)))
    day = Thousand(loop, seed, LOST)
    loop.run(day.play)
    ends = verdict(day)
    assert broken == [] and day.fleet.seen.failures == []
    return ends


@pytest.fixture(scope="module")
def played():
    """All seeds, each in virtual time of its own, so several processes play them with the same result."""
    with ProcessPoolExecutor(min(PROCESSES, os.cpu_count() or 1), get_context("spawn")) as pool:
        yield {seed: pool.submit(play_in_virtual_time, seed) for seed in SEEDS}


@pytest.mark.parametrize("seed", SEEDS)
def test_a_thousand_mixed_requests_each_end_once_and_in_time(played, seed):
    ends = played[seed].result()
    assert ends["served"] > 600 and ends["refused"] + ends["failed"] > 0 and ends["left"] > 0


def test_a_thousand_mixed_requests_on_sockets():
    loop, broken = RealLoop(), []
    loop.on_error = lambda task, exc: broken.append((task.name, repr(exc)))
    day = Thousand(loop, 1, LOST)
    loop.run(day.play)
    ends = Counter(end for _, end, _ in day.ends.values())
    assert len(day.ends) == REQUESTS and broken == []  # how long each took is the machine's
    ledger = day.fleet.program.driver.ledger
    assert ledger.is_balanced() and ledger.duplicate_answers == 0 and not any(day.rest)
    assert ends["served"] > 0  # how many is the machine's as well
    assert not [s for s, count in day.ran.items() if count > 1 and s.startswith("load")]
