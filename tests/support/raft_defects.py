"""Defects planted in the Raft core, and how soon the tests find each.

As a program it prints the table of docs/results/council.md: `python tests/support/raft_defects.py`.
"""

import search_paths  # noqa: F401 - for running as a program

# isort: split

import argparse
import sys
from contextlib import AbstractContextManager
from dataclasses import replace
from functools import partial
from typing import NamedTuple
from unittest.mock import patch

import raft_cluster
import raft_search
from planted import Line, broken, planted, row
from raft_cluster import Cluster

from fennelwind.raft import election, snapshots
from fennelwind.raft.election import Campaign
from fennelwind.raft.leader import Leader
from fennelwind.raft.log import Log
from fennelwind.raft.member import RaftMember
from fennelwind.raft.pending_writes import PendingWrites
from fennelwind.raft.snapshot_chunks import SnapshotReceiver

PLAY_PART = 0.2  # part of a play that finds most defects


class Defect(NamedTuple):
    """A planted defect, and where the suite finds it: in plays from a seed on, or in a search."""

    changes: list[AbstractContextManager]
    found_by: tuple[int, float] | tuple[str, int]  # seed and part of the play; start and number of states


DEFECTS = {
    # A follower acknowledges entries that are only in memory.
    "acknowledge before sync": Defect(
        [
            Line(
                RaftMember._send_append_response,
                "min(self.pending_writes.durable_index, self.leader_match_index)",
                "min(self.log.last_index, self.leader_match_index)",
            )
        ],
        ("led", 1000),
    ),
    "leader counts itself early": Defect(
        [Line(Leader.quorum_commit_index, "member.pending_writes.durable_index", "member.log.last_index")],
        ("led", 3000),
    ),
    "vote forgotten at a crash": Defect(
        [
            Line(
                RaftMember.__init__,
                "Incarnation(hard_state.voted_name, hard_state.voted_life) if hard_state.voted_name else "
                "None",
                "None",
            )
        ],
        ("rivals", 1000),
    ),
    # Messages are sent before the term and vote that they depend on are durable.
    "vote before it is written": Defect(
        [
            Line(
                RaftMember.send,
                "if self.storage_failed or self.pending_writes.is_hard_state_durable:",
                "if True:",
            )
        ],
        (1, PLAY_PART),
    ),
    # A leader answers reads without confirming its leadership.
    "read from a deposed leader": Defect(
        [
            Line(
                Leader._serve_reads,
                "reads.assign_index(member.commit_index, self.round + 1)",
                "reads.assign_index(member.commit_index, 0)",
            )
        ],
        ("contested", 100),
    ),
    # A new leader answers reads before it knows what earlier leaders committed.
    "read before an own entry": Defect(
        [Line(Leader._serve_reads, "if member.log.term(member.commit_index) != self.term:", "if False:")],
        (42, PLAY_PART),
    ),
    # Entries that conflict with the leader's are not truncated.
    "tail kept after a conflict": Defect(
        [
            Line(
                RaftMember._handle_append,
                "entry.index > log.base_index and log.term(entry.index) != entry.term",
                "entry.index > log.last_index",
            )
        ],
        (19, PLAY_PART),
    ),
    "commit by counting old terms": Defect(
        [Line(Leader.quorum_commit_index, " and member.log.term(index) == self.term", "")],
        ("old_term", 12_000),
    ),
    "two changes at once": Defect(
        [patch.object(Leader, "can_change_membership", lambda self: True)], (56, 1.0)
    ),
    # Learners count towards majorities for commits and for votes.
    "learners count": Defect(
        [
            Line(Leader.voters, "configuration.voters", "configuration.incarnations"),
            Line(Campaign.is_won, "sum(voter in self.granted for voter in voters)", "len(self.granted)"),
        ],
        (71, 1.0),
    ),
    "snapshot without its term": Defect(
        [Line(snapshots.make_snapshot_head, "term=term", "term=0")], (1, PLAY_PART)
    ),
    # The snapshot has the latest configuration, not the one as of its last entry.
    "snapshot with later members": Defect(
        [patch.object(Log, "configuration_at", lambda self, index: self.configuration)], (1, PLAY_PART)
    ),
    "vote for a shorter log": Defect(
        [patch.object(election, "is_log_up_to_date", lambda vote, term, index: True)], (1, PLAY_PART)
    ),
    "half is enough": Defect([Line(Campaign.is_won, "> len(voters)", ">= len(voters)")], (1, PLAY_PART)),
    # A follower commits up to the leader's commit index without having compared its entries.
    "follower commits what it has": Defect(
        [
            Line(
                RaftMember._handle_append,
                "is_new_round = append.round > self.leader_round",
                "is_new_round = append.round > self.leader_round; "
                "self.commit_index = max(self.commit_index, min(append.commit, log.last_index))",
            )
        ],
        ("contested", 1000),
    ),
    "failed write taken as done": Defect(
        [
            Line(
                RaftMember._handle_event,
                "self._handle_write_failed()",
                "self._handle_write_completed(self.pending_writes.last_number)",
            )
        ],
        ("led", 1000),
    ),
    # A member whose write failed continues as if the write had succeeded.
    "mute member votes": Defect(
        [
            patch.object(
                RaftMember,
                "_handle_write_failed",
                lambda self: self.pending_writes.complete(self.pending_writes.last_number),
            )
        ],
        ("led", 3000),
    ),
    "promise forgotten when it can write": Defect(
        [
            Line(
                RaftMember._recover_storage,
                "self.pending_writes.discard()",
                "self.pending_writes.discard(); "
                "self.term, self.voted_for, self.leader = durable.hard_state.term, None, None",
            )
        ],
        (7, PLAY_PART),
    ),
    # Durable entries before a truncation count as their replacements.
    "cut entries still count": Defect(
        [
            Line(
                PendingWrites.truncate_after,
                "min(self.durable_index, index)",
                "self.durable_index",
                "min(last_index, index)",
                "last_index",
            )
        ],
        (19, PLAY_PART),
    ),
    "clock of the new leader": Defect(
        [patch.object(Leader, "clock_ms", lambda self, now: int(now))], (1, PLAY_PART)
    ),
    # Chunks of a later snapshot are appended to those of an earlier one.
    "pieces of two snapshots": Defect(
        [
            Line(
                SnapshotReceiver.add_chunk,
                "self.head, self.data = chunk.head, bytearray()",
                "self.head = chunk.head",
                "crc32c.crc32c(data) != chunk.head.crc32c",
                "False",
            )
        ],
        (86, 1.0),
    ),
    # A member whose folder was lost returns under its old incarnation, and votes.
    "returns empty as who it was": Defect(
        [
            Line(
                Cluster.wipe,
                'Incarnation(name, b"%s%d" % (name.encode(), old.incarnation_count + 2))',
                "old.me",
                "node.core = None",
                "node.image.hard_state, node.image.entries = "
                "pb.HardState(term=1), list(self.checks.committed[:1])",
            )
        ],
        (21, PLAY_PART),
    ),
}


def by_seeds(name: str, first: int, seeds: int, part: float = 1.0) -> tuple[int, str] | None:
    """Return how many seeds it took until a play failed, and how; None if none did."""
    with planted(DEFECTS[name].changes):
        return broken(partial(raft_cluster.play, seed, part=part) for seed in range(first, first + seeds))


def by_search(name: str, states: int, *starts: str) -> tuple[str, str] | None:
    """Return after how many states from which start the search found it, and what; None if it did not."""
    with planted(DEFECTS[name].changes):
        for start in starts or raft_search.STARTS:
            search, bounds = raft_search.Search(), raft_search.STARTS[start]
            try:
                begin = getattr(search, start)(replace(bounds, failures=bounds.crashes))
                raft_search.run(search, begin, states, 100)
            except Exception as exc:
                return f"{getattr(exc, 'states', 0)} from `{start}`", getattr(exc, "what", repr(exc))
    return None


def main() -> int:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--states", type=int, default=200_000, help="for each start of the search")
    parser.add_argument("names", nargs="*")
    args = parser.parse_args()
    missed = 0
    for name in args.names or DEFECTS:
        plays = by_seeds(name, 0, args.seeds) or ("-", "")
        search = by_search(name, args.states) or ("-", "")
        missed += plays[0] == search[0]
        row(name, plays[0], search[0], plays[1].removeprefix("InvariantViolation: ") or search[1])
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
