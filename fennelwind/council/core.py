"""The council's core: one member's part in the agreed record, by the Raft paper. No I/O, no clock.

`Core.step(now, events) -> actions`; see interface.py. A core is a value: it may be copied, stepped, compared.
"""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random

from fennelwind.council import council_pb2 as pb
from fennelwind.council import interface as api
from fennelwind.council.interface import Action, Durable, Event, Life, Timing
from fennelwind.council.joining import Joining
from fennelwind.council.leading import Leading
from fennelwind.council.log import Log
from fennelwind.council.pieces import SNAPSHOT_MOST, Incoming, head_of
from fennelwind.council.votes import Ballot, lacks_nothing
from fennelwind.council.writes import Writes

APPLY_MOST = 1024  # entries in one `Apply`, so that the carrier can look up between two
SHY_TIMEOUTS = 3  # election time-outs for which a member that handed over does not ask for votes
SNAPSHOT_ENTRIES = 4  # times the kept entries: so many behind the last snapshot are one too, however small
HELD_MOST = 1024  # messages that wait for a term's write; what is more is lost, as on a bad link
TERM_MOST = 1 << 62  # no honest term comes near


@dataclass(slots=True, frozen=True)
class View:
    """What there is to see of a member."""

    part: str
    term: int
    leader: str
    commit: int
    given: int  # entries up to here went to the carrier
    last: int
    durable: int
    base: int
    log_bytes: int
    waiting: int
    reads: int
    members: pb.Members
    match: dict[str, int]  # a leader's: what each other member has on its disk
    counts: dict[str, int]


class Core:
    """One member. `stated` are the members that the settings name; their lives are empty there."""

    def __init__(self, timing: Timing, durable: Durable, seed: int, stated: Iterable[pb.Member] = ()) -> None:
        self.timing, self.me = timing, durable.me
        self.stated = {member.name: member for member in stated}
        self.random = Random(f"council {seed} {self.me.name} {self.me.life.hex()}")
        self.log = Log(durable.head, durable.entries)
        self.head, self.snapshot = durable.head, durable.snapshot
        self.term = durable.hard.term
        hard = durable.hard
        self.voted = Life(hard.voted_name, hard.voted_life) if hard.voted_name else None
        self.commit = self.given = self.head.index if self.head is not None else 0
        self.agreed = self.commit  # up to here the log is as the present leader's
        self.writes = Writes(self.log.last)
        self.leader: Life | None = None
        self.leading: Leading | None = None
        self.ballot: Ballot | None = None
        self.joining = Joining(self.me, self.stated)
        self.incoming = Incoming()
        self.installing: tuple[int, pb.SnapshotHead, bytes] | None = None  # by the number of its write
        self.compacting: tuple[int, pb.SnapshotHead, bytes, int] | None = None
        self.snapshot_asked = False
        self.mute = False
        self.removed = False  # a leader said so
        self.now = self.heard = self.shy_until = -math.inf
        self.patience = 0.0  # ms without a word from a leader, after which votes are asked for
        self.ask_at: float | None = None  # when to look whether that is so
        self.round = 0  # the leader's last
        self.told = 0  # what the leader was last told that is on the disk
        self.answer_due = False
        self.due: int | None = None
        self.commands_seen = False
        self.counts: Counter[str] = Counter()  # of what was dropped, and why
        self.out: list[Action] = []
        self._shown: api.Became | None = None
        self._timer: float | None = None
        if self.head is not None:
            self.out.append(api.Restore(self.head, self.snapshot))

    # The step

    def step(self, now: float, events: Sequence[Event] = ()) -> list[Action]:
        """Take what happened; return what is to be done, in order."""
        if self.now == -math.inf:
            self._draw(now)
        self.now = max(self.now, now)
        for event in events:
            self._take(event)
        self._tick()
        self._settle()
        out, self.out = self.out, []
        return out

    def _take(self, event: Event) -> None:
        match event:
            case api.Received(sender, message):
                self._received(sender, message)
            case api.Written(number):
                self._written(number)
            case api.Propose(token):
                if self.leading is not None:
                    self.leading.propose(event, self.now)
                else:
                    self._refuse(token)
            case api.Read(token):
                if self.leading is not None:
                    self.leading.read(token)
                else:
                    self.refuse_read(token, self._nobody())
            case api.Applied(_, due):
                self.due = due
            case api.Snapshot():
                self._compact(event)
            case api.Change(token):
                if self.leading is not None:
                    self.leading.change(event, self.now)
                else:
                    self._refuse(token)
            case api.HandOver() | api.RoomShort():
                self.shy_until = self.now + SHY_TIMEOUTS * self.timing.election_ms
                if self.leading is not None:
                    self.leading.hand_over(self.now)
            case api.WriteFailed():
                self._fall_mute()
            case api.CanWrite(durable):
                self._speak_again(durable)
            case api.TimerFired():
                pass  # `now` tells all

    def _tick(self) -> None:
        now = self.now
        if self.leading is not None:
            if not self.leading.tick(now):
                self.counts["stepped down unheard"] += 1
                self._follow(self.term, None)
        elif self.ask_at is not None and now >= self.ask_at:
            if self.leader is not None and now < self.heard + self.patience:
                self.ask_at = self.heard + self.patience
            else:
                self._draw(now)
                if self._may_lead() and now >= self.shy_until and self.writes.hard_done:
                    self._ask_before()
        if self._wants_in():
            joining = self.joining
            if joining.next_at is None or now >= joining.next_at:
                joining.next_at = now + self.timing.election_ms
                for to, message in joining.messages():
                    self.send(to, message)
            if self.empty and joining.founds():
                self._found()

    def _settle(self) -> None:
        """Do what follows from all that came in this step."""
        if self.leading is not None and not self.leading.settle(self.now):
            self._follow(self.term, None)
        if self.ballot is not None and self.ballot.won(self.log.config.voters):
            self._won()
        write = None if self.mute else self.writes.flush(self.log.last)
        if write is not None:
            self.out.append(write)
        if self.answer_due:
            self._answer_leader()
        self.give()
        self._want_snapshot()
        part = self.part
        shown = api.Became(part, self.term, self.leader.name if self.leader is not None else "")
        if shown != self._shown:
            self._shown = shown
            self.out.append(shown)
        at = self._next_at()
        if at is not None and at != self._timer:
            self._timer = at
            self.out.append(api.Timer(at))

    def _next_at(self) -> float | None:
        if self.leading is not None:
            return self.leading.next_at()
        asks, joins = self.ask_at if self._may_lead() else None, self.joining.next_at
        return min((at for at in (asks, joins if self._wants_in() else None) if at is not None), default=None)

    # Who it is

    @property
    def part(self) -> str:
        """Its part, as `Became` tells it."""
        if self.leading is not None:
            return "leader"
        if self.mute and self.me in self.log.config.lives:
            return "mute"
        if self.ballot is not None:
            return "asking"
        if self._may_lead():
            return "follower"
        return "learner" if self.me in self.log.config.lives else "outside"

    @property
    def empty(self) -> bool:
        """Whether it has no record."""
        return self.head is None and not self.log.last and not self.term

    def _may_lead(self) -> bool:
        """Whether it may ask for votes: it has one, or has one until it is agreed that it has not.

        One that wrote its own removal may be the only one that has it, and nobody else can be elected then.
        """
        if self.mute or self.removed:
            return False
        return any(self.me in found.voters for found in self.log.configs_from(self.commit))

    def _wants_in(self) -> bool:
        """Whether it never was a member, as far as its log tells: one that was removed asks nobody."""
        if self.mute or self.me in self.log.config.lives:
            return False
        return not any(self.me in found.lives for found in self.log.configs)

    def founded(self) -> bool:
        """Whether commands may come: not while they would rest on the founder's disk alone."""
        return self.commands_seen or self.head is not None or any(
            2 * len(found.voters) > len(self.stated) for found in self.log.configs)

    def log_clock(self) -> int:
        """Return the record's clock as of the last entry."""
        if self.log.entries:
            return self.log.entries[-1].clock_ms
        return self.head.clock_ms if self.head is not None else 0

    def state(self) -> View:
        """Return what there is to see."""
        leading = self.leading
        return View(
            part=self.part, term=self.term, leader=self.leader.name if self.leader is not None else "",
            commit=self.commit, given=self.given, last=self.log.last, durable=self.writes.durable,
            base=self.log.base, log_bytes=self.log.size,
            waiting=len(leading.waiting) if leading else 0, reads=len(leading.reads) if leading else 0,
            members=self.log.config.members,
            match={life.name: peer.match for life, peer in leading.peers.items()} if leading else {},
            counts=dict(self.counts))

    # What leaves

    def send(self, to: Life, message: pb.Message) -> None:
        """Send a message once the last term and vote are on the disk; a mute member's promises nothing."""
        if self.mute or self.writes.hard_done:
            self.out.append(api.Send(to, message))
        elif len(self.writes.held) >= HELD_MOST:
            self.counts["held too many"] += 1
        else:
            self.writes.hold(api.Send(to, message))

    def add(self, entries: Sequence[pb.Entry]) -> None:
        """Add entries to the log, and have them written."""
        self.log.append(entries)
        if not self.mute:
            self.writes.entries += entries

    def _set_hard(self) -> None:
        if not self.mute:
            voted = self.voted or Life("", b"")
            self.writes.set_hard(pb.HardState(term=self.term, voted_name=voted.name, voted_life=voted.life))

    def _nobody(self) -> int:
        known = self.leader is not None and self.leader != self.me
        return pb.Result.NOT_LEADER if known else pb.Result.NO_LEADER

    def _refuse(self, token: int) -> None:
        name = self.leader.name if self.leader is not None else ""
        self.out.append(api.Answer(token, self._nobody(), leader=name, again_ms=int(self.timing.election_ms)))

    def refuse_read(self, token: int, refusal: int) -> None:
        """Tell a reader that it can't be served here and now."""
        name = self.leader.name if self.leader is not None and self.leader != self.me else ""
        self.out.append(api.Readable(token, refusal=refusal, leader=name))

    def give(self) -> None:
        """Hand over entries that are agreed."""
        upto = min(self.commit, self.log.last)
        while self.given < upto:
            entries = self.log.slice(self.given + 1, min(self.given + APPLY_MOST, upto))
            self.commands_seen |= any(entry.WhichOneof("what") == "command" for entry in entries)
            self.given = entries[-1].index
            self.out.append(api.Apply(tuple(entries)))

    # Terms and votes

    def _draw(self, now: float) -> None:
        self.patience = self.timing.election_ms * (1.0 + self.random.random())
        self.ask_at = now + self.patience

    def _hears(self) -> bool:
        """Whether it leads, or heard who leads, so lately that nobody else should."""
        return self.leading is not None or (
            self.leader is not None and self.now < self.heard + self.timing.election_ms)

    def _follow(self, term: int, leader: Life | None) -> None:
        """Be no leader; take a later term if there is one."""
        leading, self.leading, self.ballot = self.leading, None, None
        if term > self.term:
            self.term, self.voted = term, None
            self._set_hard()
        if leader is None or leader != self.leader or leading is not None:
            self.agreed, self.round, self.told = self.commit, 0, 0
            self.incoming.drop()
        self.leader = leader
        if leading is not None:
            self._draw(self.now)
            for _, token in leading.waiting:
                self.out.append(api.Answer(token, pb.Result.UNKNOWN, leader=leader.name if leader else "",
                                           again_ms=int(self.timing.election_ms)))
            for token in leading.reads.drop():
                self.refuse_read(token, self._nobody())

    def _ask_before(self) -> None:
        """Ask whether a majority would vote for this member: only then a term is worth it."""
        self.leader = None
        self.ballot = Ballot(True, self.term + 1, granted={self.me})
        self._ask(self.term + 1, pb.Vote(before=True))

    def _ask(self, term: int, vote: pb.Vote) -> None:
        vote.last_index, vote.last_term = self.log.last, self.log.last_term
        for life in self.log.config.voters:
            if life != self.me:
                self.send(life, pb.Message(term=term, vote=vote))

    def _campaign(self, handed_over: bool) -> None:
        self._follow(self.term + 1, None)
        self.voted = self.me
        self._set_hard()
        self.ballot = Ballot(False, self.term, write=self.writes.coming)
        self._draw(self.now)
        self._ask(self.term, pb.Vote(handed_over=handed_over))

    def _won(self) -> None:
        if self.ballot is not None and self.ballot.before:
            self._campaign(False)
            return
        self.ballot, self.leader = None, self.me
        self.leading = Leading(self, self.now)
        self.leading.tick(self.now)
        self.leading.settle(self.now)

    def _vote(self, sender: Life, term: int, vote: pb.Vote) -> None:
        if self.mute or self.empty:
            self.counts["vote not given"] += 1
            return
        known = sender in self.log.config.lives
        heard = self._hears() and not (vote.handed_over and known and not vote.before)
        fit = lacks_nothing(vote, self.log.last_term, self.log.last)
        if vote.before:
            granted = fit and not heard and term > self.term
            answer = pb.VoteAnswer(before=True, granted=granted)
            self.send(sender, pb.Message(term=term if granted else self.term, vote_answer=answer))
            if self.leading is not None and not known and self.log.config.index <= self.commit:
                word = pb.JoinAnswer(word=pb.JoinAnswer.REFUSED, leader=self.me.name, life=self.me.life)
                self.send(sender, pb.Message(term=self.term, join_answer=word))  # it may not know yet
            return
        if heard:
            self.counts["vote not given"] += 1
            return
        if term > self.term:
            self._follow(term, None)
        granted = term == self.term and fit and self.voted in (None, sender) and self.leader is None
        if granted:
            if self.voted is None:
                self.voted = sender
                self._set_hard()
            self._draw(self.now)
        self.send(sender, pb.Message(term=self.term, vote_answer=pb.VoteAnswer(granted=granted)))

    def _vote_answer(self, sender: Life, term: int, answer: pb.VoteAnswer) -> None:
        ballot = self.ballot
        if ballot is None or sender not in self.log.config.voters:
            self.counts["late"] += 1
        elif answer.granted:
            if answer.before == ballot.before and term == ballot.term:
                ballot.granted.add(sender)
        elif term > self.term:
            self._follow(term, None)

    # Messages

    def _received(self, sender: Life, message: pb.Message) -> None:
        term, body = message.term, message.WhichOneof("body")
        if sender == self.me or body is None or term > TERM_MOST:
            self.counts["malformed"] += 1
            return
        match body:
            case "vote":
                self._vote(sender, term, message.vote)
            case "vote_answer":
                self._vote_answer(sender, term, message.vote_answer)
            case "append" | "piece":
                if self._leads(sender, term, body == "append"):
                    if body == "append":
                        self._append(message.append)
                    else:
                        self._piece(message.piece)
            case "append_answer" | "piece_answer":
                leading = self.leading
                if leading is None or sender not in leading.peers or (
                        term > self.term and leading.peers[sender].leaves_at):
                    self.counts["late" if sender in self.log.config.lives else "stranger"] += 1
                elif term > self.term:
                    self._follow(term, None)
                elif term == self.term and body == "append_answer":
                    leading.answered(sender, message.append_answer, self.now)
                elif term == self.term:
                    leading.piece_answered(sender, message.piece_answer, self.now)
            case "take_over":
                if term == self.term and sender == self.leader and self._may_lead() \
                        and not self.installing and self.now >= self.shy_until:
                    self._campaign(True)
            case "join":
                self._join(sender, message.join)
            case "join_answer":
                word = message.join_answer
                if self._wants_in():
                    self.joining.answered(sender, word)
                elif word.word == pb.JoinAnswer.REFUSED and word.leader == sender.name and not self._hears():
                    self.removed, self.ballot = True, None

    def _leads(self, sender: Life, term: int, append: bool) -> bool:
        """Take a leader's message as one; False: it is late, or a stranger's while another is heard."""
        if term < self.term:
            if append and not self.mute:
                self.send(sender, pb.Message(term=self.term, append_answer=pb.AppendAnswer()))
            return False
        if sender not in self.log.config.lives and sender != self.leader and self._hears():
            self.counts["stranger"] += 1
            return False
        if term == self.term and self.leader not in (None, sender):
            self.counts["malformed"] += 1  # a term has one leader
            return False
        if term > self.term or self.leader != sender:
            self._follow(term, sender)
        self.heard, self.removed = self.now, False
        return True

    def _append(self, append: pb.Append) -> None:
        log, before = self.log, append.before_index
        entries = list(append.entries)
        terms = [append.before_term, *(entry.term for entry in entries), self.term]
        if terms != sorted(terms) or [e.index for e in entries] != list(
                range(before + 1, before + 1 + len(entries))):
            self.counts["malformed"] += 1
            return
        newer = append.round > self.round
        self.round = max(self.round, append.round)
        if self.installing is not None:
            self.answer_due = True
            return
        if before > log.last or (before >= log.base and log.term(before) != append.before_term):
            index = log.back_to(append.before_term, before - 1)
            self.send(self.leader, pb.Message(term=self.term, append_answer=pb.AppendAnswer(
                index=index, round=self.round, cannot_write=self.mute)))
            return
        fresh = [e for e in entries if e.index > log.base and log.term(e.index) != e.term]
        if fresh and fresh[0].index <= log.last:
            if fresh[0].index <= self.commit:
                self.counts["against what is agreed"] += 1  # can't be, unless a disk or a member lies
                return
            log.cut(fresh[0].index - 1)
            self.writes.cut_after(fresh[0].index - 1)
        if fresh and not (self.mute and log.size >= self.timing.log_most):
            self.add(fresh)
        self.agreed = max(self.agreed, min(before + len(entries), log.last))
        self.commit = max(self.commit, min(append.commit, self.agreed))
        self.answer_due |= newer or not fresh

    def _answer_leader(self) -> None:
        """Tell the leader what is on the disk; nothing that is only in memory counts."""
        self.answer_due = False
        if self.leader is None or self.leading is not None:
            return
        if self.mute:
            answer = pb.AppendAnswer(index=self.log.last, round=self.round, cannot_write=True)
        else:
            self.told = min(self.writes.durable, self.agreed)
            answer = pb.AppendAnswer(took=True, index=self.told, round=self.round)
        self.send(self.leader, pb.Message(term=self.term, append_answer=answer))

    def _join(self, sender: Life, join: pb.Join) -> None:
        word = pb.JoinAnswer.WAIT
        if (join.member.name, join.member.life) != sender:
            self.counts["malformed"] += 1
            return
        if self.leading is not None:
            word = self.leading.join(sender, join.member, self.now)
        elif self.empty and not self.mute:
            word = pb.JoinAnswer.EMPTY
        leader = self.leader.name if self.leader is not None else ""
        self.send(sender, pb.Message(join_answer=pb.JoinAnswer(word=word, leader=leader, life=self.me.life)))

    def _found(self) -> None:
        stated = self.stated[self.me.name]
        me = pb.Member(name=self.me.name, life=self.me.life, address=stated.address, votes=True)
        self.term = 1
        self._set_hard()
        self.add([pb.Entry(term=1, index=1, members=pb.Members(members=[me]))])
        self.ask_at = self.now

    # The disk

    def _written(self, number: int) -> None:
        if self.mute:
            return
        self.out += self.writes.written(number)
        if self.ballot is not None and not self.ballot.before and self.ballot.write <= number:
            self.ballot.granted.add(self.me)
        if self.compacting is not None and self.compacting[0] <= number:
            _, self.head, self.snapshot, keep_from = self.compacting
            self.compacting = None
            self.log.compact(keep_from - 1)
        if self.installing is not None and self.installing[0] <= number:
            self._installed()
        if min(self.writes.durable, self.agreed) > self.told:
            self.answer_due = True

    def _fall_mute(self) -> None:
        """Have no vote and lead nobody: what the disk holds isn't known any more."""
        if self.leading is not None:
            heir = self.leading.heir(self.now)
            if heir is not None:
                self.out.append(api.Send(heir, pb.Message(term=self.term, take_over=pb.TakeOver())))
        self.mute = True
        self.writes.failed()
        self.installing = self.compacting = None
        self.incoming.drop()
        if self.leading is not None or self.ballot is not None:
            self._follow(self.term, None)

    def _speak_again(self, durable: Durable) -> None:
        """Go on from what the folder holds; what was promised, and the folder lacks, is written first."""
        self.writes.failed()
        disk = Log(durable.head, durable.entries)
        if durable.head is not None and (self.head is None or durable.head.index > self.head.index):
            self._adopt(durable.head, durable.snapshot, disk)
        self.mute = False
        self.snapshot_asked = False
        same = max(disk.base, self.log.base)
        if disk.term(same) is None or disk.term(same) != self.log.term(same):
            self.log.compact(self.head.index)  # the folder's log doesn't reach this one: all goes there anew
            same = self.log.base
            self.writes.durable = same
            self._write_snapshot(self.head, self.snapshot, same + 1, cut_after=same)
        else:
            while same < min(disk.last, self.log.last) and disk.term(same + 1) == self.log.term(same + 1):
                same += 1
            self.writes.durable = same
            if same < disk.last:
                self.writes.cut_after(same)
        self.writes.entries = self.log.slice(same + 1, self.log.last)
        self._set_hard()
        self._draw(self.now)

    # Snapshots

    def _want_snapshot(self) -> None:
        behind = self.given - (self.head.index if self.head is not None else 0)
        large = self.log.size > self.timing.log_most or behind > SNAPSHOT_ENTRIES * self.timing.kept_entries
        if large and behind and not (self.mute or self.snapshot_asked or self.compacting or self.installing) \
                and self.part != "outside":
            self.snapshot_asked = True
            self.out.append(api.TakeSnapshot())

    def _write_snapshot(self, head: pb.SnapshotHead, data: bytes, keep_from: int,
                        cut_after: int | None = None) -> int:
        """Write a snapshot in a step of its own, behind what this step has gathered; return its number."""
        write = self.writes.flush(self.log.last)
        if write is not None:
            self.out.append(write)
        self.writes.number += 1
        self.writes.under_way.append((self.writes.number, self.writes.last_under_way()))
        self.out.append(api.Write(self.writes.number, cut_after=cut_after, head=head, snapshot=data,
                                  keep_from=keep_from))
        return self.writes.number

    def _compact(self, event: api.Snapshot) -> None:
        self.snapshot_asked = False
        term = self.log.term(event.index)
        if self.mute or term is None or event.index > self.given or self.compacting or self.installing \
                or (self.head is not None and event.index <= self.head.index):
            return
        if len(event.data) > SNAPSHOT_MOST:
            self.counts["snapshot too large"] += 1
            return
        head = head_of(event.index, term, event.clock_ms, self.log.config_at(event.index).members, event.data)
        keep_from, size = event.index + 1, 0
        while keep_from > max(self.log.base + 1, event.index + 1 - self.timing.kept_entries):
            size += self.log.entries[keep_from - self.log.base - 2].ByteSize()
            if size > self.timing.log_most // 4:
                break
            keep_from -= 1
        self.compacting = (self._write_snapshot(head, event.data, keep_from), head, event.data, keep_from)

    def _piece(self, piece: pb.Piece) -> None:
        self.round = max(self.round, piece.round)
        head = piece.head
        if self.mute or self.installing is not None:
            return
        if head.size > SNAPSHOT_MOST or head.term > self.term:
            self.counts["malformed"] += 1
            return
        if head.index <= self.commit:  # it has all that
            self.answer_due = True
            self.agreed = max(self.agreed, head.index)
            return
        whole = self.incoming.take(piece)
        if whole is not None:
            self.incoming.drop()
            held = self.log.term(head.index) == head.term
            number = self._write_snapshot(head, whole, self.log.base + 1 if held else head.index + 1,
                                          None if held else head.index)
            self.installing = (number, head, whole)
            return
        self.send(self.leader, pb.Message(term=self.term, piece_answer=pb.PieceAnswer(
            index=head.index, offset=len(self.incoming.data), round=self.round)))

    def _installed(self) -> None:
        _, head, data = self.installing
        self.installing = None
        self._adopt(head, data, Log(head, ()))
        self.agreed = max(self.agreed, head.index)

    def _adopt(self, head: pb.SnapshotHead, data: bytes, log: Log) -> None:
        """Take a snapshot that is on the disk; a log that doesn't reach it is replaced."""
        self.head, self.snapshot = head, data
        if self.log.term(head.index) != head.term:
            self.log = log
            self.writes.durable = log.last
            self.writes.under_way = type(self.writes.under_way)(
                (number, log.last) for number, _ in self.writes.under_way)
        self.commit = max(self.commit, head.index)
        if head.index > self.given:
            self.given = head.index
            self.out.append(api.Restore(head, data))
