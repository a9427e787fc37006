"""What a member does while it leads: entries out, answers in, commits, reads, members, handing over.

No I/O. It lives from the election to the term's end; what waits at that end is answered UNKNOWN where it may
be done all the same.
"""

from collections import deque
from typing import TYPE_CHECKING

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.messages import ChangeMembership, Incarnation, ProposalOutcome, Propose
from fennelwind.raft.progress import PIECES, PROBE, STREAM, Progress
from fennelwind.raft.read_index import Reads
from fennelwind.raft.replicated_state import COMMAND_MOST

if TYPE_CHECKING:
    from fennelwind.raft.member import RaftMember

NEAR = 64  # entries that a joiner may lack when it gets its vote: a step or two of traffic
VOTERS_MOST = 7  # more only make each commit wait for more disks
MEMBERS_MOST = 9  # with those who catch up
LATE_PART = 4.0  # of an election time-out: a round that takes longer came over a slow way
ROUNDS_MOST = 64  # rounds of which it is known when they began; a way that is later than that is cut
LEAVE_TIMEOUTS = 10  # election time-outs for which a removed member is told so


class Leader:
    """The leader's part of the core."""

    def __init__(self, core: "RaftMember", now: float) -> None:
        self.core, self.term = core, core.term
        self.began = now
        self.clock_base = core.log_clock()
        self.clock_at = now  # when an entry was last stamped
        self.peers: dict[Incarnation, Progress] = {}
        self.waiting: deque[tuple[int, int]] = deque()  # index of the entry, token
        self.reads = Reads(core.timing.reads_most)
        self.round = 0
        self.rounds: deque[tuple[int, float]] = deque(maxlen=ROUNDS_MOST)  # when each began
        self.next_beat = now
        self.hand_over_by: float | None = None  # ms: until then nothing is proposed
        self.asked_over: Incarnation | None = None
        self._append(pb.Entry(nothing=True), now)
        self.sync_peers(now)

    # Entries

    def clock(self, now: float) -> int:
        """Return the record's clock: the log's, and what this member's has measured since it led."""
        return max(self.clock_base + int(now - self.began), self.core.log_clock())

    def _append(self, entry: pb.Entry, now: float) -> int:
        core = self.core
        entry.term, entry.index, entry.clock_ms = self.term, core.log.last + 1, self.clock(now)
        self.clock_at = now
        core.add([entry])
        return entry.index

    def propose(self, event: Propose, now: float) -> None:
        """Enter a command, or say why not."""
        timing, core = self.core.timing, self.core
        if event.command.ByteSize() > COMMAND_MOST + 1024:  # its machine's name and numbers beside the body
            core.out.append(ProposalOutcome(event.token, pb.Result.TOO_LARGE))
        elif self.hand_over_by is not None or not core.founded():
            core.out.append(
                ProposalOutcome(event.token, pb.Result.NO_LEADER, again_ms=int(timing.election_ms))
            )
        elif len(self.waiting) >= timing.waiting_most or core.log.size >= 2 * timing.log_most:
            core.out.append(
                ProposalOutcome(event.token, pb.Result.TOO_MANY, again_ms=int(timing.election_ms))
            )
        else:
            self.waiting.append((self._append(pb.Entry(command=event.command), now), event.token))

    def may_change(self) -> bool:
        """Whether the members may change: one at a time, and only once an entry of the own term is agreed."""
        core = self.core
        return (
            core.log.config.index <= core.commit
            and core.log.term(core.commit) == self.term
            and self.hand_over_by is None
        )

    def change(self, event: ChangeMembership, now: float) -> None:
        """Change the members by one, or say why not."""
        core, config = self.core, self.core.log.config
        known = dict(zip(config.lives, config.members.members, strict=True))
        refusal = pb.Result.NONE
        if not self.may_change():
            refusal = pb.Result.TOO_MANY
        elif event.add is not None:
            life = Incarnation(event.add.name, event.add.life)
            if life in known:
                core.out.append(ProposalOutcome(event.token, index=config.index))
                return
            if not life.life or len(known) >= MEMBERS_MOST or self.lives_still(life.name, now):
                refusal = pb.Result.NOT_MEMBER
        elif event.remove not in known or config.voters == (event.remove,):
            refusal = pb.Result.NOT_MEMBER
        if refusal:
            core.out.append(ProposalOutcome(event.token, refusal, again_ms=int(core.timing.election_ms)))
        elif event.add is not None:
            self.waiting.append((self.let_in(event.add, now), event.token))
        else:
            kept = [m for life, m in known.items() if life != event.remove]
            self.waiting.append((self._members(kept, now), event.token))

    def lives_still(self, name: str, now: float) -> bool:
        """Whether a member of this name was heard of late: then nobody else comes under it."""
        return name == self.core.me.name or any(
            life.name == name and now - peer.heard < self.core.timing.election_ms and peer.round
            for life, peer in self.peers.items()
        )

    def let_in(self, member: pb.Member, now: float) -> int:
        """Add a member without a vote, in place of an earlier life of its name; return the entry's index."""
        kept = [m for m in self.core.log.config.members.members if m.name != member.name]
        added = pb.Member(name=member.name, life=member.life, address=member.address)
        return self._members([*kept, added], now)

    def _members(self, members: list[pb.Member], now: float) -> int:
        members = sorted(members, key=lambda m: m.name)
        index = self._append(pb.Entry(members=pb.Members(members=members)), now)
        self.sync_peers(now)
        return index

    def join(self, sender: Incarnation, member: pb.Member, now: float) -> "pb.JoinAnswer.Word":
        """Answer one that asks to be let in."""
        core, words = self.core, pb.JoinAnswer
        if sender in core.log.config.lives:
            return words.LEARNING
        if sender.name not in {*core.stated, *(life.name for life in core.log.config.lives)}:
            return words.REFUSED
        if self.lives_still(sender.name, now) or len(core.log.config.lives) >= MEMBERS_MOST:
            return words.REFUSED
        if not self.may_change():
            return words.WAIT
        self.let_in(member, now)
        return words.LEARNING

    def sync_peers(self, now: float) -> None:
        """Follow the present members; one that was removed is told so for a while."""
        log = self.core.log
        present = [life for life in log.config.lives if life != self.core.me]
        for life in present:
            if life not in self.peers:
                self.peers[life] = Progress(log.last + 1, now)
            self.peers[life].leaves_at = 0
        for life, peer in self.peers.items():
            if life not in present and not peer.leaves_at:
                peer.leaves_at = log.config.index
                peer.leaves_by = now + LEAVE_TIMEOUTS * self.core.timing.election_ms

    # Answers

    def voters(self) -> tuple[Incarnation, ...]:
        """Return those whose disks and words count."""
        return self.core.log.config.voters

    def answered(self, sender: Incarnation, answer: pb.AppendAnswer, now: float) -> None:
        """Take a member's word on entries."""
        peer = self.peers[sender]
        self._heard(peer, answer.round, now)
        peer.cannot_write = answer.cannot_write
        if answer.index > self.core.log.last and answer.took:
            self.core.counts["beyond the log"] += 1
            return
        if answer.cannot_write:
            if peer.way != PIECES:
                peer.way, peer.waits = PROBE, False
                peer.next = max(peer.match, min(answer.index, self.core.log.last)) + 1
                peer.under_way.clear()
        elif answer.took:
            peer.took(answer.index)
        else:
            peer.back(answer.index)

    def _heard(self, peer: Progress, number: int, now: float) -> None:
        """Take note of a word; how long a round took tells what the way bears, as it waits for no disk."""
        number = min(number, self.round)
        if number > peer.round:
            peer.round = number
            began = next((at for one, at in self.rounds if one == number), None)
            if began is not None:
                timing = self.core.timing
                peer.pace(now - began > timing.election_ms / LATE_PART, timing.append_most)
        peer.heard = now

    def piece_answered(self, sender: Incarnation, answer: pb.PieceAnswer, now: float) -> None:
        """Take a member's word on a snapshot's pieces."""
        peer = self.peers[sender]
        self._heard(peer, answer.round, now)
        if peer.way == PIECES and peer.head is not None and answer.index == peer.head.index:
            peer.offset, peer.waits = min(answer.offset, len(peer.data)), False

    # What follows from it

    def tick(self, now: float) -> bool:
        """Do what is due; tell whether it still leads."""
        timing = self.core.timing
        if now >= self.next_beat:
            self.next_beat, self.asked_over = now + timing.heartbeat_ms, None
            if not self.has_majority(now):
                return False
            for peer in self.peers.values():  # lost ones are sent anew; a heartbeat's answer tells earlier
                peer.waits &= now < peer.asked + timing.election_ms
            self.start_round()
            for life in [
                life
                for life, p in self.peers.items()
                if p.leaves_at
                and (now >= p.leaves_by or (p.match >= p.leaves_at and p.commit >= p.leaves_at))
            ]:
                del self.peers[life]
        if self.hand_over_by is not None and now >= self.hand_over_by:
            self.hand_over_by = self.asked_over = None
        if (time_at := self.time_alone_at()) is not None and now >= time_at:
            self._append(pb.Entry(nothing=True), now)
        return True

    def time_alone_at(self) -> float | None:
        """Return when time alone is to be written: something lapses and nobody proposes."""
        due, timing = self.core.due, self.core.timing
        if due is None:
            return None
        at = self.clock_at + timing.clock_ms
        reaches = self.began + (due - self.clock_base)  # when the clock will say so
        if self.core.log_clock() < due and self.core.log.last == self.core.commit:
            at = min(at, reaches)
        return at

    def next_at(self) -> float:
        """Return when `tick` is wanted next."""
        times = (self.next_beat, self.hand_over_by, self.time_alone_at())
        return min(at for at in times if at is not None)

    def has_majority(self, now: float) -> bool:
        """Whether a majority's word came within an election time-out."""
        voters = self.voters()
        since = now - self.core.timing.election_ms
        heard = sum(life == self.core.me or self.peers[life].heard > since for life in voters)
        return 2 * heard > len(voters)

    def _agreed(self, own: int, others: dict[Incarnation, int]) -> int:
        """Return what more than half of the voters have reached."""
        voters = self.voters()
        reached = sorted(own if life == self.core.me else others[life] for life in voters)
        return reached[(len(reached) - 1) // 2] if reached else 0

    def committed(self) -> int:
        """Return up to where entries are agreed: on more than half of the disks, the last of this term."""
        core = self.core
        index = self._agreed(core.writes.durable, {life: p.match for life, p in self.peers.items()})
        return index if index > core.commit and core.log.term(index) == self.term else core.commit

    def start_round(self) -> None:
        """Ask all members for their word anew."""
        self.round += 1
        self.rounds.append((self.round, self.core.now))
        for life, peer in self.peers.items():
            self._send_entries(life, peer, True)

    def settle(self, now: float) -> bool:
        """Send what there is to send, answer what can be answered; tell whether it still leads."""
        core = self.core
        commit = self.committed()
        if commit > core.commit:
            core.commit = commit
            core.give()
            while self.waiting and self.waiting[0][0] <= commit:
                index, token = self.waiting.popleft()
                core.out.append(ProposalOutcome(token, index=index))
            if core.me not in core.log.config.lives and core.log.config.index <= commit:
                self.start_round()  # the others learn that it is agreed
                self._ask_over(now)
                return False
        config = core.log.config
        if len(config.voters) < min(len(config.lives), VOTERS_MOST) and self.may_change():
            self._promote(now)
        if len(self.reads):
            self._serve_reads()
        for life, peer in self.peers.items():
            self._send_entries(life, peer, False)
        if self.hand_over_by is not None:
            self._ask_over(now)
        return True

    def _promote(self, now: float) -> None:
        members = list(self.core.log.config.members.members)
        for place, member in enumerate(members):
            peer = self.peers.get(Incarnation(member.name, member.life))
            if member.votes or peer is None or peer.cannot_write or peer.way != STREAM:
                continue
            if peer.match + NEAR >= self.core.log.last and now - peer.heard < self.core.timing.election_ms:
                members[place] = pb.Member(
                    name=member.name, life=member.life, address=member.address, votes=True
                )
                self._members(members, now)
                return

    # Reads

    def read(self, token: int) -> None:
        """Let somebody read once a majority has said again that this member leads."""
        if not self.reads.take(token):
            self.core.refuse_read(token, pb.Result.TOO_MANY)

    def _serve_reads(self) -> None:
        core, reads = self.core, self.reads
        if core.log.term(core.commit) != self.term:
            return  # what earlier leaders agreed on isn't known yet
        confirmed = self._agreed(self.round, {life: p.round for life, p in self.peers.items()})
        reads.place(core.commit, self.round + 1)
        if reads.wants(self.round) and confirmed >= self.round:
            self.start_round()
            confirmed = self._agreed(self.round, {life: p.round for life, p in self.peers.items()})
        core.out += reads.served(confirmed)

    # Messages

    def _send_entries(self, life: Incarnation, peer: Progress, beat: bool) -> None:
        """Send a member what it lacks, within the bounds; with `beat` a message goes in any case."""
        core, timing = self.core, self.core.timing
        while True:
            if peer.way != PIECES and core.log.term(peer.next - 1) is None:
                if core.snapshots.index < peer.next - 1:
                    return  # can't be: what is not held is in the snapshot
                peer.send_pieces(core.snapshots.head, core.snapshots.data)
            if peer.way == PIECES:
                self._send_piece(life, peer, beat)
                return
            entries: list[pb.Entry] = []
            most = min(peer.most, timing.append_most)
            free = (
                not peer.waits
                if peer.way == PROBE
                else len(peer.under_way) < max(1, timing.under_way_most * most // timing.append_most)
            )
            if peer.cannot_write and not beat:
                free = False
            if free and peer.next <= core.log.last:
                entries = core.log.batch(peer.next, core.log.last, most)
            if not entries and not beat:
                return
            before = peer.next - 1
            core.send(
                life,
                pb.Message(
                    term=self.term,
                    append=pb.Append(
                        before_index=before,
                        before_term=core.log.term(before),
                        commit=core.commit,
                        round=self.round,
                        entries=entries,
                    ),
                ),
            )
            peer.commit, beat = core.commit, False
            if peer.way == PROBE:
                if entries:
                    peer.waits, peer.asked = True, core.now
                return
            if entries:
                peer.next = entries[-1].index + 1
                peer.under_way.append(entries[-1].index)

    def _send_piece(self, life: Incarnation, peer: Progress, beat: bool) -> None:
        if peer.head is None or (peer.waits and not beat):
            return
        if beat:  # it has to hear its leader, whatever becomes of the pieces
            self.core.send(life, pb.Message(term=self.term, append=pb.Append(round=self.round)))
        if peer.waits or peer.cannot_write:
            return
        data = peer.data[peer.offset : peer.offset + min(self.core.timing.piece_most, peer.most)]
        peer.waits, peer.asked = True, self.core.now
        self.core.send(
            life,
            pb.Message(
                term=self.term,
                piece=pb.Piece(head=peer.head, offset=peer.offset, data=data, round=self.round),
            ),
        )

    # Handing over

    def hand_over(self, now: float) -> None:
        """Let another lead: nothing more is proposed until it does, or until it didn't in time."""
        if self.hand_over_by is None:
            self.hand_over_by = now + self.core.timing.election_ms

    def _ask_over(self, now: float) -> None:
        """Ask the one that lacks least to ask for votes, once it lacks nothing."""
        life = self.heir(now)
        if life is not None and life != self.asked_over and self.peers[life].match == self.core.log.last:
            self.asked_over = life
            self.core.send(life, pb.Message(term=self.term, take_over=pb.TakeOver()))

    def heir(self, now: float) -> Incarnation | None:
        """Return the voter that is best to lead next; None: nobody is."""
        since = now - self.core.timing.election_ms
        fit = [
            life
            for life in self.voters()
            if life != self.core.me and self.peers[life].heard > since and not self.peers[life].cannot_write
        ]
        return max(fit, key=lambda life: self.peers[life].match, default=None)
