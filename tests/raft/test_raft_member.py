"""The Raft core: single rules, simulated plays by seed, and the exhaustive search."""

from dataclasses import replace
from random import Random

import pytest
from raft_cluster import TIGHT_TIMING, Cluster, DiskImage, play
from raft_search import STARTS, Search, run

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft import messages as api
from fennelwind.raft.member import RaftMember
from fennelwind.raft.messages import DurableState, Incarnation, Timing
from fennelwind.raft.replicated_state import MAX_COMMAND_BYTES

A, B, C, OLD_B = (
    Incarnation("a", b"a"),
    Incarnation("b", b"b"),
    Incarnation("c", b"c"),
    Incarnation("b", b"old"),
)


def members(*incarnations: Incarnation, learners: tuple[Incarnation, ...] = ()) -> pb.Members:
    return pb.Members(
        members=[
            pb.Member(name=incarnation.name, life=incarnation.id, votes=incarnation not in learners)
            for incarnation in sorted({*incarnations, *learners})
        ]
    )


def entry(index: int, term: int = 1, **what) -> pb.Entry:
    return pb.Entry(index=index, term=term, **(what or {"nothing": True}))


class MemberHarness:
    """One core; the test supplies its messages and completes its writes."""

    def __init__(
        self,
        *entries: pb.Entry,
        hard_state: pb.HardState | None = None,
        me: Incarnation = A,
        timing: Timing = Timing(),  # noqa: B008 - it is frozen
    ) -> None:
        first = entry(1, members=members(A, B, C))
        self.core = RaftMember(
            timing, DurableState(me, hard_state or pb.HardState(term=1), entries=[first, *entries]), 1
        )
        self.now = 1000.0
        self.actions: list[api.Action] = []
        self.step()

    def step(self, *events: api.Event, wait: float = 0.0) -> list[api.Action]:
        """Step the core; keep its actions."""
        self.now += wait
        self.actions = self.core.step(self.now, events)
        return self.actions

    def receive(self, sender: Incarnation, term: int, **body) -> list[api.Action]:
        """Deliver a message."""
        return self.step(api.MessageReceived(sender, pb.Message(term=term, **body)))

    def sent(self, kind: str) -> list[pb.Message]:
        """Return the messages of a kind that the last step sent."""
        return [a.message for a in self.actions_of(api.Send) if a.message.WhichOneof("body") == kind]

    def actions_of(self, kind: type) -> list:
        """Return the actions of a type from the last step."""
        return [a for a in self.actions if isinstance(a, kind)]

    def complete_writes(self) -> list[api.Action]:
        """Complete all writes."""
        return self.step(api.WriteCompleted(self.core.pending_writes.last_number))

    def become_leader(self) -> "MemberHarness":
        """Make it leader, with the vote of b."""
        self.step(wait=2000.0)
        term = self.core.term + 1
        self.receive(B, term, vote_answer=pb.VoteAnswer(before=True, granted=True))
        self.complete_writes()
        self.receive(B, term, vote_answer=pb.VoteAnswer(granted=True))
        assert self.core.role == "leader"
        return self

    def commit_all(self) -> "MemberHarness":
        """Commit its whole log: durable here and on b."""
        self.complete_writes()
        self.receive(
            B,
            self.core.term,
            append_answer=pb.AppendAnswer(
                took=True, index=self.core.log.last_index, round=self.core.leader_state.round
            ),
        )
        assert self.core.commit_index == self.core.log.last_index
        return self

    def propose(self, token: int, size: int = 1) -> list[api.ProposalOutcome]:
        """Propose a command; return the outcomes of this step."""
        self.step(api.Propose(token, pb.Command(client=1, number=token, body=bytes(size))))
        return self.actions_of(api.ProposalOutcome)


def started_cluster(count: int = 3, seed: int = 1) -> Cluster:
    """Return a group whose members all vote."""
    cluster = Cluster(seed, count)
    cluster.start_all()
    cluster.await_leader()
    cluster.run(cluster.now + 3000.0)
    assert sorted(cluster.voters()) == sorted(cluster.nodes)
    return cluster


# Elections


def test_member_with_live_leader_votes_only_after_leadership_transfer():
    member = MemberHarness()
    member.receive(B, 2, append=pb.Append(before_index=1, before_term=1))
    member.complete_writes()
    vote = pb.Vote(last_index=9, last_term=2)
    member.receive(C, 3, vote=vote)
    assert not member.actions or not member.sent("vote_answer")
    assert member.core.term == 2
    member.receive(C, 3, vote=pb.Vote(before=True, last_index=9, last_term=2))
    assert not member.sent("vote_answer")[0].vote_answer.granted
    unknown = Incarnation("z", b"z")
    member.receive(unknown, 99, vote=pb.Vote(last_index=9, last_term=2, handed_over=True))
    assert member.core.term == 2 and member.core.leader == B
    member.receive(C, 3, vote=pb.Vote(last_index=9, last_term=2, handed_over=True))
    member.complete_writes()
    assert member.sent("vote_answer")[0].vote_answer.granted and member.core.term == 3


def test_unknown_member_neither_leads_nor_deposes_live_leader():
    member = MemberHarness()
    member.receive(B, 2, append=pb.Append(before_index=1, before_term=1))
    member.receive(OLD_B, 50, append=pb.Append(before_index=1, before_term=1))
    assert (member.core.term, member.core.leader, member.core.counters["stranger"]) == (2, B, 1)
    leader = MemberHarness().become_leader()
    leader.receive(OLD_B, 50, append_answer=pb.AppendAnswer())
    assert leader.core.role == "leader" and leader.core.counters["stranger"] == 1


def test_pre_votes_do_not_increase_the_term():
    member = MemberHarness()
    for _ in range(5):
        member.step(wait=2000.0)
        assert member.sent("vote")[0].vote.before
    assert member.core.term == 1 and not member.actions_of(api.Write)


def test_leader_without_quorum_steps_down_and_answers_outcome_unknown():
    member = MemberHarness().become_leader().commit_all()
    assert not member.propose(7)
    member.step(api.ReadRequested(8))
    member.step(wait=100.0)
    member.step(wait=250.0)
    assert member.core.role == "follower"
    assert [(a.token, a.refusal) for a in member.actions_of(api.ProposalOutcome)] == [(7, pb.Result.UNKNOWN)]
    assert [(a.token, a.refusal) for a in member.actions_of(api.ReadOutcome)] == [(8, pb.Result.NO_LEADER)]
    assert member.propose(9)[0].refusal == pb.Result.NO_LEADER


def test_follower_names_the_leader_in_rejections():
    member = MemberHarness()
    member.receive(B, 2, append=pb.Append(before_index=1, before_term=1))
    (answer,) = member.propose(1)
    assert (answer.refusal, answer.leader) == (pb.Result.NOT_LEADER, "b")
    member.step(api.ReadRequested(2))
    assert (member.actions_of(api.ReadOutcome)[0].refusal, member.actions_of(api.ReadOutcome)[0].leader) == (
        pb.Result.NOT_LEADER,
        "b",
    )


# The log


def test_rejected_append_returns_index_to_probe():
    member = MemberHarness(entry(2, 1), entry(3, 3), entry(4, 3), hard_state=pb.HardState(term=3))
    member.receive(B, 4, append=pb.Append(before_index=9, before_term=4))
    member.complete_writes()
    assert member.sent("append_answer")[0].append_answer.index == 4
    member.receive(B, 4, append=pb.Append(before_index=4, before_term=2))
    answer = member.sent("append_answer")[0].append_answer
    assert (answer.took, answer.index) == (False, 2)  # no entry of term 3 can match the leader's log


@pytest.mark.parametrize(
    "append",
    [
        pb.Append(before_index=1, before_term=1, entries=[entry(3, 2)]),
        pb.Append(before_index=1, before_term=1, entries=[entry(2, 2), entry(3, 1)]),
        pb.Append(before_index=1, before_term=1, entries=[entry(2, 9)]),
    ],
)
def test_malformed_entries_are_dropped_and_counted(append):
    member = MemberHarness()
    member.receive(B, 2, append=append)
    assert member.core.log.last_index == 1 and member.core.counters["malformed"] == 1


def test_random_messages_do_not_change_committed_entries():
    random = Random(1)
    numbers = (0, 1, 2, 3, 5, 1 << 40, (1 << 64) - 1)

    def fill(message, depth: int = 0):
        for field in message.DESCRIPTOR.fields:
            if random.random() < (0.3 if depth else 0.1):
                continue
            kind = {
                field.TYPE_UINT64: lambda: random.choice(numbers),
                field.TYPE_UINT32: lambda: 7,
                field.TYPE_BOOL: lambda: random.random() < 0.5,
                field.TYPE_ENUM: lambda: random.randint(0, 3),
                field.TYPE_BYTES: lambda: random.choice((b"", b"a", b"b", b"zz")),
                field.TYPE_STRING: lambda: random.choice(("", "a", "b", "z")),
            }.get(field.type)
            if field.is_repeated:
                for _ in range(random.randint(0, 2)):
                    fill(getattr(message, field.name).add(), depth + 1)
            elif kind is not None:
                setattr(message, field.name, kind())
            else:
                fill(getattr(message, field.name), depth + 1)
        return message

    for part in range(20):
        member = MemberHarness(entry(2), entry(3))
        if part % 2:
            member.become_leader().commit_all()
        for _ in range(100):
            before = member.core.commit_index, member.core.term
            committed = member.core.log.slice(1, member.core.commit_index)
            sender, message = random.choice((A, B, C, OLD_B)), fill(pb.Message())
            member.step(api.MessageReceived(sender, message), wait=random.choice((0, 50)))
            assert (member.core.commit_index, member.core.term) >= before and member.core.log.slice(
                1, before[0]
            ) == committed


def test_timer_that_fires_early_is_requested_again():
    member = MemberHarness()
    at = member.core.election_deadline_ms
    member.now = at - 1e-6
    assert member.step(api.TimerFired()) == [api.Timer(at)]


def test_malformed_messages_are_dropped_and_counted():
    member = MemberHarness()
    member.step(api.MessageReceived(B, pb.Message(term=1)))
    member.receive(A, 5, append=pb.Append())
    member.receive(B, 1 << 63, append=pb.Append())
    member.receive(B, 0, join=pb.Join(member=pb.Member(name="c", life=b"c")))
    assert member.core.counters["malformed"] == 4 and member.core.term == 1


def test_in_flight_appends_are_limited_by_count_and_bytes():
    member = (
        MemberHarness(timing=Timing(max_append_bytes=1000, max_in_flight_appends=3))
        .become_leader()
        .commit_all()
    )
    for token in range(30):
        member.propose(token, 400)
    member.step()
    assert member.core.leader_state.peers[B].next_index < member.core.log.last_index
    assert len(member.core.leader_state.peers[B].in_flight) == 3
    member.complete_writes()
    sent = member.core.leader_state.peers[B].next_index - 1
    member.receive(B, 2, append_answer=pb.AppendAnswer(took=True, index=sent, round=1))
    assert all(len(m.append.entries) <= 2 for m in member.sent("append"))


# Limits


def test_pending_proposals_and_reads_are_limited():
    member = MemberHarness(timing=replace(TIGHT_TIMING, max_log_bytes=1 << 20)).become_leader().commit_all()
    for token in range(TIGHT_TIMING.max_pending_proposals):
        assert not member.propose(token)
    assert member.propose(99)[0].refusal == pb.Result.TOO_MANY
    member.step(*(api.ReadRequested(token) for token in range(TIGHT_TIMING.max_pending_reads + 1)))
    assert [a.refusal for a in member.actions_of(api.ReadOutcome)] == [pb.Result.TOO_MANY]


def test_log_at_size_limit_rejects_proposals_until_compacted():
    member = MemberHarness(timing=Timing(max_log_bytes=1000)).become_leader().commit_all()
    assert not member.propose(1, 800) and not member.actions_of(api.TakeSnapshot)
    member.propose(2, 400)
    assert member.actions_of(api.TakeSnapshot)
    answers = [answer for token in range(3, 9) for answer in member.propose(token, 400)]
    assert {answer.refusal for answer in answers} == {
        pb.Result.TOO_MANY
    } and member.core.log.size_bytes < 3000
    member.commit_all()
    member.step(api.Snapshot(member.core.delivered_index, 0, b"state"))
    member.complete_writes()
    assert member.core.log.size_bytes < 1000 and not member.propose(50)


def test_oversized_snapshot_is_not_requested_again_at_each_step(monkeypatch):
    monkeypatch.setattr("fennelwind.raft.snapshots.MAX_SNAPSHOT_BYTES", 4)
    member = (
        MemberHarness(timing=Timing(max_log_bytes=1000, retained_entries=10)).become_leader().commit_all()
    )
    member.propose(1, 800)
    member.propose(2, 400)
    assert member.actions_of(api.TakeSnapshot)
    member.step(api.Snapshot(member.core.delivered_index, 0, b"state"))
    assert member.core.counters["snapshot too large"] == 1 and not member.actions_of(api.TakeSnapshot)
    member.propose(3, 100)
    member.commit_all()
    assert not member.actions_of(api.TakeSnapshot)


def test_too_large_command_is_rejected():
    assert (
        MemberHarness().become_leader().commit_all().propose(1, MAX_COMMAND_BYTES + 2000)[0].refusal
        == pb.Result.TOO_LARGE
    )


def test_messages_held_back_by_a_slow_disk_are_limited():
    member = MemberHarness()
    member.receive(B, 5, vote=pb.Vote(last_index=9, last_term=1))
    for _ in range(2000):
        member.receive(C, 4, vote=pb.Vote(last_index=9, last_term=1))
    assert len(member.core.pending_writes.held_sends) == 1024 and member.core.counters["held too many"] == 977


# Storage failures


def test_member_with_failed_storage_promises_nothing_but_applies_entries():
    member = MemberHarness()
    member.receive(B, 2, append=pb.Append(before_index=1, before_term=1, entries=[entry(2, 2)]))
    member.step(api.WriteFailed(1, True))
    assert member.core.role == "mute" and not member.actions_of(api.Send)
    member.receive(
        B, 2, append=pb.Append(before_index=2, before_term=2, commit=3, entries=[entry(3, 2)], round=1)
    )
    answer = member.sent("append_answer")[0].append_answer
    assert (answer.took, answer.cannot_write) == (False, True)
    assert [e.index for e in member.actions_of(api.Apply)[0].entries] == [1, 2, 3]
    member.receive(C, 3, vote=pb.Vote(last_index=9, last_term=2, handed_over=True))
    member.step(wait=5000.0)
    assert not member.sent("vote_answer") and not member.sent("vote") and not member.actions_of(api.Write)


def test_leader_with_failed_write_transfers_leadership():
    member = MemberHarness().become_leader().commit_all()
    member.propose(1)
    member.step(api.WriteFailed(member.core.pending_writes.last_number, True))
    assert [(a.to, a.message.WhichOneof("body")) for a in member.actions_of(api.Send)] == [(B, "take_over")]
    assert (
        member.actions_of(api.ProposalOutcome)[0].refusal == pb.Result.UNKNOWN and member.core.role == "mute"
    )


def test_leader_with_stuck_disk_transfers_leadership():
    member = MemberHarness().become_leader().commit_all()
    response = member.propose(1) or pb.AppendAnswer(took=True, index=member.core.log.last_index)
    for incarnation in (B, C):
        member.receive(incarnation, member.core.term, append_answer=response)
    assert (
        member.core.commit_index == member.core.log.last_index
        and not member.actions_of(api.ProposalOutcome)[0].refusal
    )
    for _ in range(59):  # the 60th wait completes ten election timeouts
        member.step(wait=50.0)
        response.round = member.core.leader_state.round
        member.receive(B, member.core.term, append_answer=response)
        assert not member.sent("take_over")
    member.step(wait=50.0)
    assert member.sent("take_over") and [s.to for s in member.actions_of(api.Send)][-1] == B


def test_failed_write_that_reached_the_disk_is_recognized():
    member = MemberHarness(entry(2), entry(3))
    member.receive(B, 2, append=pb.Append(before_index=1, before_term=1, entries=[entry(2, 2)]))
    member.step(api.WriteFailed(1, False))
    first = entry(1, members=members(A, B, C))
    member.step(api.StorageRecovered(DurableState(A, pb.HardState(term=2), entries=[first, entry(2, 2)])))
    assert member.core.pending_writes.durable_index == 2 and not member.actions_of(api.Write)[0].entries
    old = MemberHarness(entry(2), entry(3))
    old.receive(B, 2, append=pb.Append(before_index=1, before_term=1, entries=[entry(2, 2)]))
    old.step(api.WriteFailed(1, False))
    old.step(api.StorageRecovered(DurableState(A, pb.HardState(term=1), entries=[first, entry(2), entry(3)])))
    (write,) = old.actions_of(api.Write)
    assert (
        write.truncate_after == 1
        and list(write.entries) == [entry(2, 2)]
        and old.core.pending_writes.durable_index == 1
    )


def test_emptied_folder_gets_snapshot_and_log_again():
    member = (
        MemberHarness(*(entry(i) for i in range(2, 20)), timing=replace(TIGHT_TIMING, max_log_bytes=100))
        .become_leader()
        .commit_all()
    )
    member.step(api.Snapshot(15, 0, b"state"))
    member.complete_writes()
    member.step(api.WriteFailed(member.core.pending_writes.last_number + 1, False))
    member.step(api.StorageRecovered(DurableState(A, pb.HardState())))
    image = DiskImage()
    for write in member.actions_of(api.Write):
        image.apply_write(write)
    assert image.snapshot_head.index == 15 and image.snapshot == b"state" and image.entries[-1].index == 20
    assert image.hard_state.term == 2 and image.hard_state.voted_name == "a"


# Leadership transfer


def test_transfer_goes_to_up_to_date_successor_and_rejects_proposals_meanwhile():
    member = MemberHarness().become_leader().commit_all()
    member.propose(1)
    member.step(api.TransferLeadership())
    assert not member.sent("take_over")
    assert member.propose(2)[0].refusal == pb.Result.NO_LEADER
    member.commit_all()
    assert [a.to for a in member.actions_of(api.Send) if a.message.HasField("take_over")] == [B]
    member.step(wait=100.0)
    member.receive(B, 2, append_answer=pb.AppendAnswer(took=True, index=3, round=3))
    member.step(wait=250.0)
    assert member.core.role == "leader" and not member.propose(
        3
    )  # the transfer timed out: it continues to lead


def test_timeout_now_starts_election_only_if_sent_by_the_leader():
    member = MemberHarness()
    member.receive(B, 2, append=pb.Append(before_index=1, before_term=1))
    member.complete_writes()
    member.receive(C, 2, take_over=pb.TakeOver())
    assert member.core.term == 2
    member.receive(B, 2, take_over=pb.TakeOver())
    member.complete_writes()
    assert {m.vote.handed_over for m in member.sent("vote")} == {True} and member.core.term == 3


def test_transfer_completes_without_an_election_timeout():
    cluster = started_cluster()
    leader, began = cluster.leader(), cluster.now
    cluster.deliver(leader.name, api.TransferLeadership())
    while cluster.leader() is leader or cluster.leader() is None:
        cluster.run(cluster.now + 1.0)
    assert cluster.now - began < 300.0  # less than an election timeout


# Membership


def test_no_bootstrap_until_all_report_empty_logs():
    cluster = Cluster(1, 3)
    for name in ("a", "b"):
        cluster.start(name)
    cluster.run(5000.0)
    assert cluster.leader() is None
    cluster.start("c")
    cluster.await_leader()


def test_stale_report_of_empty_log_does_not_bootstrap():
    configured = [pb.Member(name=name, address=name) for name in "abc"]
    core = RaftMember(Timing(), DurableState(A), 1, configured)
    empty = {
        incarnation: api.MessageReceived(
            incarnation, pb.Message(join_answer=pb.JoinAnswer(word=pb.JoinAnswer.EMPTY, life=incarnation.id))
        )
        for incarnation in (B, C)
    }
    core.step(0.0, [empty[B]])
    core.step(60_000.0, [empty[C]])  # b may have joined a group meanwhile
    assert core.is_empty
    core.step(60_100.0, [empty[B]])
    assert not core.is_empty


def test_single_bootstrapped_member_accepts_no_commands():
    cluster = Cluster(1, 3)
    cluster.start_all()
    cluster.await_leader()
    for name in ("b", "c"):
        cluster.crash(name)
    token = cluster.propose("a")
    cluster.run(cluster.now + 100.0)
    assert token not in cluster.committed_indexes and len(cluster.voters()) <= 1


def test_member_with_lost_folder_rejoins_as_learner_before_it_votes():
    cluster = started_cluster()
    index = cluster.commit_command()
    name = next(n for n in cluster.nodes if n != cluster.leader().name)
    cluster.wipe(name)
    cluster.start(name)
    node = cluster.nodes[name]
    while node.me not in cluster.leader().core.log.configuration.voters:
        assert node.core.role in ("outside", "learner")
        cluster.run(cluster.now + 5.0)
    assert node.applied >= index and len(cluster.voters()) == 3


def test_membership_changes_one_at_a_time():
    member = MemberHarness().become_leader()
    change = api.ChangeMembership(1, add=pb.Member(name="d", life=b"d"))
    member.step(change)
    assert (
        member.actions_of(api.ProposalOutcome)[0].refusal == pb.Result.TOO_MANY
    )  # nothing of its own term is committed yet
    member.commit_all()
    member.step(change)
    assert (
        not member.actions_of(api.ProposalOutcome)
        and Incarnation("d", b"d") in member.core.log.configuration.incarnations
    )
    assert Incarnation("d", b"d") not in member.core.log.configuration.voters
    member.step(api.ChangeMembership(2, remove=C))
    assert member.actions_of(api.ProposalOutcome)[0].refusal == pb.Result.TOO_MANY
    member.commit_all()
    member.step(api.ChangeMembership(3, remove=Incarnation("x", b"x")))
    assert member.actions_of(api.ProposalOutcome)[0].refusal == pb.Result.NOT_MEMBER
    member.step(api.ChangeMembership(4, add=pb.Member(name="b", life=b"b2")))
    assert (
        member.actions_of(api.ProposalOutcome)[0].refusal == pb.Result.NOT_MEMBER
    )  # b is alive under this name


def test_removed_member_stops_requesting_votes():
    cluster = started_cluster()
    name = next(n for n in cluster.nodes if n != cluster.leader().name)
    cluster.block(name, cluster.leader().name)  # it never learns of its removal
    cluster.run(cluster.now + 1000.0)
    cluster.change_membership(cluster.leader().name, remove=cluster.nodes[name].me)
    cluster.run(cluster.now + 10_000.0)
    cluster.blocked_links.clear()
    cluster.run(cluster.now + 2000.0)
    term, votes = cluster.leader().core.term, cluster.counts["vote"]
    cluster.run(cluster.now + 3000.0)
    assert (cluster.leader().core.term, cluster.counts["vote"]) == (term, votes)


def test_member_added_again_after_removal_campaigns_again():
    member = MemberHarness()
    member.receive(B, 1, join_answer=pb.JoinAnswer(word=pb.JoinAnswer.REFUSED, leader="b", life=b"b"))
    member.step(wait=2000.0)
    assert not member.sent("vote")
    again = entry(2, 2, members=members(A, C))
    member.receive(C, 2, append=pb.Append(before_index=1, before_term=1, entries=[again]))
    member.complete_writes()
    member.step(wait=2000.0)
    assert member.sent("vote")


def test_leader_that_removes_itself_leads_until_the_removal_is_committed():
    cluster = started_cluster()
    leader = cluster.leader()
    cluster.change_membership(leader.name, remove=leader.me)
    cluster.run(cluster.now + 3000.0)
    assert cluster.leader() is not leader and len(cluster.voters()) == 2
    cluster.commit_command()


# Snapshots, clock entries, reads


def test_interrupted_snapshot_transfer_resumes():
    cluster = started_cluster()
    name = next(n for n in cluster.nodes if n != cluster.leader().name)
    cluster.crash(name)
    for _ in range(60):
        cluster.commit_command(size=100)
    cluster.loss_rate = 0.4
    cluster.start(name)
    before = cluster.counts["piece"]
    while cluster.nodes[name].applied < 60:
        cluster.run(cluster.now + 50.0)
    pieces = -(-len(cluster.leader().core.snapshots.data) // TIGHT_TIMING.max_chunk_bytes)
    assert pieces > 1 and cluster.counts["restores"] and cluster.counts["piece"] - before < 20 * pieces


def test_corrupt_snapshot_is_received_again():
    member = MemberHarness()
    head = pb.SnapshotHead(index=9, term=2, members=members(A, B, C), size=4, crc32c=1)
    member.receive(B, 2, piece=pb.Piece(head=head, data=b"abcd"))
    member.complete_writes()
    assert member.sent("piece_answer")[0].piece_answer.offset == 0 and member.core.snapshots.head is None
    huge = pb.SnapshotHead(index=9, term=2, size=1 << 40)
    member.receive(B, 2, piece=pb.Piece(head=huge, data=b"abcd"))
    assert member.core.counters["malformed"] == 1


def test_clock_entries_are_appended_only_while_something_expires():
    cluster = started_cluster()
    index = cluster.commit_command()
    cluster.run(cluster.now + 3000.0)
    assert cluster.leader().applied == index
    cluster.expiry_interval_ms = 1000
    cluster.commit_command()
    began, clock = len(cluster.checks.committed), cluster.leader().clock_ms
    cluster.run(cluster.now + 4000.0)
    passed = cluster.leader().clock_ms - clock
    assert 3000 < passed < 5000 and 8 < len(cluster.checks.committed) - began < 20


def test_read_waits_for_a_round_started_after_it():
    member = MemberHarness().become_leader().commit_all()
    member.receive(
        B, 2, append_answer=pb.AppendAnswer(took=True, index=2, round=member.core.leader_state.round)
    )
    member.step(api.ReadRequested(1))
    number = member.sent("append")[0].append.round
    member.receive(B, 2, append_answer=pb.AppendAnswer(took=True, index=2, round=number - 1))
    assert not member.actions_of(api.ReadOutcome)
    member.receive(B, 2, append_answer=pb.AppendAnswer(took=True, index=2, round=number))
    assert [(a.token, a.index) for a in member.actions_of(api.ReadOutcome)] == [(1, 2)]


# Plays and search


@pytest.mark.parametrize("first", range(0, 100, 20))
def test_simulated_plays_by_seed(first):
    for seed in range(first, first + 20):
        play(seed, part=0.2)


@pytest.mark.parametrize("start", STARTS)
def test_exhaustive_search(start):
    search = Search()
    bounds = replace(STARTS[start], failures=STARTS[start].crashes)
    assert run(search, getattr(search, start)(bounds), 3000, 100)["states"] >= 3000
