"""Defects planted in the council's core, and how soon the tests find each.

Run as a program it makes the table of docs/results/council.md: `python tests/council_defects.py`.
"""

import argparse
import sys
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import replace
from typing import Any

import council_cluster
import council_search
from council_cluster import Cluster, Node

from fennelwind.council import council_pb2 as pb
from fennelwind.council import interface as api
from fennelwind.council import snapshots, votes
from fennelwind.council.core import Core
from fennelwind.council.interface import Durable
from fennelwind.council.leading import Leading
from fennelwind.council.log import Log
from fennelwind.council.pieces import Incoming
from fennelwind.council.votes import Ballot
from fennelwind.council.writes import Writes

Patch = tuple[Any, str, Any]


def acknowledge_before_sync() -> list[Patch]:
    """A follower tells the leader of entries that are only in its memory."""
    def answer(self: Core) -> None:
        self.answer_due = False
        if self.leader is not None and self.leading is None and not self.mute:
            self.send(self.leader, pb.Message(term=self.term, append_answer=pb.AppendAnswer(
                took=True, index=min(self.log.last, self.agreed), round=self.round)))
    return [(Core, "_answer_leader", answer)]


def leader_counts_itself_early() -> list[Patch]:
    """A leader counts its own disk before its write is done."""
    def committed(self: Leading) -> int:
        core = self.core
        index = self._agreed(core.log.last, {life: p.match for life, p in self.peers.items()})
        return index if index > core.commit and core.log.term(index) == self.term else core.commit
    return [(Leading, "committed", committed)]


def vote_forgotten_at_a_crash() -> list[Patch]:
    """Whom a member voted for is not read back."""
    def begin(self: Core, timing: Any, durable: Durable, *more: Any) -> None:
        start(self, timing, replace(durable, hard=pb.HardState(term=durable.hard.term)), *more)
    start = Core.__init__
    return [(Core, "__init__", begin)]


def vote_before_it_is_written() -> list[Patch]:
    """Messages leave before the term and vote that they rest on are on the disk."""
    return [(Core, "send", lambda self, to, message: self.out.append(api.Send(to, message)))]


def read_from_a_deposed_leader() -> list[Patch]:
    """A leader answers reads without asking whether it still leads."""
    def serve(self: Leading) -> None:
        if self.core.log.term(self.core.commit) == self.term:
            self.reads.place(self.core.commit, 0)
            self.core.out += self.reads.served(0)
    return [(Leading, "_serve_reads", serve)]


def read_before_an_own_entry() -> list[Patch]:
    """A new leader answers reads before it knows what earlier leaders agreed on."""
    def serve(self: Leading) -> None:
        self.reads.place(self.core.commit, self.round + 1)
        if self.reads.wants(self.round):
            self.start_round()
        self.core.out += self.reads.served(
            self._agreed(self.round, {life: p.round for life, p in self.peers.items()}))
    return [(Leading, "_serve_reads", serve)]


def tail_kept_after_a_conflict() -> list[Patch]:
    """Entries that differ from the leader's are left where they are."""
    def append(self: Core, message: pb.Append) -> None:
        if message.before_index >= self.log.base and self.log.term(message.before_index) is not None:
            kept = [e for e in message.entries if e.index > self.log.last]
            if message.entries and len(kept) < len(message.entries):
                before = self.log.last if kept else message.before_index
                new = pb.Append(before_index=before, before_term=self.log.term(before) or 0,
                                commit=message.commit, round=message.round, entries=kept)
                if not kept:
                    self.agreed = max(self.agreed, message.before_index + len(message.entries))
                message = new
        original(self, message)
    original = Core._append
    return [(Core, "_append", append)]


def commit_by_counting_old_terms() -> list[Patch]:
    """An entry of an earlier term is agreed because more than half have it."""
    def committed(self: Leading) -> int:
        index = self._agreed(self.core.writes.durable, {life: p.match for life, p in self.peers.items()})
        return max(index, self.core.commit)
    return [(Leading, "committed", committed)]


def two_changes_at_once() -> list[Patch]:
    """The members change again before the last change is agreed."""
    return [(Leading, "may_change", lambda self: True)]


def learners_count() -> list[Patch]:
    """Who catches up counts for what is agreed, and for votes."""
    def won(self: Ballot, voters: Any) -> bool:
        return 2 * len(self.granted) > len(voters)
    return [(Leading, "voters", lambda self: self.core.log.config.lives), (Ballot, "won", won)]


def snapshot_without_its_term() -> list[Patch]:
    """A snapshot doesn't say the term of its last entry."""
    def head_of(index: int, term: int, *more: Any) -> pb.SnapshotHead:
        return original(index, 0, *more)
    original = snapshots.head_of
    return [(snapshots, "head_of", head_of)]


def snapshot_with_later_members() -> list[Patch]:
    """A snapshot says who counts now, not who counted as of its last entry."""
    return [(Log, "config_at", lambda self, index: self.config)]


def vote_for_a_shorter_log() -> list[Patch]:
    """A vote is given to whoever asks first."""
    return [(votes, "lacks_nothing", lambda vote, term, index: True)]


def half_is_enough() -> list[Patch]:
    """A leader is elected by half of the votes."""
    def won(self: Ballot, voters: Any) -> bool:
        return 2 * sum(life in self.granted for life in voters) >= len(voters)
    return [(Ballot, "won", won)]


def follower_commits_what_it_has() -> list[Patch]:
    """A follower takes the leader's word for its own entries without having compared them."""
    def append(self: Core, message: pb.Append) -> None:
        original(self, message)
        self.commit = max(self.commit, min(message.commit, self.log.last))
    original = Core._append
    return [(Core, "_append", append)]


def failed_write_taken_as_done() -> list[Patch]:
    """A write that failed counts as if it had been tried again."""
    def take(self: Core, event: api.Event) -> None:
        if isinstance(event, api.WriteFailed):
            event = api.Written(self.writes.number)
        original(self, event)
    original = Core._take
    return [(Core, "_take", take)]


def mute_member_votes() -> list[Patch]:
    """A member whose disk takes no writes goes on as if it had one."""
    def fall(self: Core) -> None:
        self.writes.written(self.writes.number)
    return [(Core, "_fall_mute", fall)]


def promise_forgotten_when_it_can_write() -> list[Patch]:
    """A member that can write again knows only what its folder holds."""
    def speak(self: Core, durable: Durable) -> None:
        self.term, self.voted = durable.hard.term, None
        self.leader = None
        original(self, durable)
    original = Core._speak_again
    return [(Core, "_speak_again", speak)]


def cut_entries_still_count() -> list[Patch]:
    """What was on the disk before a tail was cut counts for what came in its place."""
    def cut(self: Writes, index: int) -> None:
        durable, under_way = self.durable, self.under_way
        original(self, index)
        self.durable, self.under_way = durable, under_way
    original = Writes.cut_after
    return [(Writes, "cut_after", cut)]


def clock_of_the_new_leader() -> list[Patch]:
    """A new leader stamps entries with its own clock."""
    return [(Leading, "clock", lambda self, now: int(now))]


def pieces_of_two_snapshots() -> list[Patch]:
    """Pieces of a later snapshot are put behind those of an earlier one."""
    def take(self: Incoming, piece: pb.Piece) -> bytes | None:
        self.head = piece.head
        if piece.offset == len(self.data):
            self.data += piece.data
        return bytes(self.data[:piece.head.size]) if len(self.data) >= piece.head.size else None
    return [(Incoming, "take", take)]


def returns_empty_as_who_it_was() -> list[Patch]:
    """A member whose folder was lost comes back under its old life, and votes."""
    def wipe(self: Cluster, name: str) -> None:
        self.crash(name)
        old = self.nodes[name]
        node = self.nodes[name] = Node(name, old.me, old.rate, old.offset, epoch=old.epoch + 1,
                                       restarts=old.restarts)
        node.image.hard = pb.HardState(term=1)
        node.image.entries = list(self.checks.agreed[:1])
        self.counts["wipes"] += 1
    return [(Cluster, "wipe", wipe)]


DEFECTS: dict[str, Callable[[], list[Patch]]] = {defect.__name__: defect for defect in (
    acknowledge_before_sync, leader_counts_itself_early, vote_forgotten_at_a_crash, vote_before_it_is_written,
    read_from_a_deposed_leader, read_before_an_own_entry, tail_kept_after_a_conflict,
    commit_by_counting_old_terms, two_changes_at_once, learners_count, snapshot_without_its_term,
    snapshot_with_later_members, vote_for_a_shorter_log, half_is_enough, follower_commits_what_it_has,
    failed_write_taken_as_done, mute_member_votes, promise_forgotten_when_it_can_write,
    cut_entries_still_count, clock_of_the_new_leader, pieces_of_two_snapshots,
    returns_empty_as_who_it_was)}


@contextmanager
def planted(name: str) -> Iterator[None]:
    """Have a defect in the core for a while."""
    patches = DEFECTS[name]()
    before = [(owner, attribute, getattr(owner, attribute)) for owner, attribute, _ in patches]
    for owner, attribute, value in patches:
        setattr(owner, attribute, value)
    try:
        yield
    finally:
        for owner, attribute, value in before:
            setattr(owner, attribute, value)


def by_seeds(name: str, first: int, seeds: int, part: float = 1.0) -> tuple[int, str] | None:
    """Return how many seeds it took until a day was broken, and by what; None: none was."""
    with planted(name):
        for seed in range(first, first + seeds):
            try:
                council_cluster.play(seed, part=part)
            except Exception as exc:  # a core that falls over itself was found as well
                return seed - first + 1, f"{type(exc).__name__}: {exc}"
    return None


def by_search(name: str, states: int, starts: Sequence[str] = ()) -> tuple[str, int, str] | None:
    """Return from which start the search found it, after how many states, and what; None: it did not."""
    with planted(name):
        for start in starts or council_search.STARTS:
            search = council_search.Search()
            bounds = council_search.STARTS[start]
            try:
                begin = getattr(search, start)(replace(bounds, failures=bounds.crashes))
                council_search.run(search, begin, states, 100)
            except council_search.Found as exc:
                return start, exc.states, exc.what
            except Exception as exc:
                return start, 0, f"{type(exc).__name__}: {exc}"
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
        began = time.perf_counter()
        seeds, states = by_seeds(name, 0, args.seeds), by_search(name, args.states)
        missed += not (seeds or states)
        days, search = ("-", ""), ("-", "")
        if seeds:
            days = (str(seeds[0]), seeds[1].removeprefix("Broken: "))
        if states:
            search = (f"{states[1]} from `{states[0]}`", states[2])
        cells = [name.replace("_", " "), days[0], search[0], days[1] or search[1]]
        print("| " + " | ".join(cells) + " |", flush=True)
        print(f"{name}: {time.perf_counter() - began:.0f} s", file=sys.stderr)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
