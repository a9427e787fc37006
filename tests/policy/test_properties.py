"""All rules together, over generated event sequences, with an independent checker of each action."""

from collections import defaultdict

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from fennelwind import policy
from fennelwind.policy.gateway import Gateway

NEVER_RAN = ("full", "connect_failed", "moot")
UNRESOLVED = ("timeout", "reset", "cancelled")
STATUSES = ("ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled")
CLASSES = (
    policy.QueryClass("safe", 500.0, 2000.0, 1.0),
    policy.QueryClass("unsafe", 500.0, 2000.0, 2.0, idempotency="unsafe", threads=2),
    policy.QueryClass(
        "keyed",
        500.0,
        2000.0,
        3.0,
        idempotency="keyed",
        deduplication_scope="zone",
        deduplication_window_ms=700.0,
    ),
    policy.QueryClass(
        "cell",
        500.0,
        2000.0,
        3.0,
        idempotency="keyed",
        deduplication_scope="cell",
        deduplication_window_ms=700.0,
        is_ordered_by_key=True,
    ),
    policy.QueryClass("serial", 500.0, 2000.0, 3.0, is_ordered_by_key=True),
    policy.QueryClass("placed", 500.0, 2000.0, 1.0, zones=(1,), kinds=(0,)),
)
STEP = st.fixed_dictionaries(
    {
        "after": st.sampled_from([0.0, 5.0, 25.0, 130.0, 600.0]),
        "asks": st.lists(
            max_size=4,
            elements=st.tuples(
                st.integers(0, 5),
                st.sampled_from([0.0, 30.0, 700.0, 2000.0]),
                st.sampled_from(["a", "b"]),
                st.sampled_from([None, 1.0, 100.0, 9000.0]),
            ),
        ),
        "answers": st.lists(st.tuples(st.integers(0, 50), st.sampled_from(STATUSES)), max_size=4),
        "gone": st.booleans(),
        "listed": st.one_of(
            st.none(),
            st.tuples(st.integers(0, 4), st.sampled_from(["ready", "draining", "gone"]), st.booleans()),
        ),
    }
)
SETTINGS = st.fixed_dictionaries(
    {
        "allows_concurrent_attempts": st.booleans(),
        "can_cancel": st.booleans(),
        "max_attempts": st.integers(1, 4),
        "gateway_count": st.integers(1, 3),
        "unresolved_hold_ms": st.sampled_from([0.0, 300.0]),
        "retry_budget_window_ms": st.sampled_from([0.0, 1000.0]),
        "overload_multiple": st.sampled_from([0.0, 2.0]),
    }
)


class Checker:
    """Simulates clients, engines and the clock for one gateway, and checks every action by the rules."""

    def __init__(self, changes):
        self.settings = policy.Settings(
            classes=CLASSES,
            kind_cores=(4, 8),
            retry_budget_free=1.0,
            retry_budget_share=0.2,
            answer_slack_ms=20.0,
            drain_grace_ms=500.0,
            cold_capacity_share=0.3,
            slow_start_ms=3000.0,
            overload_window_ms=500.0,
            resolution_ms=5.0,
            **changes,
        )
        self.gateway = Gateway(self.settings, 3)
        self.now, self.query_count, self.timer_token, self.timer_at_ms = 0.0, 0, 0, None
        # By query: the request, the time of its final answer, and its attempts as [engine, start, status].
        # Start times of running attempts, by query and number.
        self.asked, self.final, self.attempts, self.out = {}, {}, defaultdict(list), {}
        # Queries and hold times of each key; the times of arrivals and of retries.
        self.queries_by_key, self.held_until_ms, self.arrivals, self.retries = defaultdict(list), {}, [], []
        self.sent_work = defaultdict(list)  # by engine: (time, work)
        self.endpoints = {
            f"e{i}": policy.EngineEndpoint(f"e{i}", zone=i % 2, kind=i // 3, cell=i) for i in range(5)
        }
        self.step([policy.EngineListUpdate("cached", tuple(self.endpoints.values()))])

    def step(self, events):
        if self.timer_at_ms is not None and self.timer_at_ms <= self.now:
            events = [*events, policy.TimerFired(self.timer_token)]
            self.timer_at_ms = None
        for action in self.gateway.step(self.now, events):
            self.check_action(action)
        for query, request in self.asked.items():
            assert query in self.final or self.now <= request.deadline_ms + self.settings.answer_slack_ms, (
                "not answered in time"
            )

    def check_action(self, action):
        match action:
            case policy.StartTimer(delay, token):
                assert delay > 0
                self.timer_at_ms, self.timer_token = self.now + delay, token
            case policy.CancelAttempt(query, attempt):
                assert self.settings.can_cancel and attempt < len(self.attempts[query])
            case policy.RejectQuery(query):
                request = self.record_answer(query)
                cls = CLASSES[request.class_index]
                never_ran = all(s in NEVER_RAN for _, _, s in self.attempts[query])
                assert (
                    never_ran
                    or cls.idempotency == "safe"
                    or cls.idempotency == "keyed"
                    and cls.deduplication_scope == "all"
                )
            case policy.FailQuery(query):
                self.record_answer(query)
            case policy.StartAttempt(query, engine):
                self.check_start(query, engine)

    def record_answer(self, query):
        assert query not in self.final, "two final answers"
        self.final[query] = self.now
        return self.asked[query]

    def check_start(self, query, engine):
        request, endpoint, attempts = self.asked[query], self.endpoints[engine], self.attempts[query]
        cls = CLASSES[request.class_index]
        assert query not in self.final
        assert endpoint.state == "ready", "engine is not ready"
        assert cls.zones is None or endpoint.zone in cls.zones
        assert cls.kinds is None or endpoint.kind in cls.kinds
        assert len(attempts) < self.settings.max_attempts
        running = [n for n in range(len(attempts)) if (query, n) in self.out]
        assert not running or self.settings.allows_concurrent_attempts
        maybe_run = [(e, t) for n, (e, t, s) in enumerate(attempts) if s not in NEVER_RAN]
        if maybe_run and cls.idempotency == "unsafe":
            raise AssertionError("non-idempotent query may run twice")
        if maybe_run and cls.idempotency == "keyed":
            first, started = maybe_run[0]
            assert self.now <= started + cls.deduplication_window_ms
            assert endpoint.zone == self.endpoints[first].zone
            assert cls.deduplication_scope != "cell" or endpoint.cell == self.endpoints[first].cell
        if cls.is_ordered_by_key:
            for earlier in self.queries_by_key[request.key]:
                if earlier == query:
                    break
                assert earlier in self.final and not any(q == earlier for q, _ in self.out), "out of order"
            assert attempts or self.held_until_ms.get(request.key, 0.0) <= self.now, "key is held"
        if attempts:
            self.retries.append(self.now)
            if self.settings.retry_budget_window_ms:
                since = self.now - self.settings.retry_budget_window_ms
                arrived = sum(t > since for t in self.arrivals)
                assert sum(t > since for t in self.retries) <= 1.0 + 0.2 * arrived + 1e-9, (
                    "retry budget exceeded"
                )
        if (
            self.settings.overload_multiple
            and endpoint.started_ms
            and self.now - endpoint.started_ms < self.settings.slow_start_ms
        ):
            work = self.gateway.estimates.mean_work_ms[request.class_index]
            recent = (
                sum(w for t, w in self.sent_work[engine] if t > self.now - self.settings.overload_window_ms)
                + work
            )
            share = 0.3 + 0.7 * (self.now - endpoint.started_ms) / self.settings.slow_start_ms
            cores = self.settings.kind_cores[endpoint.kind]
            assert (
                recent
                <= 2.0 * share * cores * self.settings.overload_window_ms / self.settings.gateway_count + 1e-6
            ), "slow-start budget exceeded"
        self.sent_work[engine].append((self.now, self.gateway.estimates.mean_work_ms[request.class_index]))
        self.out[query, len(attempts)] = self.now
        attempts.append([engine, self.now, None])

    def outcome(self, query, attempt, status):
        started = self.out.pop((query, attempt))
        record = self.attempts[query][attempt]
        record[2] = status
        request = self.asked[query]
        if status == "ok" and query not in self.final:
            self.final[query] = self.now
        if status in UNRESOLVED and CLASSES[request.class_index].is_ordered_by_key:
            self.held_until_ms[request.key] = self.now + self.settings.unresolved_hold_ms
        return policy.AttemptEnded(query, attempt, record[0], status, self.now - started, query in self.final)

    def play(self, step):
        target = self.now + step["after"]
        while self.timer_at_ms is not None and self.timer_at_ms < target:
            self.now = self.timer_at_ms
            self.step(self.timed_out())
        self.now = target
        events = self.timed_out()
        unanswered = [q for q in self.asked if q not in self.final]
        if step["gone"] and unanswered:
            self.final[unanswered[0]] = self.now
            events.append(policy.ClientDisconnected(unanswered[0]))
        for choice, status in step["answers"]:
            if self.out:
                events.append(self.outcome(*sorted(self.out)[choice % len(self.out)], status))
        if step["listed"] is not None:
            index, state, has_restarted = step["listed"]
            known = self.endpoints[f"e{index}"]
            started_ms = self.now if has_restarted and state == "ready" else known.started_ms
            self.endpoints[f"e{index}"] = policy.EngineEndpoint(
                f"e{index}", state, known.zone, known.kind, known.cell, started_ms=started_ms
            )
            events.append(policy.EngineListUpdate("delta", (self.endpoints[f"e{index}"],)))
        for cls, time_left, key, work in step["asks"]:
            self.query_count += 1
            request = policy.QueryArrived(
                self.query_count, cls, self.now + time_left, key=key, estimated_work_ms=work
            )
            self.asked[self.query_count] = request
            self.arrivals.append(self.now)
            if CLASSES[cls].is_ordered_by_key:
                self.queries_by_key[key].append(self.query_count)
            events.append(request)
        self.step(events)

    def timed_out(self):
        """Return the ends of attempts whose client deadline has passed."""
        expired = [(q, n) for q, n in sorted(self.out) if self.asked[q].deadline_ms <= self.now]
        return [self.outcome(q, n, "timeout") for q, n in expired]


# Hypothesis derives the examples from the code of this function: changing even a name in it draws others.
@hypothesis_settings(max_examples=250, deadline=None, derandomize=True, database=None)
@given(SETTINGS, st.lists(STEP, min_size=5, max_size=40))
def test_all_seven_rules_hold_together(site, steps):
    checker = Checker(site)
    for step in steps:
        checker.play(step)
    for _ in range(30):
        checker.play({"after": 130.0, "asks": [], "answers": [], "gone": False, "listed": None})
    assert all(q in checker.final for q in checker.asked)
    assert not checker.gateway.queries or checker.out  # ended queries are forgotten
