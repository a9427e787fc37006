"""Defects planted into what carries the council out, and after how many seeds of chaos each is found.

`python tests/support/keeper_defects.py 60` plants each in turn and plays up to so many seeds.
"""

import search_paths  # noqa: F401 - for a play that is run by hand

# isort: split

import sys
from contextlib import AbstractContextManager
from functools import partial
from typing import NamedTuple
from unittest.mock import patch

from council_chaos import FAULTS, Chaos
from planted import Line, broken, planted, row

from fennelwind.cluster.applied_state import AppliedState
from fennelwind.cluster.leased_tasks import LeasedOperation
from fennelwind.cluster.member_folder import MemberFolder
from fennelwind.cluster.raft_client import RaftClient
from fennelwind.cluster.raft_host import RaftHost
from fennelwind.leases.fencing import FencedResource, FencingGuard
from fennelwind.loop.simdisk import SimDisk
from fennelwind.raft.replicated_state import ReplicatedState


class Defect(NamedTuple):
    """What is planted, and the faults among which it shows."""

    title: str
    changes: list[AbstractContextManager]
    faults: tuple[str, ...] = FAULTS


ANY_FENCE = patch.object(FencedResource, "check", lambda self, task, fencing_token: None)
LOSSES = ("lost", "cut", "stop", "power")
DEFECTS = [
    # It shows where a majority loses power together.
    Defect(
        "a write is told as done before it is made",
        [
            Line(
                RaftHost._write,
                "self.store.write(writes)",
                "self.post(WriteCompleted(writes[-1].number)); self.store.write(writes)",
            )
        ],
        ("all", "all", "power"),
    ),
    Defect("syncs do nothing", [patch.object(SimDisk, "sync", lambda self, name: None)]),
    Defect(
        "a write that failed is told as done",
        [
            Line(
                RaftHost._write,
                "WriteFailed(writes[0].number, isinstance(exc, DiskFull))",
                "WriteCompleted(writes[-1].number)",
                "self._recover_storage(isinstance(exc, DiskFull))",
                "pass",
            )
        ],
        ("sync", "full", "sync", "full", "all"),
    ),
    Defect(
        "a read is answered from what the member has, whoever leads",
        [Line(RaftHost._read, "if view.fresh:", "if False:")],
    ),
    Defect(
        "answers are not kept: what is asked again is done again",
        [
            Line(
                ReplicatedState._command,
                "if command.number in client.kept:",
                "client.kept.clear()\n    if False:",
            )
        ],
        ("stop", "cut", "kill"),
    ),
    Defect(
        "a command whose outcome nobody told is said to be refused",
        [Line(RaftClient.propose_with_index, "may_be_applied or outcome.may_be_applied", "False")],
    ),
    Defect(
        "what a deposed leader can't tell is answered as refused",
        [
            Line(
                RaftHost._propose,
                "def decided(outcome: ProposalOutcome)",
                "answer = (lambda real: lambda result: real(Result(refusal=Result.TOO_LARGE)"
                " if result.refusal == Result.UNKNOWN else result))(answer)\n"
                "    def decided(outcome: ProposalOutcome)",
            )
        ],
    ),
    Defect(
        "a snapshot forgets what clients have done",
        [Line(ReplicatedState.restore, "{kept.number: kept.result for kept in told.kept}", "{}")],
    ),
    Defect(
        "one entry in forty is left out",
        [
            Line(
                AppliedState._apply,
                "changed = [",
                "if self.applied_entries % 40 == 39:\n"
                "            self.applied_entries += 1; state.index = entry.index\n"
                "            continue\n        changed = [",
            )
        ],
    ),
    Defect(
        "a folder made anew gets the life of the lost one",
        [
            Line(
                MemberFolder.open,
                "self._draw_token(INCARNATION_BYTES)",
                "self._name.encode().ljust(INCARNATION_BYTES)",
            )
        ],
        LOSSES,
    ),
    Defect(
        "a message counts as its name's latest life's",
        [
            Line(
                RaftHost.message_received,
                "MessageReceived(sender, message)",
                "MessageReceived(next((Incarnation(m.name, m.life)"
                " for m in self.core.log.configuration.members.members"
                " if m.name == sender.name), sender), message)",
            )
        ],
        LOSSES,
    ),
    Defect("an older fence is not refused", [ANY_FENCE], ("stop",)),
    Defect(
        "neither the guard nor the fence is looked at",
        [
            patch.object(FencingGuard, "may_continue", lambda self, now, act: True),
            patch.object(LeasedOperation, "check", lambda self: None),
            ANY_FENCE,
        ],
        ("stop",),
    ),
]


def play(seed, faults):
    """Play a seed; what is wrong is raised."""
    wrong = Chaos(seed, 3 if seed % 4 else 5, faults=faults).play()
    assert not wrong, wrong[0]


def main():
    """Plant each, or those that are named; print the table."""
    most = int(sys.argv[1])
    row("planted", "found by seed", "how")
    row(*["---"] * 3)
    for title, changes, faults in [one for one in DEFECTS if one.title in sys.argv[2:]] or DEFECTS:
        with planted(changes):
            found = broken(partial(play, seed, faults) for seed in range(most))
        row(
            title,
            found[0] - 1 if found else f"none of {most}",
            found[1].removeprefix("AssertionError: ").split("(")[0][:60] if found else "not found",
        )


if __name__ == "__main__":
    main()
