"""Large fleets: work per event, small shares, slow start, own stalls; the decisions alone."""

import pytest
from conftest import Drive, of, sends, settings

from fennelwind import policy
from fennelwind.policy import concurrency
from fennelwind.policy.gateway import Gateway

COLD = dict(cold_capacity_share=0.3, slow_start_ms=10000.0, overload_multiple=2.0, overload_window_ms=2000.0)


class Counting(Gateway):
    """Counts the engines that decisions look at."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.looks = 0
        self.constraints.permits = self._counted(self.constraints.permits)
        self.outliers.update = self._counted(self.outliers.update)

    def _counted(self, look):
        def counting(*arguments):
            self.looks += 1
            return look(*arguments)

        return counting


def counted(engines, gateways=1):
    drive = Drive(engines=engines, gateway_count=gateways)
    drive.gateway = Counting(drive.settings, 7)
    drive.step(
        policy.EngineListUpdate("full", tuple(policy.EngineEndpoint(f"e{i:02}") for i in range(engines)))
    )
    drive.gateway.looks = 0
    return drive


@pytest.mark.parametrize("engines", [8, 40])
def test_idle_gateway_asks_for_no_timer(engines):
    drive = counted(engines)
    drive.ask(1)
    drive.answer(1)
    drive.advance(100.0)
    before = drive.gateway.looks
    assert not of(drive.advance(2000.0), policy.StartAttempt)
    assert not drive.gateway.queries
    assert not of(drive.step(after=1.0), policy.StartTimer)
    assert before <= 6 * engines


def test_looks_for_a_send_do_not_grow_with_the_fleet():
    looks = {}
    for engines in (8, 40):
        drive = counted(engines)
        for n in range(20):
            assert sends(drive.ask(n))
        looks[engines] = drive.gateway.looks
    assert looks[40] <= 2 * looks[8]


@pytest.mark.parametrize("engines", [8, 40])
def test_blocked_queues_are_not_tried_again_while_nothing_has_ended(engines):
    drive = counted(engines, gateways=20 * engines)
    n = 0
    while sends(drive.ask(n, cls=1, work=4000.0)):
        n += 1
    for more in range(50):
        drive.ask(1000 + more, cls=1, work=4000.0)
    before = drive.gateway.looks
    for _ in range(20):
        drive.step(after=1.0)
    assert drive.gateway.looks - before <= 2 * engines


def test_fair_share_of_less_than_one_query_still_serves():
    """200 gateways, 8 engines of 8 cores: an even part is under one thread, a query has four."""
    drive = Drive(engines=8, gateway_count=200)
    assert sends(drive.ask(1, cls=1, work=4000.0))
    assert not sends(drive.ask(2, cls=1, work=4000.0))  # all gateways together must not overfill the engines
    assert [q for q, _ in sends(drive.answer(1, took=1000.0))] == [2]


def test_gateways_spread_evenly_over_equal_engines():
    """Each gateway's first choice is its own, so that many small gateways do not all fill one engine."""
    first = {}
    for me in range(120):
        drive = Drive(engines=30, gateway_count=120, gateway_index=me)
        engine = sends(drive.ask(1, cls=1, work=4000.0))[0][1]
        first[engine] = first.get(engine, 0) + 1
    assert len(first) == 30
    assert max(first.values()) <= 6  # four on average


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_slow_start_among_two_hundred_gateways_keeps_its_budget(seed):
    gateways = 200
    entry = policy.EngineEndpoint("e0", started_ms=990.0)
    fleet = []
    for me in range(gateways):
        gateway = Gateway(settings(gateway_count=gateways, gateway_index=me, **COLD), 1000 * seed + me)
        gateway.step(1000.0, [policy.EngineListUpdate("full", (entry,))])
        fleet.append(gateway)
    sent = 0.0
    for gateway in fleet:
        for n in range(10):
            now = 1000.0 + 10.0 * n
            for query, _ in sends(
                gateway.step(now, [policy.QueryArrived(n, 0, now + 4000.0, estimated_work_ms=100.0)])
            ):
                sent += 100.0
                gateway.step(now, [policy.AttemptEnded(query, 0, "e0", "ok", 100.0, True)])
    budget = 2.0 * (0.3 + 0.7 * 0.01) * 8 * 2000.0
    assert 0.3 * budget <= sent <= budget


def test_large_queries_are_not_sent_by_chance_in_a_slow_start():
    """A few of them would spend the whole budget of an engine that has just started."""
    for seed in range(40):
        gateway = Gateway(settings(gateway_count=200, **COLD), seed)
        gateway.step(
            1000.0, [policy.EngineListUpdate("full", (policy.EngineEndpoint("e0", started_ms=990.0),))]
        )
        assert not sends(gateway.step(1000.0, [policy.QueryArrived(1, 1, 16000.0, estimated_work_ms=4000.0)]))


def test_own_stall_says_nothing_of_the_engines():
    drive = Drive(engines=3)
    for n in range(6):
        drive.ask(n)
    actions = drive.step(
        policy.TimerFired(drive.gateway.timer_token), after=2000.0
    )  # due after a tick, came after 2 s
    assert not of(actions, policy.CancelAttempt)
    assert not any(e.is_outlier for e in drive.gateway.engines.values())
    lags = [e.mean_slowdown for e in drive.gateway.engines.values()]
    for n in range(6):
        drive.answer(n, took=2050.0)  # as the lump tells it
    assert [e.mean_slowdown for e in drive.gateway.engines.values()] == lags
    drive.ask(10)
    assert of(
        drive.advance(1500.0), policy.CancelAttempt
    )  # what is silent while the gateway has its turns is found again


def test_a_restarted_engine_is_no_outlier():
    drive = Drive(engines=2)
    drive.ask(1)
    bad = drive.attempt_engines[1][0]
    drive.answer(1, "reset", took=5.0)
    drive.gateway.engines[bad].mean_slowdown = 7.0
    assert drive.gateway.engines[bad].is_outlier
    drive.step(policy.EngineListUpdate("delta", (policy.EngineEndpoint(bad, started_ms=drive.now - 1.0),)))
    engine = drive.gateway.engines[bad]
    assert (engine.mean_slowdown, engine.failures, engine.is_outlier) == (1.0, 0, False)


def test_no_second_attempt_while_the_first_is_out():
    """A query that waits to be sent again must not go while an attempt of it has no outcome."""
    drive = Drive(engines=3, allows_concurrent_attempts=False)
    drive.ask(1)
    query = drive.gateway.queries[1]
    query.is_queued = True
    drive.gateway.queue.unordered.append(query)
    assert not sends(drive.step(after=5.0))


@pytest.mark.parametrize("waits,more", [(True, True), (False, False)])
def test_fair_share_is_larger_where_engines_queue_for_memory(waits, more):
    """Where overfilling means a line and not a spill, a small gateway need not keep its queries back."""
    drive = Drive(
        engines=8, gateway_count=40, queues_when_short_of_memory=waits
    )  # an even part of 4.8 threads
    assert sends(drive.ask(1, cls=1, work=4000.0))
    assert bool(sends(drive.ask(2, cls=1, work=4000.0))) == more


@pytest.mark.parametrize("active,sent", [(1.0, 3), (30.0, 0)])
def test_fair_share_follows_the_room_that_pooled_load_reports_show(active, sent):
    """A part of the fleet may be under one query; what others run is told by any engine's answers."""
    drive = Drive(engines=8, gateway_count=40)  # an even part of 4.8 threads, and queries of 4
    assert sends(drive.ask(0, cls=1, work=4000.0))
    attempt = drive.gateway.queries[0].attempts[0]
    for _ in range(20):
        drive.gateway._learn(
            attempt, policy.AttemptEnded(0, 0, "", "ok", 1000.0, False, load={"active": active})
        )
    drive.advance(300.0)
    for n in range(1, 10):
        drive.ask(n, cls=1, work=4000.0)
    assert sum(n in drive.attempt_engines for n in range(1, 10)) == sent
    assert (drive.gateway.concurrency.allowed_threads > 4.8) == (active < 10.0)


@pytest.mark.parametrize("priorities", [True, False])
def test_short_queries_are_not_queued_behind_long_ones(priorities):
    """Where they go first they take little, so long ones filling the part are no reason to wait."""
    drive = Drive(engines=8, gateway_count=40, has_priorities=priorities)
    for n in range(4):
        drive.ask(n, cls=1, work=4000.0)
    assert bool(sends(drive.ask(10, work=100.0))) == priorities


def test_in_a_jam_long_queries_give_way_and_short_ones_keep_the_fair_share():
    """Held here they would be late, though they hardly take from an engine that serves them first."""
    drive = Drive(engines=8, gateway_count=40, has_priorities=True)  # an even part of 4.8 threads
    assert sends(drive.ask(0, cls=1, work=4000.0))
    attempt = drive.gateway.queries[0].attempts[0]
    for _ in range(20):
        drive.gateway._learn(
            attempt, policy.AttemptEnded(0, 0, "", "ok", 1000.0, False, load={"active": 30.0})
        )
    drive.advance(300.0)
    assert drive.gateway.concurrency.allowed_threads < 1.0
    assert not sends(drive.ask(1, cls=1, work=4000.0))
    assert len([n for n in range(2, 9) if sends(drive.ask(n, work=100.0))]) == 4


@pytest.mark.parametrize("active", [0.0, -1.0, 1e12])
def test_odd_load_reports_leave_the_fair_share_in_its_limits(active):
    """A fleet may report next to nothing for hours, and a report is noisy: no figure may overflow."""
    drive = Drive(engines=8, gateway_count=40)
    drive.ask(0, cls=1, work=4000.0)
    attempt = drive.gateway.queries[0].attempts[0]
    drive.gateway._learn(attempt, policy.AttemptEnded(0, 0, "", "ok", 1000.0, False, load={"active": 1.0}))
    for _ in range(5000):
        drive.gateway._learn(
            attempt, policy.AttemptEnded(0, 0, "", "ok", 1000.0, False, load={"active": active})
        )
        assert 0.0 <= drive.gateway.concurrency.share_factor() <= concurrency.MAX_SHARE_FACTOR


def test_fair_share_follows_the_time_of_attempts_where_nothing_is_reported():
    """A jam shows in all times at once; it must end, and its memory must not outlast it."""
    drive = Drive(engines=8, gateway_count=40, queues_when_short_of_memory=True)
    drive.ask(0, cls=1, work=4000.0)
    attempt = drive.gateway.queries[0].attempts[0]
    for _ in range(40):
        drive.gateway._learn(attempt, policy.AttemptEnded(0, 0, "", "timeout", 9000.0, False))
    assert drive.gateway.concurrency.share_factor() < 1.0
    for _ in range(60):
        drive.gateway._learn(attempt, policy.AttemptEnded(0, 0, "", "ok", 1000.0, False))
    assert drive.gateway.concurrency.share_factor() == concurrency.QUEUEING_SHARE_FACTOR


def test_many_short_queries_do_not_pay_for_restarting_long_ones():
    """In a jam every long query is late; starting them all anew throws their work away and feeds the jam."""
    drive = Drive(engines=4)
    for n in range(60):
        drive.ask(n)
        drive.answer(n)
    for n in range(100, 104):
        drive.ask(n, cls=1, work=4000.0)
    out = [n for n in range(100, 104) if n in drive.attempt_engines]
    cancelled = {a.query for a in drive.advance(8000.0) if isinstance(a, policy.CancelAttempt)}
    assert len(out) == 4 and len(cancelled) <= 1


def test_the_first_stuck_attempt_of_a_fresh_gateway_times_out():
    drive = Drive(engines=4)
    drive.ask(1, cls=1, work=4000.0)
    assert [a.query for a in drive.advance(8000.0) if isinstance(a, policy.CancelAttempt)] == [1]
