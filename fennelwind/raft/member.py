"""One member of a Raft group: the consensus core as a deterministic state machine. No I/O, no clock.

The interface is `RaftMember.step(now, events) -> actions`; messages.py defines both. A member holds no
outside resources, so it can be copied, stepped and compared.
"""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft import election
from fennelwind.raft import messages as api
from fennelwind.raft.bootstrap import Bootstrap
from fennelwind.raft.election import Campaign
from fennelwind.raft.leader import Leader
from fennelwind.raft.log import Log
from fennelwind.raft.messages import Action, DurableState, Event, Incarnation, Timing
from fennelwind.raft.pending_writes import PendingWrites
from fennelwind.raft.snapshots import Snapshots

MAX_APPLY_ENTRIES = 1024  # entries in one `Apply`; between two `Apply` actions the host can do other work
# A leader transfers leadership after this many election timeouts in which its own disk makes no progress
# while the other members commit without it.
DISK_STUCK_TIMEOUTS = 10
CAMPAIGN_PAUSE_TIMEOUTS = 3  # election timeouts without campaigns after a leadership transfer
MAX_HELD_MESSAGES = 1024  # messages held until the hard state is durable; more are dropped, like packet loss
REMOVAL_PAUSE_TIMEOUTS = 40  # election timeouts without campaigns after a notice of removal
MAX_TERM = 1 << 62  # a correct member never reaches this term; messages with a larger one are malformed


@dataclass(slots=True, frozen=True)
class MemberStatus:
    """A snapshot of a member's state for monitoring."""

    role: str
    term: int
    leader: str
    commit_index: int
    delivered_index: int  # entries up to this index were passed to the host
    last_index: int
    durable_index: int
    base_index: int
    log_bytes: int
    pending_proposals: int
    pending_reads: int
    members: pb.Members
    match_index: dict[str, int]  # by peer: up to which index its durable log matches; empty if not leader
    counters: dict[str, int]


class RaftMember:
    """One member of the Raft group.

    `configured_members` are the members named in the settings; the settings don't know their incarnations.
    """

    def __init__(
        self, timing: Timing, durable: DurableState, seed: int, configured_members: Iterable[pb.Member] = ()
    ) -> None:
        self.timing, self.me = timing, durable.me
        self.configured_members = {member.name: member for member in configured_members}
        self.random = Random(f"council {seed} {self.me.name} {self.me.id.hex()}")
        self.log = Log(durable.snapshot_head, durable.entries)
        self.term = durable.hard_state.term
        hard_state = durable.hard_state
        self.voted_for = (
            Incarnation(hard_state.voted_name, hard_state.voted_life) if hard_state.voted_name else None
        )
        self.actions: list[Action] = []
        self.snapshots = Snapshots(self, durable)
        self.commit_index = self.delivered_index = self.snapshots.index
        self.leader_match_index = self.commit_index  # up to this index the log matches the current leader's
        self.pending_writes = PendingWrites(self.log.last_index)
        self.leader: Incarnation | None = None
        self.leader_state: Leader | None = None
        self.campaign: Campaign | None = None
        self.bootstrap = Bootstrap(self.me, self.configured_members)
        self.storage_failed = False
        self.now_ms = self.last_leader_contact_ms = self.no_campaign_until_ms = (
            self.removal_pause_until_ms
        ) = -math.inf
        self.removed_configuration_index = 0  # index of the latest configuration at the last removal notice
        self.last_write_progress_ms = -math.inf  # when a write last completed or none was in flight
        self.randomized_election_timeout_ms = 0.0  # a leader silent for this long causes a campaign
        self.election_deadline_ms: float | None = None  # when to check whether the leader is silent
        self.leader_round = 0  # latest heartbeat round received from the leader
        self.reported_index = 0  # highest durable index reported to the leader
        self.append_response_due = False
        self.next_expiry_clock_ms: int | None = None
        self.commands_seen = False
        self.counters: Counter[str] = Counter()  # dropped messages and unusual events by reason
        self._reported_role: api.RoleChanged | None = None
        self._timer_ms: float | None = None

    # Step

    def step(self, now: float, events: Sequence[Event] = ()) -> list[Action]:
        """Process events at the time `now`; return the actions to carry out, in order."""
        if self.now_ms == -math.inf:
            self.now_ms = now
            self.reset_election_timer()
        self.now_ms = max(self.now_ms, now)
        for event in events:
            self._handle_event(event)
        self._tick()
        self._finish_step()
        out, self.actions = self.actions, []
        return out

    def _handle_event(self, event: Event) -> None:
        match event:
            case api.MessageReceived(sender, message):
                self._handle_message(sender, message)
            case api.WriteCompleted(number):
                self._handle_write_completed(number)
            case api.Propose(token):
                if self.leader_state is not None:
                    self.leader_state.propose(event, self.now_ms)
                else:
                    self._reject_proposal(token)
            case api.ReadRequested(token):
                if self.leader_state is not None:
                    self.leader_state.read(token)
                else:
                    self.reject_read(token, self._no_leader_refusal())
            case api.Applied(_, next_expiry_ms):
                self.next_expiry_clock_ms = next_expiry_ms
            case api.Snapshot():
                self.snapshots.save_taken(event)
            case api.ChangeMembership(token):
                if self.leader_state is not None:
                    self.leader_state.change_membership(event, self.now_ms)
                else:
                    self._reject_proposal(token)
            case api.TransferLeadership() | api.DiskSpaceLow():
                self._transfer_leadership()
            case api.WriteFailed():
                self._handle_write_failed()
            case api.StorageRecovered(durable):
                self._recover_storage(durable)
            case api.TimerFired():
                self._timer_ms = None  # the timer may have fired early, so request it again

    def _tick(self) -> None:
        now = self.now_ms
        if self.pending_writes.completed_number == self.pending_writes.last_number:
            self.last_write_progress_ms = now
        if self.leader_state is not None:
            if self._is_disk_stuck():
                self.last_write_progress_ms = now  # if nobody takes over, retry after `DISK_STUCK_TIMEOUTS`
                self.counters["stuck disk"] += 1
                self._transfer_leadership()
            if not self.leader_state.tick(now):
                self.counters["stepped down unheard"] += 1
                self.become_follower(self.term, None)
        elif self.election_deadline_ms is not None and now >= self.election_deadline_ms:
            if (
                self.leader is not None
                and now < self.last_leader_contact_ms + self.randomized_election_timeout_ms
            ):
                self.election_deadline_ms = self.last_leader_contact_ms + self.randomized_election_timeout_ms
            else:
                self.reset_election_timer()
                if (
                    self._can_campaign()
                    and not self._must_not_campaign()
                    and self.pending_writes.is_hard_state_durable
                ):
                    election.start_pre_vote(self)
        if self._should_join():
            joining = self.bootstrap
            if joining.next_request_ms is None or now >= joining.next_request_ms:
                joining.next_request_ms = now + self.timing.election_timeout_ms
                for to, message in joining.join_requests():
                    self.send(to, message)
            if self.is_empty and joining.should_found_group(now, self.timing.election_timeout_ms):
                self._bootstrap_group()

    def _must_not_campaign(self) -> bool:
        """Whether campaigns pause: this member transferred leadership, or was removed and not added again."""
        removed = (
            self.now_ms < self.removal_pause_until_ms
            and self.log.configuration.index <= self.removed_configuration_index
        )
        return removed or self.now_ms < self.no_campaign_until_ms

    def _transfer_leadership(self) -> None:
        self.no_campaign_until_ms = self.now_ms + CAMPAIGN_PAUSE_TIMEOUTS * self.timing.election_timeout_ms
        if self.leader_state is not None:
            self.leader_state.start_transfer(self.now_ms)

    def _is_disk_stuck(self) -> bool:
        """Whether this leader's disk makes no progress while the others commit without it.

        It should transfer leadership then: the log can't be compacted without the disk, and a leader whose
        log is at its size limit rejects all proposals.
        """
        return (
            self.pending_writes.durable_index < self.commit_index
            and self.now_ms - self.last_write_progress_ms
            >= DISK_STUCK_TIMEOUTS * self.timing.election_timeout_ms
        )

    def _finish_step(self) -> None:
        """Act on the combined effect of the step's events: commit, write, reply, report role and timer."""
        if self.leader_state is not None and not self.leader_state.finish_step(self.now_ms):
            self.become_follower(self.term, None)
        if self.campaign is not None and self.campaign.is_won(self.log.configuration.voters):
            self._handle_election_won(self.campaign)
        write = None if self.storage_failed else self.pending_writes.flush(self.log.last_index)
        if write is not None:
            self.actions.append(write)
        if self.append_response_due:
            self._send_append_response()
        self.deliver_committed()
        self.snapshots.request_if_due()
        role = self.role
        current = api.RoleChanged(role, self.term, self.leader.name if self.leader is not None else "")
        if current != self._reported_role:
            self._reported_role = current
            self.actions.append(current)
        deadline_ms = self._next_deadline_ms()
        if deadline_ms is not None and deadline_ms != self._timer_ms:
            self._timer_ms = deadline_ms
            self.actions.append(api.Timer(deadline_ms))

    def _next_deadline_ms(self) -> float | None:
        if self.leader_state is not None:
            return self.leader_state.next_deadline_ms()
        election_ms, join_ms = (
            self.election_deadline_ms if self._can_campaign() else None,
            self.bootstrap.next_request_ms,
        )
        return min(
            (at for at in (election_ms, join_ms if self._should_join() else None) if at is not None),
            default=None,
        )

    # Role and membership

    @property
    def role(self) -> str:
        """The role that `RoleChanged` reports."""
        if self.leader_state is not None:
            return "leader"
        if self.storage_failed and self.me in self.log.configuration.incarnations:
            return "mute"
        if self.campaign is not None:
            return "asking"
        if self._can_campaign():
            return "follower"
        return "learner" if self.me in self.log.configuration.incarnations else "outside"

    @property
    def is_empty(self) -> bool:
        """Whether this member has neither a log nor a term yet."""
        return not self.log.last_index and not self.term

    def _can_campaign(self) -> bool:
        """Whether this member may campaign, as a voter in the committed configuration or a later one.

        A member that wrote its own removal may be the only one holding that entry; nobody else could be
        elected then.
        """
        if self.storage_failed:
            return False
        return any(
            self.me in configuration.voters
            for configuration in self.log.configurations_from(self.commit_index)
        )

    def _should_join(self) -> bool:
        """Whether to ask to join: the log never listed this member. A removed member doesn't ask."""
        if self.storage_failed or self.me in self.log.configuration.incarnations:
            return False
        return not any(self.me in configuration.incarnations for configuration in self.log.configurations)

    def accepts_commands(self) -> bool:
        """Whether to accept commands; False while only the bootstrapping member's disk would hold them."""
        return (
            self.commands_seen
            or self.snapshots.index > 0
            or any(
                2 * len(configuration.voters) > len(self.configured_members)
                for configuration in self.log.configurations
            )
        )

    def last_entry_clock_ms(self) -> int:
        """Return the replicated clock as of the last log entry."""
        if self.log.entries:
            return self.log.entries[-1].clock_ms
        return self.snapshots.head.clock_ms if self.snapshots.head is not None else 0

    def status(self) -> MemberStatus:
        """Return a snapshot of the state for monitoring."""
        leader_state = self.leader_state
        return MemberStatus(
            role=self.role,
            term=self.term,
            leader=self.leader.name if self.leader is not None else "",
            commit_index=self.commit_index,
            delivered_index=self.delivered_index,
            last_index=self.log.last_index,
            durable_index=self.pending_writes.durable_index,
            base_index=self.log.base_index,
            log_bytes=self.log.size_bytes,
            pending_proposals=len(leader_state.pending_proposals) if leader_state else 0,
            pending_reads=len(leader_state.pending_reads) if leader_state else 0,
            members=self.log.configuration.members,
            match_index={
                incarnation.name: peer.match_index for incarnation, peer in leader_state.peers.items()
            }
            if leader_state
            else {},
            counters=dict(self.counters),
        )

    # Output

    def send(self, to: Incarnation, message: pb.Message) -> None:
        """Send a message once the last term and vote are durable; at once if the storage failed.

        A member whose storage failed grants and acknowledges nothing, so its messages need no write.
        """
        if self.storage_failed or self.pending_writes.is_hard_state_durable:
            self.actions.append(api.Send(to, message))
        elif len(self.pending_writes.held_sends) >= MAX_HELD_MESSAGES:
            self.counters["held too many"] += 1
        else:
            self.pending_writes.hold(api.Send(to, message))

    def append_entries(self, entries: Sequence[pb.Entry]) -> None:
        """Append entries to the log and to the next write."""
        self.log.append(entries)
        if not self.storage_failed:
            self.pending_writes.entries += entries

    def save_hard_state(self) -> None:
        """Add term and vote to the next write."""
        if not self.storage_failed:
            voted = self.voted_for or Incarnation("", b"")
            self.pending_writes.set_hard_state(
                pb.HardState(term=self.term, voted_name=voted.name, voted_life=voted.id)
            )

    def _no_leader_refusal(self) -> int:
        known = self.leader is not None and self.leader != self.me
        return pb.Result.NOT_LEADER if known else pb.Result.NO_LEADER

    def _reject_proposal(self, token: int) -> None:
        name = self.leader.name if self.leader is not None else ""
        self.actions.append(
            api.ProposalOutcome(
                token,
                self._no_leader_refusal(),
                leader=name,
                retry_after_ms=int(self.timing.election_timeout_ms),
            )
        )

    def reject_read(self, token: int, refusal: int) -> None:
        """Reject a read, naming the leader if another member leads."""
        name = self.leader.name if self.leader is not None and self.leader != self.me else ""
        self.actions.append(api.ReadOutcome(token, refusal=refusal, leader=name))

    def deliver_committed(self) -> None:
        """Pass committed entries to the host."""
        last = min(self.commit_index, self.log.last_index)
        while self.delivered_index < last:
            entries = self.log.slice(
                self.delivered_index + 1, min(self.delivered_index + MAX_APPLY_ENTRIES, last)
            )
            self.commands_seen |= any(entry.WhichOneof("what") == "command" for entry in entries)
            self.delivered_index = entries[-1].index
            self.actions.append(api.Apply(tuple(entries)))

    # Terms and votes

    def reset_election_timer(self) -> None:
        """Draw a new randomized election timeout and start it."""
        self.randomized_election_timeout_ms = self.timing.election_timeout_ms * (1.0 + self.random.random())
        self.election_deadline_ms = self.now_ms + self.randomized_election_timeout_ms

    def has_live_leader(self) -> bool:
        """Whether this member leads, or heard from the leader within the election timeout."""
        return self.leader_state is not None or (
            self.leader is not None
            and self.now_ms < self.last_leader_contact_ms + self.timing.election_timeout_ms
        )

    def become_follower(self, term: int, leader: Incarnation | None) -> None:
        """Step down to follower, adopt a later term, answer pending proposals UNKNOWN, reject reads."""
        leader_state, self.leader_state, self.campaign = self.leader_state, None, None
        if term > self.term:
            self.term, self.voted_for = term, None
            self.save_hard_state()
        if leader is None or leader != self.leader or leader_state is not None:
            self.leader_match_index, self.leader_round, self.reported_index = self.commit_index, 0, 0
            self.snapshots.incoming.reset()
        self.leader = leader
        if leader_state is not None:
            self.reset_election_timer()
            for _, token in leader_state.pending_proposals:
                self.actions.append(
                    api.ProposalOutcome(
                        token,
                        pb.Result.UNKNOWN,
                        leader=leader.name if leader else "",
                        retry_after_ms=int(self.timing.election_timeout_ms),
                    )
                )
            for token in leader_state.pending_reads.pop_all():
                self.reject_read(token, self._no_leader_refusal())

    def _handle_election_won(self, campaign: Campaign) -> None:
        if campaign.is_pre_vote:
            election.start_election(self)
            return
        self.campaign, self.leader = None, self.me
        self.leader_state = Leader(self, self.now_ms)
        self.leader_state.tick(self.now_ms)
        self.leader_state.finish_step(self.now_ms)

    # Messages

    def _handle_message(self, sender: Incarnation, message: pb.Message) -> None:
        term, body = message.term, message.WhichOneof("body")
        if sender == self.me or body is None or term > MAX_TERM:
            self.counters["malformed"] += 1
            return
        match body:
            case "vote":
                election.handle_vote_request(self, sender, term, message.vote)
            case "vote_answer":
                election.handle_vote_response(self, sender, term, message.vote_answer)
            case "append" | "piece":
                if self._accept_leader(sender, term, body == "append"):
                    if body == "append":
                        self._handle_append(message.append)
                    else:
                        self.snapshots.handle_chunk(message.piece)
            case "append_answer" | "piece_answer":
                leader_state = self.leader_state
                if (
                    leader_state is None
                    or sender not in leader_state.peers
                    or (term > self.term and leader_state.peers[sender].removal_index)
                ):
                    self.counters[
                        "late" if sender in self.log.configuration.incarnations else "stranger"
                    ] += 1
                elif term > self.term:
                    self.become_follower(term, None)
                elif term == self.term and body == "append_answer":
                    leader_state.handle_append_response(sender, message.append_answer, self.now_ms)
                elif term == self.term:
                    leader_state.handle_chunk_response(sender, message.piece_answer, self.now_ms)
            case "take_over":
                if (
                    term == self.term
                    and sender == self.leader
                    and self._can_campaign()
                    and self.snapshots.installing is None
                    and not self._must_not_campaign()
                ):
                    election.start_election(self, handed_over=True)
            case "join":
                self._handle_join(sender, message.join)
            case "join_answer":
                response = message.join_answer
                if self._should_join():
                    self.bootstrap.handle_response(sender, response, self.now_ms)
                elif (
                    response.word == pb.JoinAnswer.REFUSED
                    and response.leader == sender.name
                    and not self.has_live_leader()
                ):
                    # The leader says that this member was removed. The notice may be stale, so the pause is
                    # limited.
                    self.campaign = None
                    self.removal_pause_until_ms = (
                        self.now_ms + REMOVAL_PAUSE_TIMEOUTS * self.timing.election_timeout_ms
                    )
                    self.removed_configuration_index = self.log.configuration.index

    def _accept_leader(self, sender: Incarnation, term: int, append: bool) -> bool:
        """Process the term and sender of a leader's message.

        Returns False for a stale message, and for an unknown leader's message while a known leader is alive.
        """
        if term < self.term:
            if append and not self.storage_failed:
                self.send(sender, pb.Message(term=self.term, append_answer=pb.AppendAnswer()))
            return False
        if (
            sender not in self.log.configuration.incarnations
            and sender != self.leader
            and self.has_live_leader()
        ):
            self.counters["stranger"] += 1
            return False
        if term == self.term and self.leader not in (None, sender):
            self.counters["malformed"] += 1  # a term has one leader
            return False
        if term > self.term or self.leader != sender:
            self.become_follower(term, sender)
        self.last_leader_contact_ms = self.now_ms
        return True

    def _handle_append(self, append: pb.Append) -> None:
        log, before = self.log, append.before_index
        entries = list(append.entries)
        terms = [append.before_term, *(entry.term for entry in entries), self.term]
        expected_indexes = list(range(before + 1, before + 1 + len(entries)))
        if (
            bool(before) != bool(append.before_term)
            or terms != sorted(terms)
            or [entry.index for entry in entries] != expected_indexes
        ):
            self.counters["malformed"] += 1
            return
        is_new_round = append.round > self.leader_round
        self.leader_round = max(self.leader_round, append.round)
        if self.snapshots.installing is not None:
            self.append_response_due = True
            return
        if before > log.last_index or (before >= log.base_index and log.term(before) != append.before_term):
            index = log.find_conflict_index(append.before_term, before - 1)
            self.send(
                self.leader,
                pb.Message(
                    term=self.term,
                    append_answer=pb.AppendAnswer(
                        index=index, round=self.leader_round, cannot_write=self.storage_failed
                    ),
                ),
            )
            return
        new_entries = [
            entry for entry in entries if entry.index > log.base_index and log.term(entry.index) != entry.term
        ]
        if new_entries and new_entries[0].index <= log.last_index:
            if new_entries[0].index <= self.commit_index:
                self.counters["against what is agreed"] += 1  # only possible if a disk or a member is faulty
                return
            log.truncate_after(new_entries[0].index - 1)
            self.pending_writes.truncate_after(new_entries[0].index - 1)
        if new_entries and not (self.storage_failed and log.size_bytes >= self.timing.max_log_bytes):
            self.append_entries(new_entries)
        self.leader_match_index = max(self.leader_match_index, min(before + len(entries), log.last_index))
        self.commit_index = max(self.commit_index, min(append.commit, self.leader_match_index))
        self.append_response_due |= is_new_round or not new_entries

    def _send_append_response(self) -> None:
        """Report the durable index to the leader; entries only in memory don't count."""
        self.append_response_due = False
        if self.leader is None or self.leader_state is not None:
            return
        if self.storage_failed:
            answer = pb.AppendAnswer(index=self.log.last_index, round=self.leader_round, cannot_write=True)
        else:
            self.reported_index = min(self.pending_writes.durable_index, self.leader_match_index)
            answer = pb.AppendAnswer(took=True, index=self.reported_index, round=self.leader_round)
        self.send(self.leader, pb.Message(term=self.term, append_answer=answer))

    def _handle_join(self, sender: Incarnation, join: pb.Join) -> None:
        status = pb.JoinAnswer.WAIT
        if (join.member.name, join.member.life) != sender:
            self.counters["malformed"] += 1
            return
        if self.leader_state is not None:
            status = self.leader_state.handle_join(sender, join.member, self.now_ms)
        elif self.is_empty and not self.storage_failed:
            status = pb.JoinAnswer.EMPTY
        leader = self.leader.name if self.leader is not None else ""
        self.send(sender, pb.Message(join_answer=pb.JoinAnswer(word=status, leader=leader, life=self.me.id)))

    def _bootstrap_group(self) -> None:
        configured = self.configured_members[self.me.name]
        me = pb.Member(name=self.me.name, life=self.me.id, address=configured.address, votes=True)
        self.term = 1
        self.save_hard_state()
        self.append_entries([pb.Entry(term=1, index=1, members=pb.Members(members=[me]))])
        self.election_deadline_ms = self.now_ms

    # Storage

    def _handle_write_completed(self, number: int) -> None:
        if self.storage_failed:
            return
        self.actions += self.pending_writes.complete(number)
        self.last_write_progress_ms = self.now_ms
        if (
            self.campaign is not None
            and not self.campaign.is_pre_vote
            and self.campaign.vote_write_number <= number
        ):
            self.campaign.granted.add(self.me)
        self.snapshots.handle_write_completed(number)
        if min(self.pending_writes.durable_index, self.leader_match_index) > self.reported_index:
            self.append_response_due = True

    def _handle_write_failed(self) -> None:
        """Stop voting and leading: what the disk holds is no longer known."""
        if self.leader_state is not None:
            successor = self.leader_state.best_successor(self.now_ms)
            if successor is not None:
                self.actions.append(api.Send(successor, pb.Message(term=self.term, take_over=pb.TakeOver())))
        self.storage_failed = True
        self.pending_writes.discard()
        self.snapshots.discard_pending()
        if self.leader_state is not None or self.campaign is not None:
            self.become_follower(self.term, None)

    def _recover_storage(self, durable: DurableState) -> None:
        """Resume from the folder's contents; first rewrite entries, term and vote that the folder lacks."""
        self.pending_writes.discard()
        durable_log, snapshots = Log(durable.snapshot_head, durable.entries), self.snapshots
        if durable.snapshot_head is not None and durable.snapshot_head.index > snapshots.index:
            snapshots.install(durable.snapshot_head, durable.snapshot, durable_log)
        self.storage_failed = False
        matching = max(durable_log.base_index, self.log.base_index)
        if durable_log.term(matching) is None or durable_log.term(matching) != self.log.term(matching):
            self.log.compact(snapshots.index)  # the two logs don't overlap: rewrite everything
            matching = self.log.base_index
            self.pending_writes.durable_index = matching
            snapshots.write(snapshots.head, snapshots.data, matching + 1, truncate_after=matching)
        else:
            while matching < min(durable_log.last_index, self.log.last_index) and durable_log.term(
                matching + 1
            ) == self.log.term(matching + 1):
                matching += 1
            self.pending_writes.durable_index = matching
            if matching < durable_log.last_index:
                self.pending_writes.truncate_after(matching)
        self.pending_writes.entries = self.log.slice(matching + 1, self.log.last_index)
        self.save_hard_state()
        self.reset_election_timer()
