"""This controller's part in clearances: it is on the roll, tells the leader its word, and asks as a holder.

Nothing here is waited for by a query. Without the council no word is told, and copies and engines that are
asked for are taken after the waits that hold without words.
"""

from collections import Counter
from collections.abc import Iterable

from fennelwind.cluster import keeper_pb2
from fennelwind.cluster.errors import CommandRefused, CouncilError
from fennelwind.cluster.raft_client import Asker
from fennelwind.cluster.replica_locations import Places
from fennelwind.cluster.state_machines import ROLL
from fennelwind.cluster.wakeup import Bell
from fennelwind.loop import DeadlineExceeded, Loop, Task
from fennelwind.quiescence import clearance_pb2 as pb
from fennelwind.quiescence.in_flight import Book, Pair
from fennelwind.quiescence.registered_controllers import FORGET_MS

RENEW_MS = FORGET_MS / 4.0  # ms between renewals: three may be lost, on a clock that is a fifth slow
AGAIN_MS = 5000.0  # ms until a sign-on that failed is tried again; a roll begins to count after FORGET_MS
ASK_MS = 4000.0  # ms for one command
WORD_MS = 2000.0  # ms for one word or question; a later one says more

Heard = pb.Heard


class Clearances:
    """One controller's part. `book` is None where queries don't go by what engines hold."""

    def __init__(self, loop: Loop, asker: Asker, name: str, book: Book | None) -> None:
        self.loop, self.asker, self.name, self.book = loop, asker, name, book
        self.counts: Counter[str] = Counter()
        self._bell = Bell(loop)
        self._tasks: list[Task] = []

    def start(self) -> None:
        """Be on the roll from now on, and say what there is to say."""
        self._tasks = [self.loop.spawn(self._stay, name="clearances: roll")]
        if self.book is not None:
            self._tasks.append(self.loop.spawn(self._tell, name="clearances: words"))

    def close(self) -> None:
        """Say nothing more: others wait for this one until it is forgotten."""
        for task in self._tasks:
            task.cancel()

    def copies(self, revision: int, places: Places, leaving: list[Pair], whole: bool) -> None:
        """Take a view of copies."""
        self.book.see_copies(revision, places, leaving, whole)
        self._bell.ring()

    def tables(self, index: int, kept: dict[str, frozenset[str]], quiet: list[Pair], whole: bool) -> None:
        """Take a view of the engines that get no query of some tables."""
        self.book.see_tables(index, kept, quiet, whole)
        self._bell.ring()

    def _stay(self) -> None:
        number = 0
        while True:
            command = pb.RollCommand(renew=pb.Renew(number=number))
            if not number:
                command = pb.RollCommand(sign_on=pb.SignOn(name=self.name, routes=self.book is not None))
            try:
                answer = pb.RollAnswer.FromString(
                    self.asker.propose(ROLL, command.SerializeToString(deterministic=True), ASK_MS)
                )
                number = 0 if answer.refusal else answer.number
                self.counts[pb.RollAnswer.Refusal.Name(answer.refusal)] += 1
            except CouncilError as exc:  # the record may be of a level without a roll
                self.counts[exc.code] += 1
                self.loop.sleep(AGAIN_MS)
                continue
            if self.book is not None:
                self.book.number = number
                self._bell.ring()
            self.loop.sleep(RENEW_MS if number else AGAIN_MS)

    def _tell(self) -> None:
        book = self.book
        while True:
            word, wake = book.word(self.loop.now())
            if word is None:
                try:
                    with self.loop.deadline_at(wake):
                        self._bell.wait()
                except DeadlineExceeded:
                    pass
                continue
            raw = word.SerializeToString()
            try:
                self.asker.leader(lambda raw=raw: keeper_pb2.Ask(word=raw), WORD_MS)
                self.counts["told"] += 1
            except CouncilError as exc:
                self.counts[exc.code] += 1
                book.unheard()
                self.loop.sleep(AGAIN_MS if isinstance(exc, CommandRefused) else 0.0)

    def hear(self, wishes: Iterable[pb.Wish]) -> list[int]:
        """Return how wishes stand: `Heard.State` of each; SILENT where the leader can't be heard."""
        asked = pb.Asked(wishes=wishes)
        raw = asked.SerializeToString()
        try:
            told = pb.Heard.FromString(self.asker.leader(lambda: keeper_pb2.Ask(cleared=raw), WORD_MS))
        except CouncilError as exc:
            self.counts[exc.code] += 1
            return [Heard.SILENT] * len(asked.wishes)
        states = [each.state for each in told.states]
        return states if len(states) == len(asked.wishes) else [Heard.SILENT] * len(asked.wishes)
