"""Defects planted in the council's core, and how soon the tests find each.

Run as a program it makes the table of docs/results/council.md: `python tests/support/council_defects.py`.
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

import council_cluster
import council_search
from council_cluster import Cluster
from planted import Line, broken, planted, row

from fennelwind.raft import election, snapshots
from fennelwind.raft.election import Ballot
from fennelwind.raft.leader import Leader
from fennelwind.raft.log import Log
from fennelwind.raft.member import RaftMember
from fennelwind.raft.pending_writes import Writes
from fennelwind.raft.snapshot_chunks import Incoming

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
                RaftMember._answer_leader,
                "min(self.writes.durable, self.agreed)",
                "min(self.log.last, self.agreed)",
            )
        ],
        ("led", 1000),
    ),
    "leader counts itself early": Defect(
        [Line(Leader.committed, "core.writes.durable", "core.log.last")], ("led", 3000)
    ),
    "vote forgotten at a crash": Defect(
        [
            Line(
                RaftMember.__init__,
                "Incarnation(hard.voted_name, hard.voted_life) if hard.voted_name else None",
                "None",
            )
        ],
        ("rivals", 1000),
    ),
    # Messages leave before the term and vote that they rest on are on the disk.
    "vote before it is written": Defect(
        [Line(RaftMember.send, "if self.mute or self.writes.hard_done:", "if True:")], (1, PART)
    ),
    # A leader answers reads without asking whether it still leads.
    "read from a deposed leader": Defect(
        [
            Line(
                Leader._serve_reads,
                "reads.place(core.commit, self.round + 1)",
                "reads.place(core.commit, 0)",
            )
        ],
        ("contested", 100),
    ),
    # A new leader answers reads before it knows what earlier leaders agreed on.
    "read before an own entry": Defect(
        [Line(Leader._serve_reads, "if core.log.term(core.commit) != self.term:", "if False:")], (42, PART)
    ),
    # Entries that differ from the leader's are left where they are.
    "tail kept after a conflict": Defect(
        [
            Line(
                RaftMember._append, "e.index > log.base and log.term(e.index) != e.term", "e.index > log.last"
            )
        ],
        (19, PART),
    ),
    "commit by counting old terms": Defect(
        [Line(Leader.committed, " and core.log.term(index) == self.term", "")], ("old_term", 12_000)
    ),
    "two changes at once": Defect([patch.object(Leader, "may_change", lambda self: True)], (56, 1.0)),
    # Who catches up counts for what is agreed, and for votes.
    "learners count": Defect(
        [
            Line(Leader.voters, "config.voters", "config.lives"),
            Line(Ballot.won, "sum(life in self.granted for life in voters)", "len(self.granted)"),
        ],
        (71, 1.0),
    ),
    "snapshot without its term": Defect([Line(snapshots.head_of, "term=term", "term=0")], (1, PART)),
    # It says who counts now, not who counted as of its last entry.
    "snapshot with later members": Defect(
        [patch.object(Log, "config_at", lambda self, index: self.config)], (1, PART)
    ),
    "vote for a shorter log": Defect(
        [patch.object(election, "lacks_nothing", lambda vote, term, index: True)], (1, PART)
    ),
    "half is enough": Defect([Line(Ballot.won, "> len(voters)", ">= len(voters)")], (1, PART)),
    # It takes the leader's word for its own entries without having compared them.
    "follower commits what it has": Defect(
        [
            Line(
                RaftMember._append,
                "newer = append.round > self.round",
                "newer = append.round > self.round; "
                "self.commit = max(self.commit, min(append.commit, log.last))",
            )
        ],
        ("contested", 1000),
    ),
    "failed write taken as done": Defect(
        [Line(RaftMember._take, "self._fall_mute()", "self._written(self.writes.number)")], ("led", 1000)
    ),
    # A member whose disk takes no writes goes on as if it had one.
    "mute member votes": Defect(
        [patch.object(RaftMember, "_fall_mute", lambda self: self.writes.written(self.writes.number))],
        ("led", 3000),
    ),
    "promise forgotten when it can write": Defect(
        [
            Line(
                RaftMember._speak_again,
                "self.writes.failed()",
                "self.writes.failed(); self.term, self.voted, self.leader = durable.hard.term, None, None",
            )
        ],
        (7, PART),
    ),
    # What was on the disk before a tail was cut counts for what came in its place.
    "cut entries still count": Defect(
        [Line(Writes.cut_after, "min(self.durable, index)", "self.durable", "min(last, index)", "last")],
        (19, PART),
    ),
    "clock of the new leader": Defect([patch.object(Leader, "clock", lambda self, now: int(now))], (1, PART)),
    # Pieces of a later snapshot are put behind those of an earlier one.
    "pieces of two snapshots": Defect(
        [
            Line(
                Incoming.take,
                "self.head, self.data = piece.head, bytearray()",
                "self.head = piece.head",
                "crc32c.crc32c(whole) != piece.head.crc32c",
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
        return broken(partial(council_cluster.play, seed, part=part) for seed in range(first, first + seeds))


def by_search(name: str, states: int, *starts: str) -> tuple[str, str] | None:
    """Return after how many states from which start the search found it, and what; None: it did not."""
    with planted(DEFECTS[name].changes):
        for start in starts or council_search.STARTS:
            search, bounds = council_search.Search(), council_search.STARTS[start]
            try:
                begin = getattr(search, start)(replace(bounds, failures=bounds.crashes))
                council_search.run(search, begin, states, 100)
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
