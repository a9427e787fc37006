"""Large fleets: work per event, small fair shares, slow start and stalls of the gateway."""

import pytest
from conftest import Drive, of, sends, settings

from fennelwind import policy
from fennelwind.policy import concurrency
from fennelwind.policy.gateway import Gateway

COLD = dict(cold_capacity_share=0.3, slow_start_ms=10000.0, overload_multiple=2.0, overload_window_ms=2000.0)


class CountingGateway(Gateway):
    """Counts how often decisions check or update an engine."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.checks = 0
        self.constraints.permits = self._counted(self.constraints.permits)
        self.outliers.update = self._counted(self.outliers.update)

    def _counted(self, check):
        def counting(*arguments):
            self.checks += 1
            return check(*arguments)

        return counting


def counting_drive(engines, gateway_count=1):
    drive = Drive(engines=engines, gateway_count=gateway_count)
    drive.gateway = CountingGateway(drive.settings, 7)
    drive.step(
        policy.EngineListUpdate("full", tuple(policy.EngineEndpoint(f"e{i:02}") for i in range(engines)))
    )
    drive.gateway.checks = 0
    return drive


@pytest.mark.parametrize("engines", [8, 40])
def test_idle_gateway_starts_no_timer(engines):
    drive = counting_drive(engines)
    drive.ask(1)
    drive.answer(1)
    drive.advance(100.0)
    before = drive.gateway.checks
    assert not of(drive.advance(2000.0), policy.StartAttempt)
    assert not drive.gateway.queries
    assert not of(drive.step(after=1.0), policy.StartTimer)
    assert before <= 6 * engines


def test_engine_checks_per_attempt_do_not_grow_with_the_fleet():
    checks = {}
    for engines in (8, 40):
        drive = counting_drive(engines)
        for query in range(20):
            assert sends(drive.ask(query))
        checks[engines] = drive.gateway.checks
    assert checks[40] <= 2 * checks[8]


@pytest.mark.parametrize("engines", [8, 40])
def test_blocked_queues_are_not_retried_until_an_attempt_has_ended(engines):
    drive = counting_drive(engines, gateway_count=20 * engines)
    query = 0
    while sends(drive.ask(query, cls=1, work=4000.0)):
        query += 1
    for number in range(50):
        drive.ask(1000 + number, cls=1, work=4000.0)
    before = drive.gateway.checks
    for _ in range(20):
        drive.step(after=1.0)
    assert drive.gateway.checks - before <= 2 * engines


def test_fair_share_below_one_query_still_allows_one():
    """200 gateways, 8 engines of 8 cores: an even share is under one thread, and a query takes four."""
    drive = Drive(engines=8, gateway_count=200)
    assert sends(drive.ask(1, cls=1, work=4000.0))
    assert not sends(drive.ask(2, cls=1, work=4000.0))  # or all gateways together oversubscribe the engines
    assert [q for q, _ in sends(drive.answer(1, took=1000.0))] == [2]


def test_gateways_spread_evenly_over_equal_engines():
    """The first choice differs by gateway, so that many small gateways do not all use the same engine."""
    counts = {}
    for index in range(120):
        drive = Drive(engines=30, gateway_count=120, gateway_index=index)
        engine = sends(drive.ask(1, cls=1, work=4000.0))[0][1]
        counts[engine] = counts.get(engine, 0) + 1
    assert len(counts) == 30
    assert max(counts.values()) <= 6  # four on average


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_slow_start_among_two_hundred_gateways_keeps_its_budget(seed):
    gateway_count = 200
    entry = policy.EngineEndpoint("e0", started_ms=990.0)
    gateways = []
    for index in range(gateway_count):
        gateway = Gateway(
            settings(gateway_count=gateway_count, gateway_index=index, **COLD), 1000 * seed + index
        )
        gateway.step(1000.0, [policy.EngineListUpdate("full", (entry,))])
        gateways.append(gateway)
    sent = 0.0
    for gateway in gateways:
        for number in range(10):
            now = 1000.0 + 10.0 * number
            for query, _ in sends(
                gateway.step(now, [policy.QueryArrived(number, 0, now + 4000.0, estimated_work_ms=100.0)])
            ):
                sent += 100.0
                gateway.step(now, [policy.AttemptEnded(query, 0, "e0", "ok", 100.0, True)])
    budget = 2.0 * (0.3 + 0.7 * 0.01) * 8 * 2000.0
    assert 0.3 * budget <= sent <= budget


def test_large_queries_are_not_rounded_up_in_a_slow_start():
    """A few of them would use up the budget of an engine that has just started."""
    for seed in range(40):
        gateway = Gateway(settings(gateway_count=200, **COLD), seed)
        gateway.step(
            1000.0, [policy.EngineListUpdate("full", (policy.EngineEndpoint("e0", started_ms=990.0),))]
        )
        assert not sends(gateway.step(1000.0, [policy.QueryArrived(1, 1, 16000.0, estimated_work_ms=4000.0)]))


def test_stall_of_the_gateway_does_not_count_against_engines():
    drive = Drive(engines=3)
    for query in range(6):
        drive.ask(query)
    actions = drive.step(
        policy.TimerFired(drive.gateway.timer_token), after=2000.0
    )  # due after one tick, fires after 2 s
    assert not of(actions, policy.CancelAttempt)
    assert not any(e.is_outlier for e in drive.gateway.engines.values())
    slowdowns = [e.mean_slowdown for e in drive.gateway.engines.values()]
    for query in range(6):
        drive.answer(query, took=2050.0)  # includes the stall
    assert [e.mean_slowdown for e in drive.gateway.engines.values()] == slowdowns
    drive.ask(10)
    assert of(
        drive.advance(1500.0), policy.CancelAttempt
    )  # an attempt that hangs while the gateway runs is still detected


def test_a_restarted_engine_is_no_outlier():
    drive = Drive(engines=2)
    drive.ask(1)
    failing = drive.attempt_engines[1][0]
    drive.answer(1, "reset", took=5.0)
    drive.gateway.engines[failing].mean_slowdown = 7.0
    assert drive.gateway.engines[failing].is_outlier
    drive.step(
        policy.EngineListUpdate("delta", (policy.EngineEndpoint(failing, started_ms=drive.now - 1.0),))
    )
    engine = drive.gateway.engines[failing]
    assert (engine.mean_slowdown, engine.failures, engine.is_outlier) == (1.0, 0, False)


def test_no_second_attempt_while_the_first_is_running():
    """A query queued for a retry must not start while one of its attempts has no outcome."""
    drive = Drive(engines=3, allows_concurrent_attempts=False)
    drive.ask(1)
    query = drive.gateway.queries[1]
    query.is_queued = True
    drive.gateway.queue.unordered.append(query)
    assert not sends(drive.step(after=5.0))


@pytest.mark.parametrize("queues,is_second_started", [(True, True), (False, False)])
def test_fair_share_is_larger_where_engines_queue_for_memory(queues, is_second_started):
    """Where oversubscription causes queueing and not spills, a small gateway need not hold back queries."""
    drive = Drive(
        engines=8, gateway_count=40, queues_when_short_of_memory=queues
    )  # an even share of 4.8 threads
    assert sends(drive.ask(1, cls=1, work=4000.0))
    assert bool(sends(drive.ask(2, cls=1, work=4000.0))) == is_second_started


@pytest.mark.parametrize("active,started", [(1.0, 3), (30.0, 0)])
def test_fair_share_follows_the_spare_capacity_in_load_reports(active, started):
    """An even share may be under one query; any engine's load report shows what other gateways run."""
    drive = Drive(engines=8, gateway_count=40)  # an even share of 4.8 threads, and queries of 4
    assert sends(drive.ask(0, cls=1, work=4000.0))
    attempt = drive.gateway.queries[0].attempts[0]
    for _ in range(20):
        drive.gateway._learn(
            attempt, policy.AttemptEnded(0, 0, "", "ok", 1000.0, False, load={"active": active})
        )
    drive.advance(300.0)
    for query in range(1, 10):
        drive.ask(query, cls=1, work=4000.0)
    assert sum(query in drive.attempt_engines for query in range(1, 10)) == started
    assert (drive.gateway.concurrency.allowed_threads > 4.8) == (active < 10.0)


@pytest.mark.parametrize("has_priorities", [True, False])
def test_short_queries_are_not_queued_behind_long_ones(has_priorities):
    """With priorities short queries use little capacity, so need not wait while long ones use the share."""
    drive = Drive(engines=8, gateway_count=40, has_priorities=has_priorities)
    for query in range(4):
        drive.ask(query, cls=1, work=4000.0)
    assert bool(sends(drive.ask(10, work=100.0))) == has_priorities


def test_in_congestion_long_queries_wait_and_short_ones_keep_the_fair_share():
    """Short queries held back would be late, though an engine that prefers them spends little on them."""
    drive = Drive(engines=8, gateway_count=40, has_priorities=True)  # an even share of 4.8 threads
    assert sends(drive.ask(0, cls=1, work=4000.0))
    attempt = drive.gateway.queries[0].attempts[0]
    for _ in range(20):
        drive.gateway._learn(
            attempt, policy.AttemptEnded(0, 0, "", "ok", 1000.0, False, load={"active": 30.0})
        )
    drive.advance(300.0)
    assert drive.gateway.concurrency.allowed_threads < 1.0
    assert not sends(drive.ask(1, cls=1, work=4000.0))
    assert len([query for query in range(2, 9) if sends(drive.ask(query, work=100.0))]) == 4


@pytest.mark.parametrize("active", [0.0, -1.0, 1e12])
def test_extreme_load_reports_leave_the_share_factor_within_its_limits(active):
    """A fleet may report almost no load for hours, and reports are noisy: the factor must not overflow."""
    drive = Drive(engines=8, gateway_count=40)
    drive.ask(0, cls=1, work=4000.0)
    attempt = drive.gateway.queries[0].attempts[0]
    drive.gateway._learn(attempt, policy.AttemptEnded(0, 0, "", "ok", 1000.0, False, load={"active": 1.0}))
    for _ in range(5000):
        drive.gateway._learn(
            attempt, policy.AttemptEnded(0, 0, "", "ok", 1000.0, False, load={"active": active})
        )
        assert 0.0 <= drive.gateway.concurrency.share_factor() <= concurrency.MAX_SHARE_FACTOR


def test_share_factor_follows_attempt_times_without_load_reports():
    """Congestion shows in all attempt times; the share must shrink, and recover after it."""
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
    """In congestion every long query is late; restarting them all wastes their work and adds to the load."""
    drive = Drive(engines=4)
    for query in range(60):
        drive.ask(query)
        drive.answer(query)
    for query in range(100, 104):
        drive.ask(query, cls=1, work=4000.0)
    started = [query for query in range(100, 104) if query in drive.attempt_engines]
    cancelled = {a.query for a in drive.advance(8000.0) if isinstance(a, policy.CancelAttempt)}
    assert len(started) == 4 and len(cancelled) <= 1


def test_first_stuck_attempt_of_a_new_gateway_times_out():
    drive = Drive(engines=4)
    drive.ask(1, cls=1, work=4000.0)
    assert [a.query for a in drive.advance(8000.0) if isinstance(a, policy.CancelAttempt)] == [1]
