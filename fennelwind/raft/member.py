"""One member of the Raft group, by the Raft paper. No I/O, no clock.

`RaftMember.step(now, events) -> actions`; see messages.py. A member is a value: it may be copied, stepped,
compared.
"""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft import election
from fennelwind.raft import messages as api
from fennelwind.raft.bootstrap import Joining
from fennelwind.raft.election import Ballot
from fennelwind.raft.leader import Leader
from fennelwind.raft.log import Log
from fennelwind.raft.messages import Action, DurableState, Event, Incarnation, Timing
from fennelwind.raft.pending_writes import Writes
from fennelwind.raft.snapshots import Snapshots

APPLY_MOST = 1024  # entries in one `Apply`, so that the carrier can look up between two
STUCK_TIMEOUTS = 10  # election time-outs for which a leader's disk may stand while others agree without it
SHY_TIMEOUTS = 3  # election time-outs for which a member that handed over does not ask for votes
HELD_MOST = 1024  # messages that wait for a term's write; what is more is lost, as on a bad link
REMOVED_TIMEOUTS = 40  # election time-outs for which one that was told of its removal asks nobody
TERM_MOST = 1 << 62  # no honest term comes near


@dataclass(slots=True, frozen=True)
class MemberStatus:
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


class RaftMember:
    """One member. `stated` are the members that the settings name; their lives are empty there."""

    def __init__(
        self, timing: Timing, durable: DurableState, seed: int, stated: Iterable[pb.Member] = ()
    ) -> None:
        self.timing, self.me = timing, durable.me
        self.stated = {member.name: member for member in stated}
        self.random = Random(f"council {seed} {self.me.name} {self.me.life.hex()}")
        self.log = Log(durable.head, durable.entries)
        self.term = durable.hard.term
        hard = durable.hard
        self.voted = Incarnation(hard.voted_name, hard.voted_life) if hard.voted_name else None
        self.out: list[Action] = []
        self.snapshots = Snapshots(self, durable)
        self.commit = self.given = self.snapshots.index
        self.agreed = self.commit  # up to here the log is as the present leader's
        self.writes = Writes(self.log.last)
        self.leader: Incarnation | None = None
        self.leading: Leader | None = None
        self.ballot: Ballot | None = None
        self.joining = Joining(self.me, self.stated)
        self.mute = False
        self.now = self.heard = self.shy_until = self.removed_until = -math.inf
        self.removed_as_of = 0  # the members that it knew when it was told of its removal
        self.wrote = -math.inf  # when a write came back last, or none was under way
        self.patience = 0.0  # ms without a word from a leader, after which votes are asked for
        self.ask_at: float | None = None  # when to look whether that is so
        self.round = 0  # the leader's last
        self.told = 0  # what the leader was last told that is on the disk
        self.answer_due = False
        self.due: int | None = None
        self.commands_seen = False
        self.counts: Counter[str] = Counter()  # of what was dropped, and why
        self._shown: api.RoleChanged | None = None
        self._timer: float | None = None

    # The step

    def step(self, now: float, events: Sequence[Event] = ()) -> list[Action]:
        """Take what happened; return what is to be done, in order."""
        if self.now == -math.inf:
            self.now = now
            self.draw()
        self.now = max(self.now, now)
        for event in events:
            self._take(event)
        self._tick()
        self._settle()
        out, self.out = self.out, []
        return out

    def _take(self, event: Event) -> None:
        match event:
            case api.MessageReceived(sender, message):
                self._received(sender, message)
            case api.WriteCompleted(number):
                self._written(number)
            case api.Propose(token):
                if self.leading is not None:
                    self.leading.propose(event, self.now)
                else:
                    self._refuse(token)
            case api.ReadRequested(token):
                if self.leading is not None:
                    self.leading.read(token)
                else:
                    self.refuse_read(token, self._nobody())
            case api.Applied(_, due):
                self.due = due
            case api.Snapshot():
                self.snapshots.taken(event)
            case api.ChangeMembership(token):
                if self.leading is not None:
                    self.leading.change(event, self.now)
                else:
                    self._refuse(token)
            case api.TransferLeadership() | api.DiskSpaceLow():
                self._hand_over()
            case api.WriteFailed():
                self._fall_mute()
            case api.StorageRecovered(durable):
                self._speak_again(durable)
            case api.TimerFired():
                self._timer = None  # it may have come early: it is wanted again

    def _tick(self) -> None:
        now = self.now
        if self.writes.done == self.writes.number:
            self.wrote = now
        if self.leading is not None:
            if self._stuck():
                self.wrote = now  # where nobody takes over, as much later again
                self.counts["stuck disk"] += 1
                self._hand_over()
            if not self.leading.tick(now):
                self.counts["stepped down unheard"] += 1
                self.follow(self.term, None)
        elif self.ask_at is not None and now >= self.ask_at:
            if self.leader is not None and now < self.heard + self.patience:
                self.ask_at = self.heard + self.patience
            else:
                self.draw()
                if self._may_lead() and not self._shy() and self.writes.hard_done:
                    election.ask_before(self)
        if self._wants_in():
            joining = self.joining
            if joining.next_at is None or now >= joining.next_at:
                joining.next_at = now + self.timing.election_ms
                for to, message in joining.messages():
                    self.send(to, message)
            if self.empty and joining.founds(now, self.timing.election_ms):
                self._found()

    def _shy(self) -> bool:
        """Whether it asks for no votes: it handed over, or was removed and not let in again since."""
        removed = self.now < self.removed_until and self.log.config.index <= self.removed_as_of
        return removed or self.now < self.shy_until

    def _hand_over(self) -> None:
        self.shy_until = self.now + SHY_TIMEOUTS * self.timing.election_ms
        if self.leading is not None:
            self.leading.hand_over(self.now)

    def _stuck(self) -> bool:
        """Whether the disk stands while the others agree: then one of them leads better.

        The log can't be shortened without it, and at its bound a leader takes nothing more.
        """
        return (
            self.writes.durable < self.commit
            and self.now - self.wrote >= STUCK_TIMEOUTS * self.timing.election_ms
        )

    def _settle(self) -> None:
        """Do what follows from all that came in this step."""
        if self.leading is not None and not self.leading.settle(self.now):
            self.follow(self.term, None)
        if self.ballot is not None and self.ballot.won(self.log.config.voters):
            self._won(self.ballot)
        write = None if self.mute else self.writes.flush(self.log.last)
        if write is not None:
            self.out.append(write)
        if self.answer_due:
            self._answer_leader()
        self.give()
        self.snapshots.want()
        part = self.part
        shown = api.RoleChanged(part, self.term, self.leader.name if self.leader is not None else "")
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
        """Its part, as `RoleChanged` tells it."""
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
        return not self.log.last and not self.term

    def _may_lead(self) -> bool:
        """Whether it may ask for votes: it has one, or has one until it is agreed that it has not.

        One that wrote its own removal may be the only one that has it, and nobody else can be elected then.
        """
        if self.mute:
            return False
        return any(self.me in found.voters for found in self.log.configs_from(self.commit))

    def _wants_in(self) -> bool:
        """Whether it never was a member, as far as its log tells: one that was removed asks nobody."""
        if self.mute or self.me in self.log.config.lives:
            return False
        return not any(self.me in found.lives for found in self.log.configs)

    def founded(self) -> bool:
        """Whether commands may come: not while they would rest on the founder's disk alone."""
        return (
            self.commands_seen
            or self.snapshots.index > 0
            or any(2 * len(found.voters) > len(self.stated) for found in self.log.configs)
        )

    def log_clock(self) -> int:
        """Return the record's clock as of the last entry."""
        if self.log.entries:
            return self.log.entries[-1].clock_ms
        return self.snapshots.head.clock_ms if self.snapshots.head is not None else 0

    def state(self) -> MemberStatus:
        """Return what there is to see."""
        leading = self.leading
        return MemberStatus(
            part=self.part,
            term=self.term,
            leader=self.leader.name if self.leader is not None else "",
            commit=self.commit,
            given=self.given,
            last=self.log.last,
            durable=self.writes.durable,
            base=self.log.base,
            log_bytes=self.log.size,
            waiting=len(leading.waiting) if leading else 0,
            reads=len(leading.reads) if leading else 0,
            members=self.log.config.members,
            match={life.name: peer.match for life, peer in leading.peers.items()} if leading else {},
            counts=dict(self.counts),
        )

    # What leaves

    def send(self, to: Incarnation, message: pb.Message) -> None:
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

    def set_hard(self) -> None:
        if not self.mute:
            voted = self.voted or Incarnation("", b"")
            self.writes.set_hard(pb.HardState(term=self.term, voted_name=voted.name, voted_life=voted.life))

    def _nobody(self) -> int:
        known = self.leader is not None and self.leader != self.me
        return pb.Result.NOT_LEADER if known else pb.Result.NO_LEADER

    def _refuse(self, token: int) -> None:
        name = self.leader.name if self.leader is not None else ""
        self.out.append(
            api.ProposalOutcome(token, self._nobody(), leader=name, again_ms=int(self.timing.election_ms))
        )

    def refuse_read(self, token: int, refusal: int) -> None:
        """Tell a reader that it can't be served here and now."""
        name = self.leader.name if self.leader is not None and self.leader != self.me else ""
        self.out.append(api.ReadOutcome(token, refusal=refusal, leader=name))

    def give(self) -> None:
        """Hand over entries that are agreed."""
        upto = min(self.commit, self.log.last)
        while self.given < upto:
            entries = self.log.slice(self.given + 1, min(self.given + APPLY_MOST, upto))
            self.commands_seen |= any(entry.WhichOneof("what") == "command" for entry in entries)
            self.given = entries[-1].index
            self.out.append(api.Apply(tuple(entries)))

    # Terms and votes

    def draw(self) -> None:
        """Draw anew how long to wait for a leader's word."""
        self.patience = self.timing.election_ms * (1.0 + self.random.random())
        self.ask_at = self.now + self.patience

    def hears(self) -> bool:
        """Whether it leads, or heard who leads, so lately that nobody else should."""
        return self.leading is not None or (
            self.leader is not None and self.now < self.heard + self.timing.election_ms
        )

    def follow(self, term: int, leader: Incarnation | None) -> None:
        """Be no leader; take a later term if there is one."""
        leading, self.leading, self.ballot = self.leading, None, None
        if term > self.term:
            self.term, self.voted = term, None
            self.set_hard()
        if leader is None or leader != self.leader or leading is not None:
            self.agreed, self.round, self.told = self.commit, 0, 0
            self.snapshots.incoming.drop()
        self.leader = leader
        if leading is not None:
            self.draw()
            for _, token in leading.waiting:
                self.out.append(
                    api.ProposalOutcome(
                        token,
                        pb.Result.UNKNOWN,
                        leader=leader.name if leader else "",
                        again_ms=int(self.timing.election_ms),
                    )
                )
            for token in leading.reads.drop():
                self.refuse_read(token, self._nobody())

    def _won(self, ballot: Ballot) -> None:
        if ballot.before:
            election.ask(self)
            return
        self.ballot, self.leader = None, self.me
        self.leading = Leader(self, self.now)
        self.leading.tick(self.now)
        self.leading.settle(self.now)

    # Messages

    def _received(self, sender: Incarnation, message: pb.Message) -> None:
        term, body = message.term, message.WhichOneof("body")
        if sender == self.me or body is None or term > TERM_MOST:
            self.counts["malformed"] += 1
            return
        match body:
            case "vote":
                election.asked(self, sender, term, message.vote)
            case "vote_answer":
                election.answered(self, sender, term, message.vote_answer)
            case "append" | "piece":
                if self._leads(sender, term, body == "append"):
                    if body == "append":
                        self._append(message.append)
                    else:
                        self.snapshots.piece(message.piece)
            case "append_answer" | "piece_answer":
                leading = self.leading
                if (
                    leading is None
                    or sender not in leading.peers
                    or (term > self.term and leading.peers[sender].leaves_at)
                ):
                    self.counts["late" if sender in self.log.config.lives else "stranger"] += 1
                elif term > self.term:
                    self.follow(term, None)
                elif term == self.term and body == "append_answer":
                    leading.answered(sender, message.append_answer, self.now)
                elif term == self.term:
                    leading.piece_answered(sender, message.piece_answer, self.now)
            case "take_over":
                if (
                    term == self.term
                    and sender == self.leader
                    and self._may_lead()
                    and self.snapshots.installing is None
                    and not self._shy()
                ):
                    election.ask(self, handed_over=True)
            case "join":
                self._join(sender, message.join)
            case "join_answer":
                word = message.join_answer
                if self._wants_in():
                    self.joining.answered(sender, word, self.now)
                elif word.word == pb.JoinAnswer.REFUSED and word.leader == sender.name and not self.hears():
                    self.ballot = None  # it was removed, as a leader says; should that be late, it asks again
                    self.removed_until = self.now + REMOVED_TIMEOUTS * self.timing.election_ms
                    self.removed_as_of = self.log.config.index

    def _leads(self, sender: Incarnation, term: int, append: bool) -> bool:
        """Take a leader's message as one; False: it is late, or a stranger's while another is heard."""
        if term < self.term:
            if append and not self.mute:
                self.send(sender, pb.Message(term=self.term, append_answer=pb.AppendAnswer()))
            return False
        if sender not in self.log.config.lives and sender != self.leader and self.hears():
            self.counts["stranger"] += 1
            return False
        if term == self.term and self.leader not in (None, sender):
            self.counts["malformed"] += 1  # a term has one leader
            return False
        if term > self.term or self.leader != sender:
            self.follow(term, sender)
        self.heard = self.now
        return True

    def _append(self, append: pb.Append) -> None:
        log, before = self.log, append.before_index
        entries = list(append.entries)
        terms = [append.before_term, *(entry.term for entry in entries), self.term]
        places = list(range(before + 1, before + 1 + len(entries)))
        if (
            bool(before) != bool(append.before_term)
            or terms != sorted(terms)
            or [entry.index for entry in entries] != places
        ):
            self.counts["malformed"] += 1
            return
        newer = append.round > self.round
        self.round = max(self.round, append.round)
        if self.snapshots.installing is not None:
            self.answer_due = True
            return
        if before > log.last or (before >= log.base and log.term(before) != append.before_term):
            index = log.back_to(append.before_term, before - 1)
            self.send(
                self.leader,
                pb.Message(
                    term=self.term,
                    append_answer=pb.AppendAnswer(index=index, round=self.round, cannot_write=self.mute),
                ),
            )
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

    def _join(self, sender: Incarnation, join: pb.Join) -> None:
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
        self.set_hard()
        self.add([pb.Entry(term=1, index=1, members=pb.Members(members=[me]))])
        self.ask_at = self.now

    # The disk

    def _written(self, number: int) -> None:
        if self.mute:
            return
        self.out += self.writes.written(number)
        self.wrote = self.now
        if self.ballot is not None and not self.ballot.before and self.ballot.write <= number:
            self.ballot.granted.add(self.me)
        self.snapshots.written(number)
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
        self.snapshots.failed()
        if self.leading is not None or self.ballot is not None:
            self.follow(self.term, None)

    def _speak_again(self, durable: DurableState) -> None:
        """Go on from what the folder holds; what was promised, and the folder lacks, is written first."""
        self.writes.failed()
        disk, snapshots = Log(durable.head, durable.entries), self.snapshots
        if durable.head is not None and durable.head.index > snapshots.index:
            snapshots.adopt(durable.head, durable.snapshot, disk)
        self.mute = False
        same = max(disk.base, self.log.base)
        if disk.term(same) is None or disk.term(same) != self.log.term(same):
            self.log.compact(snapshots.index)  # the folder's log doesn't reach this one: all goes there anew
            same = self.log.base
            self.writes.durable = same
            snapshots.write(snapshots.head, snapshots.data, same + 1, cut_after=same)
        else:
            while same < min(disk.last, self.log.last) and disk.term(same + 1) == self.log.term(same + 1):
                same += 1
            self.writes.durable = same
            if same < disk.last:
                self.writes.cut_after(same)
        self.writes.entries = self.log.slice(same + 1, self.log.last)
        self.set_hard()
        self.draw()
