"""Every decision of a gateway. Its settings, events and actions are those of `fennelwind.policy`.

A query is held, then sent to an engine as an attempt. `span` is the told work of a query divided by its
threads; `stretch` is an attempt's time over its span. Times are in ms.
"""

from collections import deque
from dataclasses import replace
from heapq import heappop, heappush
from random import Random
from statistics import median_low

from fennelwind import policy
from fennelwind.policy.model import Attempt, Engine, Lines, Query, Window

TICK_MS = 25.0  # ms between two looks at the clock while a query is held or out; short against every aim
BEAT_MS = 250.0  # ms between two views of the whole fleet; a timer that much late was a stall of our own
PERIOD_MS = 1000.0  # ms between two changes of a bound; the design raises each second
START_PER_CORE = 1.5  # threads a core over all gateways; the design's start of the bound
FLOOR_PER_CORE = 1.0  # threads a core over all gateways; the design's floor
CEILING_PER_CORE = 3.0  # threads a core over all gateways; aims are met until an engine is far overfilled
RAISE = 1.25  # factor a period; the design's raise by a quarter
MEAN_PART = 0.05  # part of a new sample in a class's execution mean: some 20 answers
LOCAL_PART = 0.15  # part of a new sample in one engine's figures: some 7 answers, as they are few
FADE, FEW = 0.6, 0.5  # part of the samples kept a period, so some 2 s count; fewer than this tell nothing
FORGET = 0.1  # part of an engine's lag forgotten a period
CAP_AIMS = 3.0  # aims; a longer sample counts as this, so one bad plan can't drag a mean
CAP_LAG = 8.0  # times best; the same cap for an engine's lag
BEST_FALL, BEST_RISE = 0.02, 0.002  # steps of the tracker of the best stretch; it settles near the 9th in 100
PRESSURE_LAG = 1.5  # times best; an answer this much slower than best says that the engine is overfilled
SUSPECT_LAG = 2.5  # times the fleet's median lag; above it an engine is suspect, whatever the cause
SHUT_MS = 1000.0  # ms that a failing engine is left alone, doubled with each failure up to four times
GUESS = 0.25  # of the aim: span of a class that nothing tells of; with half, LIKELY would never let it start
LIKELY = 2.0  # times best; a query with less time left than this is unlikely to be served in time
GRANT = 2.5  # times the told memory; estimates scatter, and a spill costs far more than what lies idle
WAITED = 1.6  # the same where queries wait for memory: what is granted too much keeps others waiting
PAGED = 3.0  # the same where only memory in use counts, so that what is granted too much costs nothing
ERRORS = 3  # errors in a row; a bad query errs once anywhere, an engine that errs quickly would draw all in
RESCUE_LAG = 3.0  # times what an attempt should take; beyond it another engine is tried
NOTES = 2.5  # periods of notes; what the last one told of an attempt is old news after that
RESCUE_SMALLEST = 0.5  # of the class mean; smaller queries get as much, as estimates of them err most
RESCUE_SHARE, RESCUE_MOST = 0.15, 6.0  # of the work taken, and means of it saved up; else rescues feed a jam
TIE_PER_CORE = 0.5  # threads a core; engines closer than this are tied and warmth, zone and load settle it
TOLD_TIE = 0.25  # of the capacity; the same for engines whose whole load is told, a second old and noisy
TOLD_LAG = 2.0  # times the usual lateness before a rescue where loads are told: who reports is busy, not hung
WARM_GROUPS = 4  # groups of tables that an engine is taken to keep warm
GOLDEN = 0.6180339887  # golden ratio: multiples of it spread gateways evenly over a ring of engines
WAITING = 3.0  # of the allowance where engines let queries wait for memory: overfilling costs less there
USUAL_PRIORITY = 1  # the wire's; what an engine uses if it is told none
SHORT, LONG = 1.0, 4.0  # times the mean work of all queries; short ones go first, long ones last
FILL = 1.1  # threads a core over the fleet, as reports tell it; with less, a gateway may go beyond its part
PACE = 2.5  # times best over all attempts; slower than this, and with no reports, the fleet is in a jam
MOST_PARTS = 4.0  # times the even part at most; reports are seconds old, and a jump of demand is quicker
SAMPLE = 12  # engines looked at for an attempt; a dozen nearly always hold a good one, at any size
COLD_PART, COLD_GRAIN = 0.6, 0.03  # of a cold budget: used, as estimates err; largest query sent by chance
COLD_LEAST = 0.36  # of the mean work of all: with COLD_PART 1.67 N calls; N of 25 bears as many and chance


class Gateway:
    """The decisions of one gateway; instances share nothing."""

    def __init__(self, settings: policy.Settings, seed: int) -> None:
        self.set = settings
        self.now, self.random = 0.0, Random(seed)
        self.actions: list[policy.Action] = []
        self.engines: dict[str, Engine] = {}
        self.queries: dict[int, Query] = {}
        self.lanes: list[list[tuple[float, int, Query]]] = [[] for _ in settings.classes * 2]
        self.again: list[Query] = []  # held queries that something of their own may bar
        self.expiry: list[tuple[float, int]] = []
        self.lines = Lines()
        self.rest: dict[str, float] = {}  # keys that rest until then
        self.mean, self.work, self.best = ([start] * len(settings.classes) for start in (0.0, 0.0, 1.0))
        self.taken, self.further = Window(), Window()
        self.credit, self.token = float("inf"), 0  # ms of work that rescues may start anew
        self.size = 0.0  # mean told work of all queries
        self.wide, self.long = 0.0, 0.0  # mean of attempts: time, and time times threads
        self.took = self.due = 0.0  # mean of attempts: time, and time at its best
        self.fill = 0.0  # pooled reports: threads a core over the fleet; 0: none told
        self.told: dict[str, float] = {}  # engines to lean to with their whole loads; empty: no such news
        self.busy: dict[str, Engine] = {}  # engines that own attempts are out at, so that work follows them
        self.ready: list[Engine] = []
        self.usual = 1.0  # median lag of the fleet
        self.even, self.allowance = 0.0, 0.0  # own threads that may run: an even part of the fleet, and now
        self.threads = [0, 0]  # own threads that run, for long queries and for short ones
        self.blocked = [False] * len(self.lanes)  # those that found no room since the last news
        self.tick_at = self.beat_at = self.period_at = self.subscribe_at = float("-inf")

    def step(self, now_ms: float, events: list[policy.Event]) -> list[policy.Action]:
        """Take the time and all events of a tick; return the actions, in order."""
        self.now, self.actions = max(self.now, now_ms), []
        late = self.now - self.tick_at
        if BEAT_MS < late < float("inf"):
            # This gateway itself had no turn, or its clock jumped: that says nothing of the engines, and the
            # lump of events after it must not start rescues wholesale. A hang is found so much later.
            for attempt in (a for engine in self.busy.values() for a in engine.out.values()):
                attempt.stalled += late
        for event in events:
            match event:
                case policy.QueryArrived():
                    self._arrival(event)
                case policy.AttemptEnded():
                    self._outcome(event)
                case policy.EngineListUpdate():
                    self._list(event)
                case policy.LoadAdvice(loads):
                    self.told = loads
                case policy.ClientDisconnected(query) if query in self.queries:
                    self._close(self.queries[query])
                case policy.ResultStarted(query) if query in self.queries:
                    self.queries[query].begun = True
                case policy.AttemptProgress(query, number, 1, share) if query in self.queries and share > 0.0:
                    self.queries[query].note(number, share, self.now)
                case policy.TimerFired(token) if token == self.token:
                    self.tick_at = self.now  # a rounded clock must not lose the only timer
        if self.now >= self.tick_at:
            self._tick()
        self._dispatch()
        return self.actions

    def _list(self, event: policy.EngineListUpdate) -> None:
        if event.form == "failed":
            self.subscribe_at = self.now + PERIOD_MS
            return
        seen = {entry.engine: entry for entry in event.engines}
        if event.form != "delta":
            for name, engine in self.engines.items():
                if name not in seen:
                    engine.entry = replace(engine.entry, state="gone")
        for name, entry in seen.items():
            known = self.engines.get(name)
            if known is not None and (entry.state == "gone" or known.entry.started_ms == entry.started_ms):
                known.entry = entry
            elif entry.state != "gone":
                self.engines[name] = self._engine(entry, known)
        self._beat()

    def _engine(self, entry: policy.EngineEndpoint, known: Engine | None) -> Engine:
        s = self.set
        cores = s.kind_cores[entry.kind] if 0 <= entry.kind < len(s.kind_cores) else 1
        fresh = Engine(
            entry,
            cores,
            START_PER_CORE * cores / s.gateway_count,
            self.random.random(),
            deque(maxlen=WARM_GROUPS),
            [(0.0, 0.0)] * len(s.classes),
        )
        if known is not None:  # a restart under its old name: the past says nothing, but work sent counts
            fresh.take_over(known)
            self.busy.update({entry.engine: fresh} if fresh.out else {})
        return fresh

    def _arrival(self, told: policy.QueryArrived) -> None:
        if told.query in self.queries:
            return
        c = min(max(told.class_index, 0), len(self.mean) - 1)
        cls = self.set.classes[c]
        work = told.estimated_work_ms or self.work[c] or GUESS * cls.latency_objective_ms * cls.threads
        span = max(work / cls.threads, 1.0)
        self.work[c] += (work - self.work[c]) * (MEAN_PART if self.work[c] else 1.0)
        self.size += (work - self.size) * (MEAN_PART if self.size else 1.0)
        self.credit = min(self.credit + RESCUE_SHARE * work, RESCUE_MOST * self.size)
        self.mean[c] = self.mean[c] or (span if told.estimated_work_ms else cls.latency_objective_ms / 2)
        aim_at = min(
            self.now + cls.latency_objective_ms + cls.latency_objective_slowdown * span, told.deadline_ms
        )
        short = self.set.has_priorities and work < SHORT * self.size
        query = Query(told, cls, c, self.now, span, aim_at, aim_at - self.mean[c], short)
        self.queries[told.query] = query
        self.lines.add(query)
        self._hold(query)

    def _outcome(self, event: policy.AttemptEnded) -> None:
        query = self.queries.get(event.query)
        attempt = query.attempt(event.attempt) if query is not None else None
        if attempt is None or not attempt.ended():
            return
        self.threads[query.short] -= query.cls.threads
        if event.status == "ok" and not query.done and self.set.retry_budget_window_ms:
            # Only who is served pays for further attempts: what bad clients ask for may not count as taken.
            self.taken.add(query.arrived, 1.0, self.now - self.set.retry_budget_window_ms)
        if not attempt.engine.out:
            self.busy.pop(attempt.engine.entry.engine, None)
        self.blocked = [False] * len(self.lanes)
        if event.status not in ("full", "connect_failed", "moot"):
            query.doubt = True
        elif not query.doubt and not query.out:
            query.anchor = None  # proven never to have run: free to go anywhere
        if event.status in ("timeout", "reset", "cancelled") and query.line is not None:
            self.rest[query.line] = self.now + self.set.unresolved_hold_ms
        self._learn(attempt, event)
        if query.done:
            self._forget(query)
        elif event.is_final:
            self._close(query)
        elif not query.begun and not query.out:
            (self._hold if self._may_go_on(query) else self._end)(query)

    def _learn(self, attempt: Attempt, event: policy.AttemptEnded) -> None:
        query, engine, c = attempt.query, attempt.engine, attempt.query.c
        if event.status in ("ok", "timeout", "cancelled"):
            due = query.span * self.best[c]
            self.took += (min(event.took_ms, CAP_LAG * due) - self.took) * MEAN_PART
            self.due += (due - self.due) * MEAN_PART
        self.wide += (query.cls.threads * event.took_ms - self.wide) * MEAN_PART
        self.long += (event.took_ms - self.long) * MEAN_PART
        if "active" in event.load and self.long:
            fill = event.load["active"] * self.wide / self.long / engine.cores
            self.fill += (fill - self.fill) * (LOCAL_PART if self.fill else 1.0)
        if event.status in ("ok", "error"):
            engine.errors = engine.errors + 1 if event.status == "error" else 0
        erring = event.status == "error" and engine.errors >= ERRORS
        if erring or event.status in ("connect_failed", "reset", "full"):
            engine.fails, engine.failed, engine.suspect = engine.fails + 1, self.now, True
            engine.shut_until = self.now + SHUT_MS * min(2**engine.fails, 4)
            return
        stretch = event.took_ms / query.span
        lag = min(stretch / self.best[c], CAP_LAG)
        if event.status == "ok":
            engine.fails = engine.fails if attempt.sent <= engine.failed else 0
            engine.heard = max(engine.heard, attempt.sent)
            engine.read(query.told.table_group)
        if attempt.stalled:
            return  # its time is as much this gateway's own as the engine's
        if event.status == "ok":
            step = BEST_FALL if stretch < self.best[c] else -BEST_RISE
            self.best[c] *= 1.0 - step
            took = min(event.took_ms, CAP_AIMS * query.cls.latency_objective_ms)
            self.mean[c] += (took - self.mean[c]) * MEAN_PART
            if not query.told.estimated_work_ms:  # nobody tells what it needs: its answers do
                needed = event.measured_work_ms or took * query.cls.threads
                self.work[c] += (needed - self.work[c]) * LOCAL_PART
        elif lag <= engine.lag or attempt.sent <= engine.heard:
            return  # an attempt cut short tells only that it would have taken longer
        engine.lag += (lag - engine.lag) * (0.5 if engine.suspect else LOCAL_PART)
        engine.sample(c, min(event.took_ms / (query.aim_at - query.arrived), CAP_AIMS))

    def _hold(self, query: Query) -> None:
        if self._last_call(query) <= self.now:
            return self._send_late(query)  # a client may ask with no time left; the answer is due at once
        query.held = True
        if query.attempts or self.lines.first(query):
            self._queue(query)
        heappush(self.expiry, (self._last_call(query), query.told.query))

    def _queue(self, query: Query) -> None:
        if query.attempts or self.rest.get(query.line, 0.0) > self.now:
            self.again.append(query)  # may be barred alone, so it must not keep a lane waiting
        else:
            lane = self.lanes[query.lane]
            heappush(lane, (query.target, query.told.query, query))
            self.blocked[query.lane] &= lane[0][2] is not query

    def _last_call(self, query: Query) -> float:
        """Return the latest time at which sending the query still earns something."""
        fastest = LIKELY * query.span * self.best[query.c]
        return min(query.aim_at - fastest, query.told.deadline_ms - 2 * TICK_MS)

    def _send_late(self, query: Query) -> None:
        """Send a query past its aim if a late answer earns something and room is free now; else end it."""
        fastest = LIKELY * query.span * self.best[query.c]
        in_time = self.now + fastest < query.told.deadline_ms - 2 * TICK_MS
        spare = not any(q.held and q is not query for lane in self.lanes for _, _, q in lane)
        if (
            not (query.cls.late_weight_share and in_time and spare and self._try_send(query))
            and not query.done
        ):
            self._end(query)

    def _may_go_on(self, query: Query) -> bool:
        """Tell whether the effect rule and the limits leave room for a further attempt."""
        if len(query.attempts) >= self.set.max_attempts or query.begun:
            return False
        if query.cls.idempotency == "unsafe":
            return not query.doubt and not query.out
        anchor = query.anchor
        return (
            not anchor or self.now + self.set.resolution_ms < anchor.sent + query.cls.deduplication_window_ms
        )

    def _end(self, query: Query) -> None:
        """Give the final answer of a query that is not served: refused where that is true, else failed."""
        cls, wait = query.cls, self.set.max_retry_after_ms if self.set.allows_retry_after else 0.0
        harmless = (
            cls.idempotency == "safe" or cls.idempotency == "keyed" and cls.deduplication_scope == "all"
        )
        refuse = harmless or not query.doubt and not query.out
        self.actions.append(
            policy.RejectQuery(query.told.query, wait) if refuse else policy.FailQuery(query.told.query)
        )
        self._close(query)

    def _close(self, query: Query) -> None:
        """Mark a query as finished; call off what is still out for it."""
        query.done, query.held = True, False
        for attempt in query.attempts if query.out and self.set.can_cancel and not query.begun else ():
            if (query.told.query, attempt.number) in attempt.engine.out and not attempt.cancelled:
                attempt.cancelled = True
                self.actions.append(policy.CancelAttempt(query.told.query, attempt.number))
        self._forget(query)

    def _forget(self, query: Query) -> None:
        if query.out:
            return
        self.queries.pop(query.told.query, None)
        follower = self.lines.drop(query)
        if follower is not None and follower.held:
            self._queue(follower)

    def _tick(self) -> None:
        if self.now >= self.beat_at:
            self._beat()
        if self.now >= self.period_at:
            self.period_at = self.now + PERIOD_MS
            self._bounds()
        while self.expiry and self.expiry[0][0] <= self.now:
            query = self.queries.get(heappop(self.expiry)[1])
            if query is not None and query.held and not query.done:
                self._send_late(query)
        for engine in list(self.busy.values()):
            self._judge(engine)
        if self.set.requires_subscription and self.now >= self.subscribe_at:
            self.subscribe_at = float("inf")  # until it fails
            self.actions.append(policy.SubscribeToEngines())
        self.tick_at = float("-inf")  # idle: the next event looks at the clock
        if self.queries or self.set.requires_subscription:  # else nothing to look after until the next event
            self.tick_at = self.now + TICK_MS
            self.token += 1
            self.actions.append(policy.StartTimer(TICK_MS, self.token))

    def _beat(self) -> None:
        """View the whole fleet: who is ready, what is usual, how many threads this gateway may run there."""
        self.beat_at = self.now + BEAT_MS
        self.blocked = [False] * len(self.lanes)
        for name, engine in list(self.engines.items()):
            if engine.entry.state == "gone" and not engine.out:
                del self.engines[name]
            elif not engine.out:
                self._judge(engine)
        self.ready = self._ring()
        # The lower one of two: with the mean of both, one of two engines could never stand out.
        self.usual = median_low([e.lag_now for e in self.ready] or [1.0])
        self.even = sum(self._limit(e) for e in self.ready)
        self.allowance = self.even * self._part()
        for key in [k for k, until in self.rest.items() if until <= self.now and k not in self.lines.keys]:
            del self.rest[key]

    def _part(self) -> float:
        """Return the times the even part of the fleet that this gateway may run now."""
        # With many gateways an even part is hardly one query, and demand scatters: a fleet that its reports
        # tell to be half empty is open to all; when it fills, as by a burst or lost engines, all give way.
        told = min(FILL / self.fill, MOST_PARTS**0.5) ** 2 if self.fill > 0.0 else 1.0
        if self.set.queues_when_short_of_memory and not self.fill and self.took:
            # Nothing reported: how long attempts take tells a jam, as by one tenant's burst or lost engines.
            return WAITING * min(1.0, PACE * self.due / self.took) ** 2
        return max(told, WAITING) if self.set.queues_when_short_of_memory else told

    def _ring(self) -> list[Engine]:
        """Order engines for ties: own zone first, from a point that spreads the gateways evenly."""
        ready = [e for _, e in sorted(self.engines.items()) if e.entry.state == "ready"]
        ring = []
        for own in (True, False):
            part = [e for e in ready if (e.entry.zone == self.set.zone) == own]
            start = int(self.set.gateway_index * GOLDEN % 1.0 * len(part))
            ring += part[start:] + part[:start]
        return ring

    def _judge(self, engine: Engine) -> None:
        """Judge an engine by its answers and by the ages of what it has not answered."""
        total, weight = engine.lag / LOCAL_PART, 1 / LOCAL_PART
        for attempt in engine.out.values():
            age = attempt.age(self.now) / (attempt.query.span * self.best[attempt.query.c])
            if age > engine.lag and attempt.sent > engine.heard:
                total, weight = total + min(age, CAP_LAG), weight + 1
        engine.lag_now = total / weight
        engine.suspect = engine.shut_until > self.now or engine.lag_now > SUSPECT_LAG * self.usual
        for attempt in list(engine.out.values()):
            if self.set.has_priorities and not attempt.query.done:
                self._terms(attempt.query)  # what has passed its aim meanwhile goes last
            self._rescue(attempt)

    def _rescue(self, attempt: Attempt) -> None:
        """Call off an attempt that takes far longer than its estimate and the fleet explain."""
        query, c = attempt.query, attempt.query.c
        usual_span = max(query.span, RESCUE_SMALLEST * self.work[c] / query.cls.threads)
        lateness = RESCUE_LAG * (TOLD_LAG if self.told else 1.0)
        due = lateness * max(self.usual, attempt.engine.lag, 1.0) * usual_span * self.best[c]
        # What its notes tell to be under way is left alone, though a busy engine or its low priority makes it
        # late: starting anew costs all its work. When notes stop, as from a hung engine, its age decides.
        told = self.now - attempt.noted < NOTES * self.set.progress_interval_ms
        early = attempt.age(self.now) < due or told and attempt.left < due
        if (
            early
            and attempt.engine.entry.state != "gone"
            or attempt.cancelled
            or query.done
            or query.out > 1
            or query.cls.idempotency == "unsafe"
        ):
            return
        # By work, not by number: short queries must not pay for starting long ones anew again and again.
        work = query.span * query.cls.threads
        paid = self.credit >= min(work, RESCUE_MOST * self.size)
        if paid and self._may_go_on(query) and self._budget_left():
            self.credit -= work
            if self.set.can_cancel:
                attempt.cancelled = True
                self.actions.append(policy.CancelAttempt(query.told.query, attempt.number))
            elif self.set.allows_concurrent_attempts and not query.held:
                self._hold(query)  # a second copy, as the first can't be called off

    def _bounds(self) -> None:
        """Move the bounds: one cut a period by the worst class, or a raise where there was need."""
        for engine in self.engines.values():
            worst = max(total / count if count > FEW else 0.0 for total, count in engine.loads)
            engine.loads = [(total * FADE, count * FADE) for total, count in engine.loads]
            engine.lag += (1.0 - engine.lag) * FORGET  # a figure with no fresh answers must not bind for ever
            if worst > 1.0:
                engine.bound = max(
                    FLOOR_PER_CORE * engine.cores / self.set.gateway_count, engine.bound / worst
                )
            elif engine.reached:
                engine.bound = min(
                    engine.bound * RAISE, CEILING_PER_CORE * engine.cores / self.set.gateway_count
                )
            engine.reached = False

    def _dispatch(self) -> None:
        """Send what may leave: late queries first, the highest worth leading, else by target."""
        for query in sorted((q for q in self.again if q.held), key=self._rank):
            self._try_send(query)
        self.again = [query for query in self.again if query.held]
        while True:
            heads = []
            for lane, heap in enumerate(self.lanes):
                while heap and not heap[0][2].held:
                    heappop(heap)
                if heap and not self.blocked[lane]:
                    heads.append(heap[0][2])
            if not heads:
                return
            lead = min(heads, key=self._rank)
            self.blocked[lead.lane] = not self._try_send(lead)

    def _rank(self, query: Query) -> tuple[bool, float, float]:
        late = query.target < self.now
        return not late, -query.cls.priority_weight if late else 0.0, query.target

    def _try_send(self, query: Query) -> bool:
        """Send the query if every rule that binds the sender allows it; tell whether it left."""
        if query.attempts and not self._may_go_on(query):
            self._end(query)
            return False
        barred = (
            query.attempts
            and not self._budget_left()
            or query.out
            and not self.set.allows_concurrent_attempts
            or query.line is not None
            and not query.attempts
            and self.rest.get(query.line, 0.0) > self.now
        )
        told = query.span * query.cls.threads  # estimates may lie low: at least the usual
        least = COLD_LEAST * self.size  # a cold engine bears only so many calls, however small
        query.weight = max(told, self.work[query.c], least) * max(1.0, self.best[query.c])
        engine = None if barred else self._choose(query)
        if engine is None:
            return False
        if query.attempts and self.set.retry_budget_window_ms:
            self.further.add(self.now, 1.0, self.now - self.set.retry_budget_window_ms)
        attempt = query.sent_to(engine, self.now)
        self.threads[query.short] += query.cls.threads
        self.busy[engine.entry.engine] = engine
        engine.sends.add(self.now, query.weight, self.now - self.set.overload_window_ms)
        if query.cls.idempotency == "keyed" and query.anchor is None:
            query.anchor = attempt
        self._terms(query)
        self.actions.append(policy.StartAttempt(query.told.query, engine.entry.engine))
        return True

    def _terms(self, query: Query) -> None:
        """Name the memory and the priority of a query, where they are heeded and differ from before."""
        times = (
            PAGED
            if self.set.swaps_when_short_of_memory
            else WAITED
            if self.set.queues_when_short_of_memory
            else GRANT
        )
        memory = times * query.told.estimated_memory_mb if self.set.has_memory_grants else 0.0
        terms = memory, self._priority(query) if self.set.has_priorities else USUAL_PRIORITY
        if terms != query.terms:
            query.terms = terms
            self.actions.append(policy.SetGrant(query.told.query, *terms))

    def _priority(self, query: Query) -> int:
        """Return the query's priority on its engine: short ones first, those past their aim last."""
        if self.now > query.aim_at:
            return 0
        return 3 if query.short else 2 if query.span * query.cls.threads < LONG * self.size else 1

    def _budget_left(self) -> bool:
        """Tell whether the ration of further attempts allows one more now."""
        s, since = self.set, self.now - self.set.retry_budget_window_ms
        most = s.retry_budget_free + s.retry_budget_share * self.taken.total(since + s.resolution_ms)
        return not s.retry_budget_window_ms or self.further.total(since) + 1 <= most

    def _choose(self, query: Query) -> Engine | None:
        """Return the engine with the fewest own queries for its size and pace, among a few with room."""
        tried = {a.engine.entry.engine for a in query.attempts}
        wide = query.cls.threads
        # Limits rounded up to a query on each engine would let the gateways overfill them all together; but
        # one query may always run, else a gateway whose part is less than that never serves.
        running = self.threads[1] if query.short else sum(self.threads)
        # In a jam long queries give way: short ones held here would be late for room that they hardly use.
        most = max(self.allowance, self.even) if query.short else self.allowance
        full = running and running + wide > most
        if self.told:
            near = [self.engines[name] for name in self.told if name in self.engines]
        else:
            near, far = self.ready[: SAMPLE // 2], self.ready[SAMPLE // 2 :]
            near += self.random.sample(far, SAMPLE // 2) if len(self.ready) > SAMPLE else far
        allowed = [e for e in near if self._permitted(query, e)]
        if not allowed or self.told and all(e.suspect for e in allowed):
            allowed = [e for e in self.ready if self._permitted(query, e)]
        healthy = [e for e in allowed if not e.suspect]
        # Where nothing healthy is left, what failed this query a moment ago would only fail it again.
        rested = [e for e in allowed if e.entry.engine not in tried or e.shut_until <= self.now]
        pool = [e for e in healthy if e.entry.engine not in tried] or healthy or rested
        loads, worst = {}, max(self.told.values(), default=0.0)
        # Where each gateway leans to a few engines, each engine is shared by so many gateways fewer.
        fewer = max(1.0, len(self.ready) / len(near)) if self.told and near else 1.0
        for engine in pool:
            if full or engine.threads and engine.threads + wide > self._limit(engine) * fewer:
                engine.reached = True
            else:
                pace = min(1.0, max(0.1, self.usual / engine.lag_now)) * self._warmth(engine)
                loads[engine] = (engine.threads + wide) / (engine.cores * pace)
                if self.told:
                    loads[engine] += self.told.get(engine.entry.engine, worst) / pace
        least = min(loads.values(), default=0.0) + (TOLD_TIE if self.told else TIE_PER_CORE)
        tied = [e for e, load in loads.items() if load <= least]
        if self.told:  # the order is this gateway's own, so that it comes back to connections that are open
            return min(tied, default=None, key=lambda e: query.told.table_group not in e.warm)
        return min(
            tied,
            default=None,
            key=lambda e: (
                e.entry.zone != self.set.zone,
                query.told.table_group not in e.warm,
                e.threads / e.cores,
            ),
        )

    def _limit(self, engine: Engine) -> float:
        """Return the threads allowed: the bound under pressure, else the ceiling, as pressure shows late."""
        if engine.lag_now > PRESSURE_LAG or engine.fails:
            return engine.bound
        return CEILING_PER_CORE * engine.cores / self.set.gateway_count

    def _permitted(self, query: Query, engine: Engine) -> bool:
        """Drain, placement, keyed group and cold budget: the rules on where an attempt may go."""
        cls, entry = query.cls, engine.entry
        misplaced = (
            cls.zones is not None
            and entry.zone not in cls.zones
            or cls.kinds is not None
            and entry.kind not in cls.kinds
        )
        if entry.state != "ready" or misplaced:
            return False
        first = (
            query.anchor.engine.entry
            if query.anchor is not None and cls.deduplication_scope != "all"
            else entry
        )
        if entry.zone != first.zone or cls.deduplication_scope == "cell" and entry.cell != first.cell:
            return False
        s, warmth, weight = self.set, self._warmth(engine), query.weight
        if warmth >= 1.0 or not s.overload_multiple:
            return True  # else keep this gateway's part in every window of the stated length
        budget = s.overload_multiple * warmth * engine.cores * s.overload_window_ms * COLD_PART
        # Where a part is less than a query, a draw by each gateway lets as many send one as the parts add up
        # to. Only queries that are small against the whole: chance must not heap them up.
        over = weight * engine.draw if weight <= budget * COLD_GRAIN else 0.0
        return engine.sends.total(self.now - s.overload_window_ms) + weight <= budget / s.gateway_count + over

    def _warmth(self, engine: Engine) -> float:
        """Return the share of its capacity that an engine is sure to have so long after its start."""
        s, up = self.set, max(0.0, self.now - engine.entry.started_ms)
        warm = not engine.entry.started_ms or up >= s.slow_start_ms
        return 1.0 if warm else s.cold_capacity_share + (1.0 - s.cold_capacity_share) * up / s.slow_start_ms
