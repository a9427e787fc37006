"""Defects planted in the council's core, and how soon the tests find each.

Run as a program it makes the table of docs/results/council.md: `python tests/support/raft_defects.py`.
"""

import search_paths  # noqa: F401 - for a play that is run by hand

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

PART = 0.2  # of a day, for what is found soon


class Defect(NamedTuple):
    """What is planted, and where the suite finds it: from a day on, or from a start of the search."""

    changes: list[AbstractContextManager]
    near: tuple[int, float] | tuple[str, int]  # seed and part of the day; start and states


DEFECTS = {
    # A follower tells the leader of entries that are only in its memory.
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
    # Messages leave before the term and vote that they rest on are on the disk.
    "vote before it is written": Defect(
        [
            Line(
                RaftMember.send,
                "if self.storage_failed or self.pending_writes.is_hard_state_durable:",
                "if True:",
            )
        ],
        (1, PART),
    ),
    # A leader answers reads without asking whether it still leads.
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
    # A new leader answers reads before it knows what earlier leaders agreed on.
    "read before an own entry": Defect(
        [Line(Leader._serve_reads, "if member.log.term(member.commit_index) != self.term:", "if False:")],
        (42, PART),
    ),
    # Entries that differ from the leader's are left where they are.
    "tail kept after a conflict": Defect(
        [
            Line(
                RaftMember._handle_append,
                "entry.index > log.base_index and log.term(entry.index) != entry.term",
                "entry.index > log.last_index",
            )
        ],
        (19, PART),
    ),
    "commit by counting old terms": Defect(
        [Line(Leader.quorum_commit_index, " and member.log.term(index) == self.term", "")],
        ("old_term", 12_000),
    ),
    "two changes at once": Defect(
        [patch.object(Leader, "can_change_membership", lambda self: True)], (56, 1.0)
    ),
    # Who catches up counts for what is agreed, and for votes.
    "learners count": Defect(
        [
            Line(Leader.voters, "configuration.voters", "configuration.incarnations"),
            Line(Campaign.is_won, "sum(voter in self.granted for voter in voters)", "len(self.granted)"),
        ],
        (71, 1.0),
    ),
    "snapshot without its term": Defect(
        [Line(snapshots.make_snapshot_head, "term=term", "term=0")], (1, PART)
    ),
    # It says who counts now, not who counted as of its last entry.
    "snapshot with later members": Defect(
        [patch.object(Log, "configuration_at", lambda self, index: self.configuration)], (1, PART)
    ),
    "vote for a shorter log": Defect(
        [patch.object(election, "is_log_up_to_date", lambda vote, term, index: True)], (1, PART)
    ),
    "half is enough": Defect([Line(Campaign.is_won, "> len(voters)", ">= len(voters)")], (1, PART)),
    # It takes the leader's word for its own entries without having compared them.
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
    # A member whose disk takes no writes goes on as if it had one.
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
        (7, PART),
    ),
    # What was on the disk before a tail was cut counts for what came in its place.
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
        (19, PART),
    ),
    "clock of the new leader": Defect(
        [patch.object(Leader, "clock_ms", lambda self, now: int(now))], (1, PART)
    ),
    # Pieces of a later snapshot are put behind those of an earlier one.
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
    # A member whose folder was lost comes back under its old life, and votes.
    "returns empty as who it was": Defect(
        [
            Line(
                Cluster.wipe,
                'Incarnation(name, b"%s%d" % (name.encode(), old.life_count + 2))',
                "old.me",
                "node.core = None",
                "node.image.hard, node.image.entries = pb.HardState(term=1), list(self.checks.agreed[:1])",
            )
        ],
        (21, PART),
    ),
}


def by_seeds(name: str, first: int, seeds: int, part: float = 1.0) -> tuple[int, str] | None:
    """Return how many seeds it took until a day was broken, and by what; None: none was."""
    with planted(DEFECTS[name].changes):
        return broken(partial(raft_cluster.play, seed, part=part) for seed in range(first, first + seeds))


def by_search(name: str, states: int, *starts: str) -> tuple[str, str] | None:
    """Return after how many states from which start the search found it, and what; None: it did not."""
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
        days = by_seeds(name, 0, args.seeds) or ("-", "")
        search = by_search(name, args.states) or ("-", "")
        missed += days[0] == search[0]
        row(name, days[0], search[0], days[1].removeprefix("Broken: ") or search[1])
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
