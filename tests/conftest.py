"""A small hand-driven world for the module: lists, arrivals and outcomes, and nothing that decides."""

import pytest
import search_paths  # noqa: F401 - tests import from each other's folders
from known_red import KnownRed

from fennelwind import policy
from fennelwind.policy.gateway import Gateway

# Files whose tests start processes or take times: one of them at a time, whatever else runs beside.
PROCESSES = {
    "test_quiescence_processes",
    "test_cli",
    "test_cluster_processes",
    "test_cluster_program",
    "test_disks",
    "test_known_red",
    "test_node_run",
    "test_rig",
    "test_rig_processes",
    "test_spread",
    "test_terms_answers",
    "test_terms_attempts",
    "test_terms_clocks",
    "test_terms_discovery",
    "test_terms_shutdown",
    "test_terms_system_calls",
    "test_whole",
}


def pytest_configure(config):
    config.pluginmanager.register(KnownRed(config), "known_red")


def pytest_collection_modifyitems(items):
    """Keep each file on one worker, and all that start processes on the same one."""
    for item in items:
        name = item.path.stem
        item.add_marker(pytest.mark.xdist_group("processes" if name in PROCESSES else name))


LOOKUP = policy.QueryClass(
    "small", latency_objective_ms=800.0, client_timeout_ms=4000.0, priority_weight=1.0, threads=1
)
REPORT = policy.QueryClass(
    "large",
    latency_objective_ms=3000.0,
    client_timeout_ms=15000.0,
    priority_weight=10.0,
    late_weight_share=0.3,
    threads=4,
)


def settings(**changes):
    base = dict(
        classes=(LOOKUP, REPORT),
        kind_cores=(8,),
        can_cancel=True,
        allows_concurrent_attempts=True,
        max_attempts=4,
        allows_retry_after=True,
        max_retry_after_ms=500.0,
        answer_slack_ms=20.0,
        drain_grace_ms=1000.0,
        resolution_ms=5.0,
    )
    return policy.Settings(**{**base, **changes})


class Drive:
    """Feeds one gateway and keeps count of what is out."""

    def __init__(self, engines=2, entries=None, **changes):
        self.settings = settings(**changes)
        self.gateway = Gateway(self.settings, 7)
        self.now = 1000.0
        self.tries = {}
        entries = entries or tuple(policy.EngineEndpoint(f"e{i}") for i in range(engines))
        self.step(policy.EngineListUpdate("cached", entries))

    def step(self, *events, after=0.0):
        self.now += after
        actions = self.gateway.step(self.now, list(events))
        for action in actions:
            if isinstance(action, policy.StartAttempt):
                self.tries.setdefault(action.query, []).append(action.engine)
        return actions

    def ask(self, query, cls=0, work=100.0, left=None, **more):
        left = self.settings.classes[cls].client_timeout_ms if left is None else left
        return self.step(policy.QueryArrived(query, cls, self.now + left, estimated_work_ms=work, **more))

    def answer(self, query, status="ok", took=100.0, after=0.0, attempt=None, finished=None, **more):
        attempt = len(self.tries[query]) - 1 if attempt is None else attempt
        finished = status == "ok" if finished is None else finished
        engine = self.tries[query][attempt]
        return self.step(
            policy.AttemptEnded(query, attempt, engine, status, took, finished, **more), after=after
        )

    def run(self, ms):
        """Let time pass in ticks; return all actions."""
        actions = []
        for _ in range(int(ms / 25.0)):
            actions += self.step(policy.TimerFired(self.gateway.timer_token), after=25.0)
        return actions


def sends(actions):
    return [(a.query, a.engine) for a in actions if isinstance(a, policy.StartAttempt)]


def of(actions, kind):
    return [a for a in actions if isinstance(a, kind)]
