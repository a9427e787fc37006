"""Spread of load: estimates, subsets, what the module makes of them, and fleets with faults."""

import math
from collections import Counter, defaultdict
from random import Random

import pytest
from conftest import Drive, of, sends, settings
from hypothesis import given
from hypothesis import strategies as st

from fennelwind import policy
from fennelwind.audit.fleet import audit, put_together
from fennelwind.load_balancing import load_advisor, load_estimate, subsetting
from fennelwind.load_balancing.load_advisor import LoadAdvisor, is_useful
from fennelwind.testbed import dayfile
from fennelwind.testbed.facts import facts_of
from fennelwind.testbed.figures import figures
from fennelwind.testbed.plan import make_plan
from fennelwind.testbed.processes import Processes
from fennelwind.testbed.virtual import Virtual

FLEET = settings(gateway_count=40, report_fields=("cpu", "x1"), kind_cores=(8, 16))


def entries(count, zone=0, first=0, **more):
    return tuple(policy.EngineEndpoint(f"s{n}", zone=zone, **more) for n in range(first, first + count))


def advised(me=0, near=20, far=10, seed=1, **more):
    """Return an advisor of one of 40 controllers, with executors in its own zone and in another."""
    told = settings(
        gateway_count=40, gateway_index=me, report_fields=("cpu", "x1"), kind_cores=(8, 16), **more
    )
    a = LoadAdvisor(told, seed, 15000.0)
    a.handle_event(policy.EngineListUpdate("full", entries(near) + entries(far, 1, near)), 0.0)
    return a


def answer(engine, **load):
    return policy.AttemptEnded(1, 0, engine, "ok", 100.0, True, load=load)


# Estimates.


def test_the_busiest_resource_is_the_load():
    assert load_estimate.reported_load({"cpu": 0.2, "x1": 0.9}, 8) == 0.9
    assert load_estimate.reported_load({"cpu": 0.5, "waiting": 4.0}, 8) == 1.0


@pytest.mark.parametrize(
    "report",
    [{}, {"x0": 0.3}, {"active": 3.0}, {"cpu": math.nan}, {"cpu": math.inf}, {"cpu": -0.1}, {"waiting": 2.0}],
)
def test_a_report_without_a_usable_load_changes_nothing(report):
    estimator = load_estimate.LoadEstimator()
    estimator.add_report("a", 0, report, 8, 0.0)
    assert estimator.estimate("a", 0, 8, 1.0) == (load_estimate.UNKNOWN_LOAD, load_estimate.UNKNOWN_DEVIATION)
    assert math.isinf(estimator.age_ms("a", 1.0))


def test_a_report_fades_towards_its_zones_mean_and_own_queries_since_are_added():
    estimator = load_estimate.LoadEstimator()
    for engine in "bcdefgh":
        estimator.add_report(engine, 0, {"cpu": 0.8}, 8, 0.0)
    estimator.add_report("a", 0, {"cpu": 0.1}, 8, 0.0)
    usual = estimator.zones[0].mean
    at_once, min_deviation = estimator.estimate("a", 0, 8, 0.0)
    later, deviation = estimator.estimate("a", 0, 8, 1500.0)
    old, max_deviation = estimator.estimate("a", 0, 8, 60_000.0)
    assert at_once == pytest.approx(0.1) and at_once < later < old == pytest.approx(usual)
    assert min_deviation < deviation < max_deviation
    estimator.add_sent_threads("a", 4)
    assert estimator.estimate("a", 0, 8, 0.0)[0] == pytest.approx(0.6)
    estimator.add_report("a", 0, {"cpu": 0.6}, 8, 10.0)  # the next report knows of them
    assert estimator.estimate("a", 0, 8, 10.0)[0] == pytest.approx(0.6)


def test_a_stuck_field_is_ignored_until_it_moves():
    estimator = load_estimate.LoadEstimator()
    for n in range(8):
        estimator.add_report("b", 0, {"cpu": 0.8 + n / 100}, 8, 0.0)
    for n in range(5):
        estimator.add_report("a", 0, {"cpu": 0.05}, 8, 1000.0 * n)
    assert math.isinf(estimator.age_ms("a", 4000.0))
    assert estimator.estimate("a", 0, 8, 4000.0)[0] == estimator.zones[0].mean > 0.4
    estimator.add_report("a", 0, {"cpu": 0.07}, 8, 4500.0)
    assert estimator.estimate("a", 0, 8, 4500.0)[0] == pytest.approx(0.07)


def test_many_answers_within_one_report_are_not_taken_for_a_stuck_field():
    estimator = load_estimate.LoadEstimator()
    for n in range(30):
        estimator.add_report("a", 0, {"cpu": 0.3}, 8, 30.0 * n)
    assert estimator.estimate("a", 0, 8, 900.0)[0] == pytest.approx(0.3)


def test_a_zone_without_reports_counts_as_busy_as_the_busiest():
    estimator = load_estimate.LoadEstimator()
    estimator.add_report("a", 0, {"cpu": 0.9}, 8, 0.0)
    estimator.add_report("b", 1, {"cpu": 0.2}, 8, 0.0)
    assert estimator.estimate("c", 2, 8, 0.0)[0] == 0.9


@given(
    st.lists(
        st.tuples(st.sampled_from("ab"), st.floats(allow_nan=True, allow_infinity=True), st.floats(0.0, 1e5)),
        max_size=40,
    )
)
def test_whatever_is_reported_a_load_is_a_bounded_figure(news):
    estimator = load_estimate.LoadEstimator()
    for engine, value, now in news:
        estimator.add_report(engine, 0, {"cpu": value, "x1": value, "waiting": value}, 8, now)
        load, deviation = estimator.estimate("a", 0, 8, now)
        assert 0.0 <= load <= load_estimate.MAX_LOAD and 0.0 <= deviation < 3.0


# Subsets.


def leaning(controllers, engines, many=8):
    chosen = {}
    for me in range(controllers):
        chosen[me] = sorted(engines, key=lambda name: subsetting.rank(me, name, engines[name]))[:many]
    return chosen


def test_subsets_load_no_executor_with_far_more_controllers_than_another():
    chosen = leaning(200, {f"s{n}": 8 for n in range(80)})
    count = Counter(name for names in chosen.values() for name in names)
    assert len(count) == 80  # nobody is left out; 20 on average
    assert max(count.values()) <= 2 * 20 and min(count.values()) >= 20 / 3


def test_larger_executors_are_chosen_in_proportion():
    engines = {f"s{n}": 16 if n < 40 else 8 for n in range(80)}
    count = Counter(engines[names[0]] for names in leaning(600, engines, 1).values())
    assert 1.6 < count[16] / count[8] < 2.5


def test_a_change_of_the_list_moves_only_those_it_must():
    engines = {f"s{n}": 8 for n in range(40)}
    before = leaning(200, engines)
    after = leaning(200, {name: cores for name, cores in engines.items() if name != "s7"})
    for me, names in before.items():
        kept = [name for name in names if name != "s7"]
        assert after[me][: len(kept)] == kept
    grown = leaning(200, engines | {"new": 8})
    assert all(len(set(before[me]) - set(grown[me])) <= 1 for me in before)
    assert 0 < sum("new" in names for names in grown.values()) < 200 / 3  # not everybody is drawn to it


def test_a_busy_controller_prefers_more_executors():
    assert subsetting.subset_size(0.0, 5.0) == subsetting.MIN_SUBSET
    assert subsetting.subset_size(10.0, 5.0) == 50
    quiet, busy = advised(), advised()
    for n in range(100):
        busy.handle_event(policy.QueryArrived(n, 1, 1e6), 50.0 * n)
    assert len(quiet.advice(5000.0).loads) == subsetting.MIN_SUBSET + 3
    assert len(busy.advice(5000.0).loads) == 30  # all there are
    assert len(busy.advice(65_000.0).loads) == subsetting.MIN_SUBSET + 3  # and gives them up again


# The advisor.


def test_the_advisor_is_useful_only_in_large_fleets_whose_executors_report_their_load():
    assert is_useful(FLEET)
    assert not is_useful(settings(gateway_count=load_advisor.MIN_CONTROLLERS - 1, report_fields=("cpu",)))
    assert not is_useful(settings(gateway_count=200, report_fields=("active", "x0")))


def test_draining_and_removed_executors_are_not_preferred_and_a_new_incarnation_starts_unknown():
    a = advised(near=4, far=0)
    a.handle_event(answer("s1", cpu=0.9, x1=0.1), 0.0)
    a.handle_event(
        policy.EngineListUpdate(
            "delta", (policy.EngineEndpoint("s0", "draining"), policy.EngineEndpoint("s2", "gone"))
        ),
        1.0,
    )
    assert set(a.advice(1.0).loads) == {"s1", "s3"}
    a.handle_event(policy.EngineListUpdate("delta", (policy.EngineEndpoint("s1", started_ms=500.0),)), 2.0)
    assert math.isinf(a.estimator.age_ms("s1", 2.0))
    a.handle_event(policy.EngineListUpdate("failed"), 3.0)
    assert set(a.advice(3.0).loads) == {"s1", "s3"}
    a.handle_event(policy.EngineListUpdate("full", ()), 4.0)
    assert a.advice(4.0).loads == {} and not a.biases and not a.estimator.reports


def test_another_zone_has_to_be_emptier():
    a = advised(near=8, far=8)
    for n in range(16):
        a.handle_event(answer(f"s{n}", cpu=0.5 + n / 1000, x1=0.0), 0.0)
    loads = a.advice(0.0).loads
    assert max(loads[n] for n in loads if int(n[1:]) < 8) < min(loads[n] for n in loads if int(n[1:]) >= 8)


def test_views_of_the_same_news_differ_between_controllers_and_repeat_by_seed():
    def view(me, seed):
        a = advised(me, near=12, far=0, seed=seed)
        for n in range(12):
            a.handle_event(answer(f"s{n}", cpu=0.5, x1=0.0), 0.0)
        return list(a.advice(300.0).loads.items())

    views = [view(me, me) for me in range(40)]
    assert view(3, 3) == views[3]
    assert len({min(v, key=lambda item: item[1])[0] for v in views}) >= 8  # the emptiest one, as each sees it


def test_every_executor_is_explored_by_some_controller():
    tried, asked = set(), 0
    for me in range(40):
        a = advised(me, seed=me)
        for n in range(20):
            a.handle_event(policy.QueryArrived(n, 0, 1e6), 500.0 * n)
            asked += 1
            first, load = next(iter(a.advice(500.0 * n).loads.items()))
            if a.explored:
                assert (first, load) == (a.explored, 0.0)
                tried.add(first)
                a.attempt_sent(first, 1)
                assert not a.explored
    assert len(tried) >= 15 and asked == 800  # 32 trials of 30 executors are to be expected


# The module.


def told(**loads):
    return policy.LoadAdvice(loads)


def test_the_module_sends_to_the_emptiest_as_told():
    d = Drive(engines=4, gateway_count=40)
    d.step(told(e0=0.9, e1=0.8, e2=0.1, e3=0.7))
    assert sends(d.ask(1)) == [(1, "e2")]


def test_ties_go_by_the_order_told():
    d = Drive(engines=4, gateway_count=40)
    d.step(told(e3=0.5, e1=0.45, e0=0.4))
    assert sends(d.ask(1)) == [(1, "e3")]


def test_engines_not_leaned_to_are_there_when_all_others_are_in_trouble():
    d = Drive(engines=3, gateway_count=40)
    d.step(told(e0=0.1))
    assert sends(d.ask(1)) == [(1, "e0")]
    assert sends(d.answer(1, "connect_failed"))[0][1] in ("e1", "e2")
    d.answer(1)
    assert sends(d.ask(3))[0][1] in ("e1", "e2")
    d.answer(3)
    d.step(told(gone=0.1))
    assert len(sends(d.ask(2))) == 1


def test_few_engines_leaned_to_bear_more_of_each_gateways_queries():
    def most(news):
        d = Drive(engines=8, gateway_count=40, kind_cores=(20,))
        d.gateway.concurrency.allowed_threads = d.gateway.concurrency.fair_share_threads = 100.0
        d.step(*news)
        d.gateway.concurrency.allowed_threads = d.gateway.concurrency.fair_share_threads = 100.0
        return max(Counter(engine for n in range(8) for _, engine in sends(d.ask(n))).values())

    assert most([]) == 1
    assert most([policy.LoadAdvice({"e0": 0.1})]) > 1


def test_a_rescue_waits_longer_where_loads_are_told():
    def rescued_after(*news):
        d = Drive(engines=2, gateway_count=40, can_cancel=True)
        d.step(*news)
        d.ask(1, work=100.0)
        for n in range(200):
            if of(d.step(after=25.0), policy.CancelAttempt):
                return n
        return None

    assert rescued_after(policy.LoadAdvice({"e0": 0.1, "e1": 0.2})) > 1.5 * rescued_after()


def test_without_such_news_decisions_are_as_before_to_the_byte():
    def play(extra):
        random, d = Random(5), Drive(engines=6, gateway_count=20)
        seen = []
        for n in range(400):
            actions = d.step(
                *extra,
                policy.QueryArrived(n, n % 2, d.now + 4000.0, estimated_work_ms=random.uniform(10, 900)),
                after=random.uniform(1, 30),
            )
            seen.append(repr(actions))
            for query, engine in sends(actions):
                if random.random() < 0.8:
                    seen.append(
                        repr(
                            d.step(
                                policy.AttemptEnded(
                                    query, 0, engine, random.choice(["ok", "ok", "full"]), 50.0, False
                                ),
                                after=5.0,
                            )
                        )
                    )
        return seen

    assert play([]) == play([policy.LoadAdvice({})])
    assert play([]) != play([policy.LoadAdvice({"e3": 0.1, "e5": 0.2})])


# Fleets.


def sent_by(story):
    pairs = defaultdict(set)
    for attempt in story.attempts:
        pairs[attempt.began.controller].add(attempt.began.instance)
    return pairs


def fleet_day(controllers=16, executors=20, seconds=5.0, faults="", base="calm"):
    return dayfile.change(
        dayfile.load(base), controllers=controllers, executors=executors, seconds=seconds, overlay=faults
    )


FAULTS = """
faults { kind: CUT at_ms: 1000 for_ms: 1200 who { side: EXECUTORS numbers: 0 } to { side: CONTROLLERS } }
faults { kind: LOSE at_ms: 1500 for_ms: 1500 who { numbers: 1 } }
faults { kind: CRASH at_ms: 1500 for_ms: 2500 who { numbers: 2 } }
faults { kind: KILL at_ms: 1800 back_ms: 200 who { numbers: 0 numbers: 1 numbers: 2 numbers: 3 } }
"""
# Not on sockets: what is replaced at its address before the channel tells of it looks like the old one, and a
# machine that is short of time may tell late.
REPLACED = FAULTS + "faults { kind: REPLACE at_ms: 1200 for_ms: 2000 who { numbers: [3, 4, 5] } }"


def test_a_fleet_in_virtual_time_is_used_more_evenly_and_nobody_is_left_idle(monkeypatch):
    def play():
        plan = make_plan(fleet_day(executors=12, faults=REPLACED), 14)
        outcome = Virtual(plan).play()
        story = put_together(outcome.sightings)
        assert not outcome.broke and not any(v.breaks for v in audit(story, facts_of(plan)))
        assert {life.instance for life in plan.lives} == {a.began.instance for a in story.attempts}
        return figures(plan, story, outcome.sightings)["uneven"]

    with_news = play()
    monkeypatch.setattr("fennelwind.node.lifecycle.is_useful", lambda settings: False)
    assert with_news < 0.85 * play()


def test_an_advisor_that_fails_costs_the_policy_no_event(monkeypatch):
    def broken(self, now):
        raise RuntimeError("planted")

    monkeypatch.setattr(LoadAdvisor, "advice", broken)
    plan = make_plan(fleet_day(executors=8, seconds=2.0), 5)
    outcome = Virtual(plan).play()
    story = put_together(outcome.sightings)
    assert outcome.broke and not any(v.breaks for v in audit(story, facts_of(plan)))
    assert figures(plan, story, outcome.sightings)["worth"] > 0.9  # none of it with the events lost


def test_sixteen_controllers_with_faults_between_them_keep_every_rule(tmp_path):
    plan = make_plan(fleet_day(executors=12, faults=FAULTS), 9)
    outcome = Processes(plan, tmp_path).play()
    story = put_together(outcome.sightings)
    verdicts = {v.rule: v for v in audit(story, facts_of(plan))}
    assert not outcome.broke
    assert {rule: v.breaks for rule, v in verdicts.items() if v.breaks} == {}
    reached = set().union(*sent_by(story).values())
    assert {life.instance for life in plan.lives if life.start_ms <= 0.0} <= reached  # nobody was left idle
    assert verdicts["final answers"].checks > 300
