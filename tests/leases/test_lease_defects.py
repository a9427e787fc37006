"""Defects planted in leases: each has to be found; the table says by which check and after how many seeds.

python tests/leases/test_lease_defects.py [--seeds 500] prints the table.
"""

import argparse
from unittest.mock import patch

import pytest
import test_leases
from lease_play import Leader, Play, Violation
from planted import Line, broken, by_model, planted, row
from test_leases import IGNORED_DRIFT, Leases

from fennelwind.leases.fencing import FencedResource
from fennelwind.leases.lease_client import LeaseClient
from fennelwind.leases.model import TaskLease
from fennelwind.leases.state_machine import LeaseStateMachine

MAX_SEEDS = 40  # seeds that a test plays for one defect
FIRST_SEEDS = {  # first seed of a test, since most seeds don't reveal the defect; the table counts from 1
    "lease counted from the answer": 19,
    "drift ignored": 60,
    "late answer grants what was handed over": 71,
    "no room for a pause between check and effect": 8,
    "guard not checked after a pause": 25,
    "fencing token counted by task, anew when forgotten": 37,
    "restart taken for the same holder": 57,
    "command with an older fencing token applied": 8,
    "lease expires ahead of time": 84,
}
FAULTY_MS = 10_000.0  # ms of each play during which faults occur


def fencing_token_by_task(original_grant):
    """Count fencing tokens per task, and restart at 1 for a task that was forgotten."""

    def grant_with_task_token(self, at, sender, name, lease, requested):
        token = getattr(self, "tokens", {}).get(id(lease), 0) + 1
        self.tokens = {**getattr(self, "tokens", {}), id(lease): token}
        # Keep the lease object alive, so that its id isn't reused.
        self.seen_leases = [*getattr(self, "seen_leases", []), lease]
        result = original_grant(self, at, sender, name, lease, requested)
        lease.fencing_token = result.fence = token
        return result

    return patch.object(LeaseStateMachine, "_grant", grant_with_task_token)


def stale_fact(original_fact):
    """Report the last fencing token even when no controller holds the task."""

    def last_token(self, kind, key):
        self.last_tokens = {**getattr(self, "last_tokens", {})}
        self.last_tokens[key] = original_fact(self, kind, key) or self.last_tokens.get(key, 0)
        return self.last_tokens[key]

    return patch.object(LeaseStateMachine, "fact", last_token)


TOKEN_BY_TASK = [fencing_token_by_task(LeaseStateMachine._grant)]
SAME_TOKEN = [
    Line(
        LeaseStateMachine._grant,
        "lease.fencing_token = at.index",
        "lease.fencing_token = lease.holder == sender and lease.fencing_token or at.index",
    )
]
PLAYS = {  # by name: the kind of play, and the changes that plant the defect
    "lease counted from the answer": (
        "plain",
        [
            Line(
                LeaseClient._on_task_answer,
                "is_of_a_queue = (",
                "sent.sent_at_ms = now_ms\n    is_of_a_queue = (",
            )
        ],
    ),
    "drift ignored": ("plain", IGNORED_DRIFT),
    "no room for a pause between check and effect": (
        "plain",
        [Line(LeaseClient.__init__, "self.max_pause_ms = max_pause_ms", "self.max_pause_ms = 0.0")],
    ),
    "late answer grants what was handed over": (
        "plain",
        [
            Line(
                LeaseClient._on_command_applied,
                "lease is not None and lease.epoch == epoch",
                "lease is not None",
            ),
            Line(
                LeaseClient._on_task_answer,
                "is_of_a_queue = (",
                "if lease.phase == LeasePhase.RELEASING and result.state == pb.Told.HELD:\n"
                "        lease.phase = LeasePhase.HELD\n"
                "    is_of_a_queue = (",
            ),
        ],
    ),
    "handed over while operations are under way": (
        "plain",
        [
            Line(
                LeaseClient._due_at_ms,
                "lease.phase == LeasePhase.RELEASING and lease.has_operations",
                "False",
            ),
            Line(
                LeaseClient._request_for,
                "or lease.phase == LeasePhase.RELEASING and lease.has_operations",
                "",
            ),
            patch.object(LeaseClient, "_has_operations", lambda self: False),
        ],
    ),
    "offer taken for a lease": (
        "plain",
        [
            Line(
                LeaseClient._request_offered,
                "lease.phase = LeasePhase.WANTED\n",
                "lease.fencing_token, lease.phase = 1, LeasePhase.HELD\n"
                "        lease.guard.grant(1, math.inf, lease.term_ms)\n",
            )
        ],
    ),
    "guard not checked after a pause": (
        "plain",
        [patch.object(Play, "may_continue", lambda self, guard, now_ms, operation: True)],
    ),
    "resource checks no fencing token, pauses over the term": (
        "fences",
        [patch.object(FencedResource, "check", lambda self, task, fencing_token: None)],
    ),
    "new leader's clock ahead of the log": (
        "plain",
        [
            Line(
                Leader.change_leader,
                "self.log_clock_ms",
                "self.log_clock_ms + self.play.random.randint(0, 3000)",
            )
        ],
    ),
    "time without a leader counted": (
        "plain",
        [Line(Leader.change_leader, "self.play.now_ms", "self.play.now_ms - 1500.0")],
    ),
    "fencing token counted by task, anew when forgotten": ("fences", TOKEN_BY_TASK),
    "restart taken for the same holder": (
        "fences",
        [
            Line(LeaseStateMachine.apply, "parsed.by.name, parsed.by.life", 'parsed.by.name, b""'),
            Line(
                LeaseStateMachine.offers, "get(owner, ())", 'get(ControllerIncarnation(owner.name, b""), ())'
            ),
        ],
    ),
    "acquired again under the same fencing token, in play": ("plain", SAME_TOKEN),
    "command with an older fencing token applied": (
        "plain",
        [Line(TaskLease.is_held_by, " and self.fencing_token == fencing_token", "")],
    ),
    "lease expires ahead of time": (
        "plain",
        [
            Line(
                LeaseStateMachine._next_deadline_ms,
                "return lease.until_ms",
                "return lease.until_ms - (400 if lease.fencing_token else 0)",
            )
        ],
    ),
}
BY_MODEL = {
    "renewal makes a lease shorter": [
        Line(LeaseStateMachine._grant, "lease.until_ms if lease.fencing_token else 0", "0")
    ],
    "exclusions forgotten in a snapshot": [
        Line(LeaseStateMachine._restore_lease, "for excluded in stored.asides", "for excluded in ()")
    ],
    "fencing token reported though nobody holds": [stale_fact(LeaseStateMachine.fact)],
    "offered to an excluded waiter": [
        patch.object(LeaseStateMachine, "_is_eligible", lambda self, at, lease, waiter: True)
    ],
    "fencing token reused": TOKEN_BY_TASK,
}
BY_DEDICATED_TEST = {  # by name: the changes, and the test in test_leases.py that finds the defect
    "order of a queue forgotten in a snapshot": (
        [
            Line(
                LeaseStateMachine._restore_lease,
                "in stored.waiters",
                "in sorted(stored.waiters, key=lambda one: one.who.name)",
            )
        ],
        test_leases.test_a_snapshot_keeps_the_order_of_a_queue,
    ),
    "acquired again under the same fencing token": (
        SAME_TOKEN,
        test_leases.test_a_late_give_up_does_not_end_a_lease_acquired_again,
    ),
    "lost place in a queue not requested again": (
        [Line(LeaseClient._on_command_applied, "is_awaited and len(queued) != answer.waits", "False")],
        test_leases.test_a_lost_place_in_a_queue_is_requested_again,
    ),
    "late answer about a queue hides a held lease": (
        [
            Line(
                LeaseClient._on_task_answer,
                "return  # a late answer to a request from before",
                "lease.phase = LeasePhase.QUEUED  #",
            ),
            Line(
                LeaseClient._release,
                "if lease.fencing_token and lease.phase != LeasePhase.RELEASING:",
                "if lease.phase == LeasePhase.HELD:",
            ),
        ],
        test_leases.test_a_late_answer_about_a_queue_does_not_hide_a_lease_held_since,
    ),
    "hand-over under way taken back": (
        [patch.object(LeaseClient, "_stop_awaiting", lambda self: setattr(self, "_awaited", None))],
        test_leases.test_an_unanswered_rebalance_is_handed_over_for_good,
    ),
    "lost offers held against controllers": (
        [Line(LeaseStateMachine._expire, "if lease.fencing_token:", "if True:")],
        test_leases.test_an_offer_goes_to_one_waiter_and_to_the_next_if_it_is_not_confirmed,
    ),
}


def find_by_play(name: str, max_seeds: int, first_seed: int = 1) -> tuple[int, str] | None:
    """Return after how many seeds a play finds the defect, and its error; None: not found."""
    kind, changes = PLAYS[name]
    with planted(changes):
        return broken(
            (Play(seed, kind, faulty_ms=FAULTY_MS).run for seed in range(first_seed, first_seed + max_seeds)),
            Violation,
        )


def find_by_model(name: str, max_examples: int = 300) -> tuple[int, str] | None:
    """Return after how many examples the model in test_leases.py finds the defect; None: not found."""
    with planted(BY_MODEL[name]):
        return by_model(Leases, max_examples, 30)


def find_by_test(name: str) -> tuple[int, str] | None:
    """Return 1 and the error if the dedicated test finds the defect; None: not found."""
    changes, test = BY_DEDICATED_TEST[name]
    with planted(changes):
        return broken([lambda: test(test_leases.LeaseLog())], AssertionError)


@pytest.mark.parametrize("name", [name for name in PLAYS if "in play" not in name])
def test_a_planted_defect_is_found_in_play(name):
    assert find_by_play(name, MAX_SEEDS, FIRST_SEEDS.get(name, 1))


@pytest.mark.parametrize("name", BY_MODEL)
def test_a_planted_defect_is_found_by_the_model(name):
    assert find_by_model(name)


@pytest.mark.parametrize("name", BY_DEDICATED_TEST)
def test_a_planted_defect_is_found_by_its_dedicated_test(name):
    assert find_by_test(name)


def main() -> None:
    """Print, for each defect, the check that finds it and after how many runs."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=500)
    arguments = parser.parse_args()
    for name, (kind, _) in PLAYS.items():
        row(name, f"lease_play, {kind}", *(find_by_play(name, arguments.seeds) or ("not found", "")))
    for name in BY_MODEL:
        row(name, "plain model", *(find_by_model(name) or ("not found", "")))
    for name in BY_DEDICATED_TEST:
        row(name, BY_DEDICATED_TEST[name][1].__name__, *(find_by_test(name) or ("not found", "")))


if __name__ == "__main__":
    main()
