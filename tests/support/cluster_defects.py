"""Defects planted in fennelwind/cluster, and the seed of `cluster_chaos` that detects each.

`python tests/support/cluster_defects.py 60` plants each in turn and plays up to 60 seeds.
"""

import search_paths  # noqa: F401 - for runs from the command line

# isort: split

import sys
from contextlib import AbstractContextManager
from functools import partial
from typing import NamedTuple
from unittest.mock import patch

from cluster_chaos import FAULTS, Chaos
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
    """A planted defect, and the faults under which it shows."""

    title: str
    changes: list[AbstractContextManager]
    faults: tuple[str, ...] = FAULTS


ACCEPT_ANY_TOKEN = patch.object(FencedResource, "check", lambda self, task, fencing_token: None)
LOSSES = ("lost", "cut", "stop", "power")
DEFECTS = [
    # Shows only when a majority loses power at once.
    Defect(
        "a write is reported as completed before it is made",
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
        "a failed write is reported as completed",
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
        "a linearizable read is answered from the local state",
        [Line(RaftHost._read, "if view.fresh:", "if False:")],
    ),
    Defect(
        "results are not retained: a repeated command is applied again",
        [
            Line(
                ReplicatedState._command,
                "if command.number in session.results:",
                "session.results.clear()\n    if False:",
            )
        ],
        ("stop", "cut", "kill"),
    ),
    Defect(
        "a command with an unknown outcome is reported as rejected",
        [Line(RaftClient.propose_with_index, "may_be_applied or outcome.may_be_applied", "False")],
    ),
    Defect(
        "a deposed leader answers an unknown outcome as rejected",
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
        "a snapshot loses the retained results of clients",
        [Line(ReplicatedState.restore, "{result.number: result.result for result in saved.kept}", "{}")],
    ),
    Defect(
        "one entry in forty is not applied",
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
        "a new folder gets the incarnation of the lost one",
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
        "a message counts as sent by the name's latest incarnation",
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
    Defect("a stale fencing token is not rejected", [ACCEPT_ANY_TOKEN], ("stop",)),
    Defect(
        "neither the guard nor the fencing token is checked",
        [
            patch.object(FencingGuard, "may_continue", lambda self, now, act: True),
            patch.object(LeasedOperation, "check", lambda self: None),
            ACCEPT_ANY_TOKEN,
        ],
        ("stop",),
    ),
]


def play(seed, faults):
    """Play a seed; raise its first error."""
    errors = Chaos(seed, 3 if seed % 4 else 5, faults=faults).play()
    assert not errors, errors[0]


def main():
    """Plant each defect, or those named in the arguments; print the table."""
    max_seeds = int(sys.argv[1])
    row("planted", "found by seed", "how")
    row(*["---"] * 3)
    for title, changes, faults in [defect for defect in DEFECTS if defect.title in sys.argv[2:]] or DEFECTS:
        with planted(changes):
            found = broken(partial(play, seed, faults) for seed in range(max_seeds))
        row(
            title,
            found[0] - 1 if found else f"none of {max_seeds}",
            found[1].removeprefix("AssertionError: ").split("(")[0][:60] if found else "not found",
        )


if __name__ == "__main__":
    main()
