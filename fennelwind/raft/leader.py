"""What a member does while it leads: entries out, answers in, commits, reads, members, handing over.

No I/O. It lives from the election to the term's end; what waits at that end is answered UNKNOWN where it may
be done all the same.
"""

from collections import deque
from typing import TYPE_CHECKING

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.messages import ChangeMembership, Incarnation, ProposalOutcome, Propose
from fennelwind.raft.progress import PIECES, PROBE, STREAM, Progress
from fennelwind.raft.read_index import ReadIndexQueue
from fennelwind.raft.replicated_state import MAX_COMMAND_BYTES

if TYPE_CHECKING:
    from fennelwind.raft.member import RaftMember

PROMOTION_LAG_ENTRIES = 64  # entries that a joiner may lack when it gets its vote: a step or two of traffic
MAX_VOTERS = 7  # more only make each commit wait for more disks
MAX_MEMBERS = 9  # with those who catch up
SLOW_ROUND_DIVISOR = 4.0  # of an election time-out: a round that takes longer counts as slow
MAX_TRACKED_ROUNDS = (
    64  # rounds whose start is remembered; an answer to an older one does not adapt the message size
)
REMOVAL_NOTICE_TIMEOUTS = 10  # election time-outs for which a removed member is told so


class Leader:
    """The leader's part of the member."""

    def __init__(self, member: "RaftMember", now: float) -> None:
        self.member, self.term = member, member.term
        self.started_ms = now
        self.clock_base_ms = member.last_entry_clock_ms()
        self.last_entry_ms = now  # when an entry was last stamped
        self.peers: dict[Incarnation, Progress] = {}
        self.pending_proposals: deque[tuple[int, int]] = deque()  # entry's index, token of its proposal
        self.pending_reads = ReadIndexQueue(member.timing.max_pending_reads)
        self.round = 0
        self.round_starts: deque[tuple[int, float]] = deque(maxlen=MAX_TRACKED_ROUNDS)  # when each began
        self.next_heartbeat_ms = now
        self.transfer_deadline_ms: float | None = None  # ms: until then nothing is proposed
        self.transfer_target: Incarnation | None = None
        self._append(pb.Entry(nothing=True), now)
        self.sync_peers(now)

    # Entries

    def clock_ms(self, now: float) -> int:
        """Return the log's clock.

        Its value at the start of this term and what this member has measured since.
        """
        return max(self.clock_base_ms + int(now - self.started_ms), self.member.last_entry_clock_ms())

    def _append(self, entry: pb.Entry, now: float) -> int:
        member = self.member
        entry.term, entry.index, entry.clock_ms = self.term, member.log.last_index + 1, self.clock_ms(now)
        self.last_entry_ms = now
        member.append_entries([entry])
        return entry.index

    def propose(self, event: Propose, now: float) -> None:
        """Append a command to the log, or reject it."""
        timing, member = self.member.timing, self.member
        if (
            event.command.ByteSize() > MAX_COMMAND_BYTES + 1024
        ):  # its machine's name and numbers beside the body
            member.actions.append(ProposalOutcome(event.token, pb.Result.TOO_LARGE))
        elif self.transfer_deadline_ms is not None or not member.accepts_commands():
            member.actions.append(
                ProposalOutcome(
                    event.token, pb.Result.NO_LEADER, retry_after_ms=int(timing.election_timeout_ms)
                )
            )
        elif (
            len(self.pending_proposals) >= timing.max_pending_proposals
            or member.log.size_bytes >= 2 * timing.max_log_bytes
        ):
            member.actions.append(
                ProposalOutcome(
                    event.token, pb.Result.TOO_MANY, retry_after_ms=int(timing.election_timeout_ms)
                )
            )
        else:
            self.pending_proposals.append((self._append(pb.Entry(command=event.command), now), event.token))

    def can_change_membership(self) -> bool:
        """Whether the members may change.

        One at a time, and only once an entry of the own term is committed.
        """
        member = self.member
        return (
            member.log.configuration.index <= member.commit_index
            and member.log.term(member.commit_index) == self.term
            and self.transfer_deadline_ms is None
        )

    def change_membership(self, event: ChangeMembership, now: float) -> None:
        """Add or remove one member, or reject the change."""
        member, configuration = self.member, self.member.log.configuration
        known = dict(zip(configuration.incarnations, configuration.members.members, strict=True))
        refusal = pb.Result.NONE
        if not self.can_change_membership():
            refusal = pb.Result.TOO_MANY
        elif event.add is not None:
            life = Incarnation(event.add.name, event.add.life)
            if life in known:
                member.actions.append(ProposalOutcome(event.token, index=configuration.index))
                return
            if not life.id or len(known) >= MAX_MEMBERS or self.is_name_alive(life.name, now):
                refusal = pb.Result.NOT_MEMBER
        elif event.remove not in known or configuration.voters == (event.remove,):
            refusal = pb.Result.NOT_MEMBER
        if refusal:
            member.actions.append(
                ProposalOutcome(event.token, refusal, retry_after_ms=int(member.timing.election_timeout_ms))
            )
        elif event.add is not None:
            self.pending_proposals.append((self.add_learner(event.add, now), event.token))
        else:
            kept = [m for life, m in known.items() if life != event.remove]
            self.pending_proposals.append((self._append_members(kept, now), event.token))

    def is_name_alive(self, name: str, now: float) -> bool:
        """Whether a member of this name was heard of late: then nobody else comes under it."""
        return name == self.member.me.name or any(
            life.name == name
            and now - peer.last_response_ms < self.member.timing.election_timeout_ms
            and peer.acknowledged_round
            for life, peer in self.peers.items()
        )

    def add_learner(self, joiner: pb.Member, now: float) -> int:
        """Add a member without a vote, in place of an earlier life of its name; return the entry's index."""
        kept = [m for m in self.member.log.configuration.members.members if m.name != joiner.name]
        added = pb.Member(name=joiner.name, life=joiner.life, address=joiner.address)
        return self._append_members([*kept, added], now)

    def _append_members(self, members: list[pb.Member], now: float) -> int:
        members = sorted(members, key=lambda m: m.name)
        index = self._append(pb.Entry(members=pb.Members(members=members)), now)
        self.sync_peers(now)
        return index

    def handle_join(self, sender: Incarnation, joiner: pb.Member, now: float) -> "pb.JoinAnswer.Word":
        """Answer a member that asks to join."""
        member, words = self.member, pb.JoinAnswer
        if sender in member.log.configuration.incarnations:
            return words.LEARNING
        if sender.name not in {
            *member.configured_members,
            *(life.name for life in member.log.configuration.incarnations),
        }:
            return words.REFUSED
        if self.is_name_alive(sender.name, now) or len(member.log.configuration.incarnations) >= MAX_MEMBERS:
            return words.REFUSED
        if not self.can_change_membership():
            return words.WAIT
        self.add_learner(joiner, now)
        return words.LEARNING

    def sync_peers(self, now: float) -> None:
        """Track the configuration's members; a removed one is still sent entries for a while, to learn it."""
        log = self.member.log
        present = [life for life in log.configuration.incarnations if life != self.member.me]
        for life in present:
            if life not in self.peers:
                self.peers[life] = Progress(log.last_index + 1, now)
            self.peers[life].removal_index = 0
        for life, peer in self.peers.items():
            if life not in present and not peer.removal_index:
                peer.removal_index = log.configuration.index
                peer.removal_notice_until_ms = (
                    now + REMOVAL_NOTICE_TIMEOUTS * self.member.timing.election_timeout_ms
                )

    # Answers

    def voters(self) -> tuple[Incarnation, ...]:
        """Return those whose disks and words count."""
        return self.member.log.configuration.voters

    def handle_append_response(self, sender: Incarnation, answer: pb.AppendAnswer, now: float) -> None:
        """Take a member's word on entries."""
        peer = self.peers[sender]
        self._record_response(peer, answer.round, now)
        peer.cannot_write = answer.cannot_write
        if answer.index > self.member.log.last_index and answer.took:
            self.member.counters["beyond the log"] += 1
            return
        if answer.cannot_write:
            if peer.mode != PIECES:
                peer.mode, peer.is_awaiting_response = PROBE, False
                peer.next_index = max(peer.match_index, min(answer.index, self.member.log.last_index)) + 1
                peer.in_flight.clear()
        elif answer.took:
            peer.record_match(answer.index)
        else:
            peer.backtrack(answer.index)

    def _record_response(self, peer: Progress, number: int, now: float) -> None:
        """Note an answer. The round-trip time sets the message size: answers to rounds wait for no disk."""
        number = min(number, self.round)
        if number > peer.acknowledged_round:
            peer.acknowledged_round = number
            began = next((at for one, at in self.round_starts if one == number), None)
            if began is not None:
                timing = self.member.timing
                peer.adapt_message_size(
                    now - began > timing.election_timeout_ms / SLOW_ROUND_DIVISOR, timing.max_append_bytes
                )
        peer.last_response_ms = now

    def handle_chunk_response(self, sender: Incarnation, answer: pb.PieceAnswer, now: float) -> None:
        """Take a member's word on a snapshot's pieces."""
        peer = self.peers[sender]
        self._record_response(peer, answer.round, now)
        if (
            peer.mode == PIECES
            and peer.snapshot_head is not None
            and answer.index == peer.snapshot_head.index
        ):
            peer.snapshot_offset, peer.is_awaiting_response = (
                min(answer.offset, len(peer.snapshot_data)),
                False,
            )

    # What follows from it

    def tick(self, now: float) -> bool:
        """Do what is due; tell whether it still leads."""
        timing = self.member.timing
        if now >= self.next_heartbeat_ms:
            self.next_heartbeat_ms, self.transfer_target = now + timing.heartbeat_ms, None
            if not self.has_quorum(now):
                return False
            for peer in self.peers.values():  # a lost one is sent again
                peer.is_awaiting_response &= now < peer.sent_ms + timing.election_timeout_ms
            self.start_round()
            for life in [
                life
                for life, p in self.peers.items()
                if p.removal_index
                and (
                    now >= p.removal_notice_until_ms
                    or (p.match_index >= p.removal_index and p.sent_commit_index >= p.removal_index)
                )
            ]:
                del self.peers[life]
        if self.transfer_deadline_ms is not None and now >= self.transfer_deadline_ms:
            self.transfer_deadline_ms = self.transfer_target = None
        if (time_at := self.clock_entry_due_ms()) is not None and now >= time_at:
            self._append(pb.Entry(nothing=True), now)
        return True

    def clock_entry_due_ms(self) -> float | None:
        """Return when time alone is to be written: something lapses and nobody proposes."""
        due, timing = self.member.next_expiry_clock_ms, self.member.timing
        if due is None:
            return None
        at = self.last_entry_ms + timing.clock_entry_interval_ms
        reaches = self.started_ms + (due - self.clock_base_ms)  # when the clock will say so
        if self.member.last_entry_clock_ms() < due and self.member.log.last_index == self.member.commit_index:
            at = min(at, reaches)
        return at

    def next_deadline_ms(self) -> float:
        """Return when `tick` is wanted next."""
        times = (self.next_heartbeat_ms, self.transfer_deadline_ms, self.clock_entry_due_ms())
        return min(at for at in times if at is not None)

    def has_quorum(self, now: float) -> bool:
        """Whether a majority's word came within an election time-out."""
        voters = self.voters()
        since = now - self.member.timing.election_timeout_ms
        heard = sum(life == self.member.me or self.peers[life].last_response_ms > since for life in voters)
        return 2 * heard > len(voters)

    def _quorum_value(self, own: int, others: dict[Incarnation, int]) -> int:
        """Return what more than half of the voters have reached."""
        voters = self.voters()
        reached = sorted(own if life == self.member.me else others[life] for life in voters)
        return reached[(len(reached) - 1) // 2] if reached else 0

    def quorum_commit_index(self) -> int:
        """Return the commit index: the highest index on a majority's disks, if its entry is of this term."""
        member = self.member
        index = self._quorum_value(
            member.pending_writes.durable_index, {life: p.match_index for life, p in self.peers.items()}
        )
        return (
            index
            if index > member.commit_index and member.log.term(index) == self.term
            else member.commit_index
        )

    def start_round(self) -> None:
        """Begin a heartbeat round, which confirms leadership once a majority has answered it."""
        self.round += 1
        self.round_starts.append((self.round, self.member.now_ms))
        for life, peer in self.peers.items():
            self._send_entries(life, peer, True)

    def finish_step(self, now: float) -> bool:
        """Send what there is to send, answer what can be answered; tell whether it still leads."""
        member = self.member
        commit = self.quorum_commit_index()
        if commit > member.commit_index:
            member.commit_index = commit
            member.deliver_committed()
            while self.pending_proposals and self.pending_proposals[0][0] <= commit:
                index, token = self.pending_proposals.popleft()
                member.actions.append(ProposalOutcome(token, index=index))
            if (
                member.me not in member.log.configuration.incarnations
                and member.log.configuration.index <= commit
            ):
                self.start_round()  # the others learn that it is agreed
                self._send_timeout_now(now)
                return False
        configuration = member.log.configuration
        if (
            len(configuration.voters) < min(len(configuration.incarnations), MAX_VOTERS)
            and self.can_change_membership()
        ):
            self._promote_learner(now)
        if len(self.pending_reads):
            self._serve_reads()
        for life, peer in self.peers.items():
            self._send_entries(life, peer, False)
        if self.transfer_deadline_ms is not None:
            self._send_timeout_now(now)
        return True

    def _promote_learner(self, now: float) -> None:
        members = list(self.member.log.configuration.members.members)
        for place, candidate in enumerate(members):
            peer = self.peers.get(Incarnation(candidate.name, candidate.life))
            if candidate.votes or peer is None or peer.cannot_write or peer.mode != STREAM:
                continue
            if (
                peer.match_index + PROMOTION_LAG_ENTRIES >= self.member.log.last_index
                and now - peer.last_response_ms < self.member.timing.election_timeout_ms
            ):
                members[place] = pb.Member(
                    name=candidate.name, life=candidate.life, address=candidate.address, votes=True
                )
                self._append_members(members, now)
                return

    # Reads

    def read(self, token: int) -> None:
        """Queue a linearizable read until a majority has confirmed this leader."""
        if not self.pending_reads.add(token):
            self.member.reject_read(token, pb.Result.TOO_MANY)

    def _serve_reads(self) -> None:
        member, reads = self.member, self.pending_reads
        if member.log.term(member.commit_index) != self.term:
            return  # what earlier leaders committed isn't known yet
        confirmed = self._quorum_value(
            self.round, {life: p.acknowledged_round for life, p in self.peers.items()}
        )
        reads.assign_index(member.commit_index, self.round + 1)
        if reads.needs_round(self.round) and confirmed >= self.round:
            self.start_round()
            confirmed = self._quorum_value(
                self.round, {life: p.acknowledged_round for life, p in self.peers.items()}
            )
        member.actions += reads.pop_confirmed(confirmed)

    # Messages

    def _send_entries(self, life: Incarnation, peer: Progress, beat: bool) -> None:
        """Send a member what it lacks, within the bounds; with `beat` (a heartbeat) a message in any case."""
        member, timing = self.member, self.member.timing
        while True:
            if peer.mode != PIECES and member.log.term(peer.next_index - 1) is None:
                if member.snapshots.index < peer.next_index - 1:
                    return  # can't be: what is not held is in the snapshot
                peer.start_snapshot(member.snapshots.head, member.snapshots.data)
            if peer.mode == PIECES:
                self._send_snapshot_chunk(life, peer, beat)
                return
            entries: list[pb.Entry] = []
            most = min(peer.max_message_bytes, timing.max_append_bytes)
            free = (
                not peer.is_awaiting_response
                if peer.mode == PROBE
                else len(peer.in_flight)
                < max(1, timing.max_in_flight_appends * most // timing.max_append_bytes)
            )
            if peer.cannot_write and not beat:
                free = False
            if free and peer.next_index <= member.log.last_index:
                entries = member.log.batch(peer.next_index, member.log.last_index, most)
            if not entries and not beat:
                return
            before = peer.next_index - 1
            member.send(
                life,
                pb.Message(
                    term=self.term,
                    append=pb.Append(
                        before_index=before,
                        before_term=member.log.term(before),
                        commit=member.commit_index,
                        round=self.round,
                        entries=entries,
                    ),
                ),
            )
            peer.sent_commit_index, beat = member.commit_index, False
            if peer.mode == PROBE:
                if entries:
                    peer.is_awaiting_response, peer.sent_ms = True, member.now_ms
                return
            if entries:
                peer.next_index = entries[-1].index + 1
                peer.in_flight.append(entries[-1].index)

    def _send_snapshot_chunk(self, life: Incarnation, peer: Progress, beat: bool) -> None:
        if peer.snapshot_head is None or (peer.is_awaiting_response and not beat):
            return
        if beat:  # it has to hear its leader, whatever becomes of the pieces
            self.member.send(life, pb.Message(term=self.term, append=pb.Append(round=self.round)))
        if peer.is_awaiting_response or peer.cannot_write:
            return
        data = peer.snapshot_data[
            peer.snapshot_offset : peer.snapshot_offset
            + min(self.member.timing.max_chunk_bytes, peer.max_message_bytes)
        ]
        peer.is_awaiting_response, peer.sent_ms = True, self.member.now_ms
        self.member.send(
            life,
            pb.Message(
                term=self.term,
                piece=pb.Piece(
                    head=peer.snapshot_head, offset=peer.snapshot_offset, data=data, round=self.round
                ),
            ),
        )

    # Handing over

    def start_transfer(self, now: float) -> None:
        """Begin a leadership transfer: nothing is proposed until it succeeds or times out."""
        if self.transfer_deadline_ms is None:
            self.transfer_deadline_ms = now + self.member.timing.election_timeout_ms

    def _send_timeout_now(self, now: float) -> None:
        """Tell the best successor to start an election, once its log is complete."""
        life = self.best_successor(now)
        if (
            life is not None
            and life != self.transfer_target
            and self.peers[life].match_index == self.member.log.last_index
        ):
            self.transfer_target = life
            self.member.send(life, pb.Message(term=self.term, take_over=pb.TakeOver()))

    def best_successor(self, now: float) -> Incarnation | None:
        """Return the voter that is best to lead next; None: nobody is."""
        since = now - self.member.timing.election_timeout_ms
        fit = [
            life
            for life in self.voters()
            if life != self.member.me
            and self.peers[life].last_response_ms > since
            and not self.peers[life].cannot_write
        ]
        return max(fit, key=lambda life: self.peers[life].match_index, default=None)
