"""The leader's state for one term: replication, commits, reads, membership changes, leadership transfer.

No I/O. A `Leader` object exists while its member leads in one term. Proposals that are still pending when
that leadership ends are answered UNKNOWN, since their entries may still be committed.
"""

from collections import deque
from typing import TYPE_CHECKING

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.messages import ChangeMembership, Incarnation, ProposalOutcome, Propose
from fennelwind.raft.progress import PROBE, SNAPSHOT, STREAM, Progress
from fennelwind.raft.read_index import ReadIndexQueue
from fennelwind.raft.replicated_state import MAX_COMMAND_BYTES

if TYPE_CHECKING:
    from fennelwind.raft.member import RaftMember

# A learner becomes a voter when it lags by at most this many entries: one or two steps of traffic.
PROMOTION_LAG_ENTRIES = 64
MAX_VOTERS = 7  # more voters only make each commit wait for more disks
MAX_MEMBERS = 9  # including learners
SLOW_ROUND_DIVISOR = 4.0  # a round slower than the election timeout divided by this counts as slow
# Rounds whose start time the leader keeps; a response to an older round doesn't adapt the message size.
MAX_TRACKED_ROUNDS = 64
# For this many election timeouts a removed member still gets entries, to receive the one that removes it.
REMOVAL_NOTICE_TIMEOUTS = 10


class Leader:
    """The leader role of a `RaftMember`."""

    def __init__(self, member: "RaftMember", now: float) -> None:
        self.member, self.term = member, member.term
        self.started_ms = now
        self.clock_base_ms = member.last_entry_clock_ms()
        self.last_entry_ms = now  # when the last entry was appended
        self.peers: dict[Incarnation, Progress] = {}
        self.pending_proposals: deque[tuple[int, int]] = deque()  # entry's index, proposal's token
        self.pending_reads = ReadIndexQueue(member.timing.max_pending_reads)
        self.round = 0
        self.round_starts: deque[tuple[int, float]] = deque(maxlen=MAX_TRACKED_ROUNDS)  # round, start in ms
        self.next_heartbeat_ms = now
        self.transfer_deadline_ms: float | None = None  # None, or until when proposals are rejected
        self.transfer_target: Incarnation | None = None
        self._append(pb.Entry(nothing=True), now)
        self.sync_peers(now)

    # Entries

    def clock_ms(self, now: float) -> int:
        """Return the replicated clock: its value at the start of this term plus the time since then."""
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
        # 1024 bytes are for the fields beside the body: the state machine's name and numbers.
        if event.command.ByteSize() > MAX_COMMAND_BYTES + 1024:
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
        """Whether a membership change may begin.

        Changes are made one at a time, and only once an entry of this term is committed.
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
            incarnation = Incarnation(event.add.name, event.add.life)
            if incarnation in known:
                member.actions.append(ProposalOutcome(event.token, index=configuration.index))
                return
            if not incarnation.id or len(known) >= MAX_MEMBERS or self.is_name_alive(incarnation.name, now):
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
            kept = [m for incarnation, m in known.items() if incarnation != event.remove]
            self.pending_proposals.append((self._append_members(kept, now), event.token))

    def is_name_alive(self, name: str, now: float) -> bool:
        """Whether a member of this name responded recently. If so, no other incarnation may replace it."""
        return name == self.member.me.name or any(
            incarnation.name == name
            and now - peer.last_response_ms < self.member.timing.election_timeout_ms
            and peer.acknowledged_round
            for incarnation, peer in self.peers.items()
        )

    def add_learner(self, joiner: pb.Member, now: float) -> int:
        """Add a learner in place of an earlier incarnation of this name; return the log entry's index."""
        kept = [m for m in self.member.log.configuration.members.members if m.name != joiner.name]
        added = pb.Member(name=joiner.name, life=joiner.life, address=joiner.address)
        return self._append_members([*kept, added], now)

    def _append_members(self, members: list[pb.Member], now: float) -> int:
        members = sorted(members, key=lambda m: m.name)
        index = self._append(pb.Entry(members=pb.Members(members=members)), now)
        self.sync_peers(now)
        return index

    def handle_join(self, sender: Incarnation, joiner: pb.Member, now: float) -> "pb.JoinAnswer.Word":
        """Answer a join request; add the member as a learner if that is possible now."""
        member, answers = self.member, pb.JoinAnswer
        if sender in member.log.configuration.incarnations:
            return answers.LEARNING
        if sender.name not in {
            *member.configured_members,
            *(incarnation.name for incarnation in member.log.configuration.incarnations),
        }:
            return answers.REFUSED
        if self.is_name_alive(sender.name, now) or len(member.log.configuration.incarnations) >= MAX_MEMBERS:
            return answers.REFUSED
        if not self.can_change_membership():
            return answers.WAIT
        self.add_learner(joiner, now)
        return answers.LEARNING

    def sync_peers(self, now: float) -> None:
        """Track all members; keep a removed member for a while, so that it learns of its removal."""
        log = self.member.log
        present = [
            incarnation for incarnation in log.configuration.incarnations if incarnation != self.member.me
        ]
        for incarnation in present:
            if incarnation not in self.peers:
                self.peers[incarnation] = Progress(log.last_index + 1, now)
            self.peers[incarnation].removal_index = 0
        for incarnation, peer in self.peers.items():
            if incarnation not in present and not peer.removal_index:
                peer.removal_index = log.configuration.index
                peer.removal_notice_until_ms = (
                    now + REMOVAL_NOTICE_TIMEOUTS * self.member.timing.election_timeout_ms
                )

    # Responses

    def voters(self) -> tuple[Incarnation, ...]:
        """Return the members that count towards a majority."""
        return self.member.log.configuration.voters

    def handle_append_response(self, sender: Incarnation, answer: pb.AppendAnswer, now: float) -> None:
        """Process a response to an append request."""
        peer = self.peers[sender]
        self._record_response(peer, answer.round, now)
        peer.cannot_write = answer.cannot_write
        if answer.index > self.member.log.last_index and answer.took:
            self.member.counters["beyond the log"] += 1
            return
        if answer.cannot_write:
            if peer.mode != SNAPSHOT:
                peer.mode, peer.is_awaiting_response = PROBE, False
                peer.next_index = max(peer.match_index, min(answer.index, self.member.log.last_index)) + 1
                peer.in_flight.clear()
        elif answer.took:
            peer.record_match(answer.index)
        else:
            peer.backtrack(answer.index)

    def _record_response(self, peer: Progress, round_number: int, now: float) -> None:
        """Record a response; adapt the message size to its round-trip time, which includes no disk write."""
        round_number = min(round_number, self.round)
        if round_number > peer.acknowledged_round:
            peer.acknowledged_round = round_number
            started_ms = next((at for number, at in self.round_starts if number == round_number), None)
            if started_ms is not None:
                timing = self.member.timing
                peer.adapt_message_size(
                    now - started_ms > timing.election_timeout_ms / SLOW_ROUND_DIVISOR,
                    timing.max_append_bytes,
                )
        peer.last_response_ms = now

    def handle_chunk_response(self, sender: Incarnation, answer: pb.PieceAnswer, now: float) -> None:
        """Process a response to a snapshot chunk."""
        peer = self.peers[sender]
        self._record_response(peer, answer.round, now)
        if (
            peer.mode == SNAPSHOT
            and peer.snapshot_head is not None
            and answer.index == peer.snapshot_head.index
        ):
            peer.snapshot_offset, peer.is_awaiting_response = (
                min(answer.offset, len(peer.snapshot_data)),
                False,
            )

    # Timers and commits

    def tick(self, now: float) -> bool:
        """Act on expired timers; return whether this member still leads."""
        timing = self.member.timing
        if now >= self.next_heartbeat_ms:
            self.next_heartbeat_ms, self.transfer_target = now + timing.heartbeat_ms, None
            if not self.has_quorum(now):
                return False
            for peer in self.peers.values():  # a lost probe or chunk is sent again
                peer.is_awaiting_response &= now < peer.sent_ms + timing.election_timeout_ms
            self.start_round()
            for incarnation in [
                incarnation
                for incarnation, peer in self.peers.items()
                if peer.removal_index
                and (
                    now >= peer.removal_notice_until_ms
                    or (
                        peer.match_index >= peer.removal_index
                        and peer.sent_commit_index >= peer.removal_index
                    )
                )
            ]:
                del self.peers[incarnation]
        if self.transfer_deadline_ms is not None and now >= self.transfer_deadline_ms:
            self.transfer_deadline_ms = self.transfer_target = None
        if (clock_due_ms := self.clock_entry_due_ms()) is not None and now >= clock_due_ms:
            self._append(pb.Entry(nothing=True), now)
        return True

    def clock_entry_due_ms(self) -> float | None:
        """Return when to append an entry only to advance the clock; None if nothing is going to expire.

        Such an entry is needed if something expires while nobody proposes.
        """
        expiry_ms, timing = self.member.next_expiry_clock_ms, self.member.timing
        if expiry_ms is None:
            return None
        due_ms = self.last_entry_ms + timing.clock_entry_interval_ms
        reached_ms = self.started_ms + (expiry_ms - self.clock_base_ms)  # when the clock reaches the expiry
        if (
            self.member.last_entry_clock_ms() < expiry_ms
            and self.member.log.last_index == self.member.commit_index
        ):
            due_ms = min(due_ms, reached_ms)
        return due_ms

    def next_deadline_ms(self) -> float:
        """Return when `tick` has to be called next."""
        times = (self.next_heartbeat_ms, self.transfer_deadline_ms, self.clock_entry_due_ms())
        return min(at for at in times if at is not None)

    def has_quorum(self, now: float) -> bool:
        """Whether a majority responded within the election timeout."""
        voters = self.voters()
        since = now - self.member.timing.election_timeout_ms
        responsive = sum(
            incarnation == self.member.me or self.peers[incarnation].last_response_ms > since
            for incarnation in voters
        )
        return 2 * responsive > len(voters)

    def _quorum_value(self, own: int, others: dict[Incarnation, int]) -> int:
        """Return the highest value that more than half of the voters have reached."""
        voters = self.voters()
        reached = sorted(
            own if incarnation == self.member.me else others[incarnation] for incarnation in voters
        )
        return reached[(len(reached) - 1) // 2] if reached else 0

    def quorum_commit_index(self) -> int:
        """Return the commit index: the highest index on a majority's disks, if its entry is of this term."""
        member = self.member
        index = self._quorum_value(
            member.pending_writes.durable_index,
            {incarnation: peer.match_index for incarnation, peer in self.peers.items()},
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
        for incarnation, peer in self.peers.items():
            self._send_entries(incarnation, peer, True)

    def finish_step(self, now: float) -> bool:
        """Commit, answer, replicate and serve reads; return whether this member still leads."""
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
                self.start_round()  # tells the others that this leader's removal is committed
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
        for incarnation, peer in self.peers.items():
            self._send_entries(incarnation, peer, False)
        if self.transfer_deadline_ms is not None:
            self._send_timeout_now(now)
        return True

    def _promote_learner(self, now: float) -> None:
        members = list(self.member.log.configuration.members.members)
        for position, candidate in enumerate(members):
            peer = self.peers.get(Incarnation(candidate.name, candidate.life))
            if candidate.votes or peer is None or peer.cannot_write or peer.mode != STREAM:
                continue
            if (
                peer.match_index + PROMOTION_LAG_ENTRIES >= self.member.log.last_index
                and now - peer.last_response_ms < self.member.timing.election_timeout_ms
            ):
                members[position] = pb.Member(
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
            return  # this leader doesn't know yet which entries earlier leaders committed
        confirmed = self._quorum_value(
            self.round, {incarnation: peer.acknowledged_round for incarnation, peer in self.peers.items()}
        )
        reads.assign_index(member.commit_index, self.round + 1)
        if reads.needs_round(self.round) and confirmed >= self.round:
            self.start_round()
            confirmed = self._quorum_value(
                self.round, {incarnation: peer.acknowledged_round for incarnation, peer in self.peers.items()}
            )
        member.actions += reads.pop_confirmed(confirmed)

    # Replication

    def _send_entries(self, incarnation: Incarnation, peer: Progress, is_heartbeat: bool) -> None:
        """Send a peer its missing entries, within the flow limits; send a heartbeat even without entries."""
        member, timing = self.member, self.member.timing
        while True:
            if peer.mode != SNAPSHOT and member.log.term(peer.next_index - 1) is None:
                if member.snapshots.index < peer.next_index - 1:
                    return  # impossible: a snapshot covers all entries that aren't in the log
                peer.start_snapshot(member.snapshots.head, member.snapshots.data)
            if peer.mode == SNAPSHOT:
                self._send_snapshot_chunk(incarnation, peer, is_heartbeat)
                return
            entries: list[pb.Entry] = []
            max_bytes = min(peer.max_message_bytes, timing.max_append_bytes)
            can_send = (
                not peer.is_awaiting_response
                if peer.mode == PROBE
                else len(peer.in_flight)
                < max(1, timing.max_in_flight_appends * max_bytes // timing.max_append_bytes)
            )
            if peer.cannot_write and not is_heartbeat:
                can_send = False
            if can_send and peer.next_index <= member.log.last_index:
                entries = member.log.batch(peer.next_index, member.log.last_index, max_bytes)
            if not entries and not is_heartbeat:
                return
            previous_index = peer.next_index - 1
            member.send(
                incarnation,
                pb.Message(
                    term=self.term,
                    append=pb.Append(
                        before_index=previous_index,
                        before_term=member.log.term(previous_index),
                        commit=member.commit_index,
                        round=self.round,
                        entries=entries,
                    ),
                ),
            )
            peer.sent_commit_index, is_heartbeat = member.commit_index, False
            if peer.mode == PROBE:
                if entries:
                    peer.is_awaiting_response, peer.sent_ms = True, member.now_ms
                return
            if entries:
                peer.next_index = entries[-1].index + 1
                peer.in_flight.append(entries[-1].index)

    def _send_snapshot_chunk(self, incarnation: Incarnation, peer: Progress, is_heartbeat: bool) -> None:
        if peer.snapshot_head is None or (peer.is_awaiting_response and not is_heartbeat):
            return
        if is_heartbeat:  # the peer needs heartbeats, even if chunks are lost or late
            self.member.send(incarnation, pb.Message(term=self.term, append=pb.Append(round=self.round)))
        if peer.is_awaiting_response or peer.cannot_write:
            return
        data = peer.snapshot_data[
            peer.snapshot_offset : peer.snapshot_offset
            + min(self.member.timing.max_chunk_bytes, peer.max_message_bytes)
        ]
        peer.is_awaiting_response, peer.sent_ms = True, self.member.now_ms
        self.member.send(
            incarnation,
            pb.Message(
                term=self.term,
                piece=pb.Piece(
                    head=peer.snapshot_head, offset=peer.snapshot_offset, data=data, round=self.round
                ),
            ),
        )

    # Leadership transfer

    def start_transfer(self, now: float) -> None:
        """Begin a leadership transfer: proposals are rejected until it succeeds or times out."""
        if self.transfer_deadline_ms is None:
            self.transfer_deadline_ms = now + self.member.timing.election_timeout_ms

    def _send_timeout_now(self, now: float) -> None:
        """Tell the best successor to start an election, once the successor's log is complete."""
        successor = self.best_successor(now)
        if (
            successor is not None
            and successor != self.transfer_target
            and self.peers[successor].match_index == self.member.log.last_index
        ):
            self.transfer_target = successor
            self.member.send(successor, pb.Message(term=self.term, take_over=pb.TakeOver()))

    def best_successor(self, now: float) -> Incarnation | None:
        """Return the responsive voter with the most complete log; None if there is none."""
        since = now - self.member.timing.election_timeout_ms
        candidates = [
            incarnation
            for incarnation in self.voters()
            if incarnation != self.member.me
            and self.peers[incarnation].last_response_ms > since
            and not self.peers[incarnation].cannot_write
        ]
        return max(candidates, key=lambda incarnation: self.peers[incarnation].match_index, default=None)
