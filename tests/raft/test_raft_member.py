"""The council's core: single rules, and whole days in virtual time by seed."""

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

A, B, C, OLD = (
    Incarnation("a", b"a"),
    Incarnation("b", b"b"),
    Incarnation("c", b"c"),
    Incarnation("b", b"old"),
)


def members(*lives: Incarnation, learners: tuple[Incarnation, ...] = ()) -> pb.Members:
    return pb.Members(
        members=[
            pb.Member(name=life.name, life=life.id, votes=life not in learners)
            for life in sorted({*lives, *learners})
        ]
    )


def entry(index: int, term: int = 1, **what) -> pb.Entry:
    return pb.Entry(index=index, term=term, **(what or {"nothing": True}))


class One:
    """One core, whose messages and writes a test makes itself."""

    def __init__(
        self,
        *entries: pb.Entry,
        hard: pb.HardState | None = None,
        me: Incarnation = A,
        timing: Timing = Timing(),  # noqa: B008 - it is frozen
    ) -> None:
        first = entry(1, members=members(A, B, C))
        self.core = RaftMember(
            timing, DurableState(me, hard or pb.HardState(term=1), entries=[first, *entries]), 1
        )
        self.now = 1000.0
        self.actions: list[api.Action] = []
        self.do()

    def do(self, *events: api.Event, wait: float = 0.0) -> list[api.Action]:
        """Step; keep what is to be done."""
        self.now += wait
        self.actions = self.core.step(self.now, events)
        return self.actions

    def hear(self, sender: Incarnation, term: int, **body) -> list[api.Action]:
        """Let a message come."""
        return self.do(api.MessageReceived(sender, pb.Message(term=term, **body)))

    def sent(self, kind: str) -> list[pb.Message]:
        """Return the messages of a kind in the last step."""
        return [a.message for a in self.of(api.Send) if a.message.WhichOneof("body") == kind]

    def of(self, kind: type) -> list:
        """Return the actions of a kind in the last step."""
        return [a for a in self.actions if isinstance(a, kind)]

    def written(self) -> list[api.Action]:
        """Say that all writes are done."""
        return self.do(api.WriteCompleted(self.core.pending_writes.last_number))

    def lead(self) -> "One":
        """Have it elected by b."""
        self.do(wait=2000.0)
        asked = self.core.term + 1
        self.hear(B, asked, vote_answer=pb.VoteAnswer(before=True, granted=True))
        self.written()
        self.hear(B, asked, vote_answer=pb.VoteAnswer(granted=True))
        assert self.core.role == "leader"
        return self

    def agree(self) -> "One":
        """Have all that it has on its disk, and b's."""
        self.written()
        self.hear(
            B,
            self.core.term,
            append_answer=pb.AppendAnswer(
                took=True, index=self.core.log.last_index, round=self.core.leader_state.round
            ),
        )
        assert self.core.commit_index == self.core.log.last_index
        return self

    def propose(self, token: int, size: int = 1) -> list[api.ProposalOutcome]:
        """Propose; return what is answered at once."""
        self.do(api.Propose(token, pb.Command(client=1, number=token, body=bytes(size))))
        return self.of(api.ProposalOutcome)


def founded(count: int = 3, seed: int = 1) -> Cluster:
    """Return a council whose members all vote."""
    cluster = Cluster(seed, count)
    cluster.start_all()
    cluster.await_leader()
    cluster.run(cluster.now + 3000.0)
    assert sorted(cluster.voters()) == sorted(cluster.nodes)
    return cluster


# Elections


def test_who_hears_a_leader_votes_only_on_its_word():
    one = One()
    one.hear(B, 2, append=pb.Append(before_index=1, before_term=1))
    one.written()
    vote = pb.Vote(last_index=9, last_term=2)
    one.hear(C, 3, vote=vote)
    assert not one.actions or not one.sent("vote_answer")
    assert one.core.term == 2
    one.hear(C, 3, vote=pb.Vote(before=True, last_index=9, last_term=2))
    assert not one.sent("vote_answer")[0].vote_answer.granted
    stranger = Incarnation("z", b"z")
    one.hear(stranger, 99, vote=pb.Vote(last_index=9, last_term=2, handed_over=True))
    assert one.core.term == 2 and one.core.leader == B
    one.hear(C, 3, vote=pb.Vote(last_index=9, last_term=2, handed_over=True))
    one.written()
    assert one.sent("vote_answer")[0].vote_answer.granted and one.core.term == 3


def test_a_stranger_neither_leads_nor_deposes_while_a_leader_is_heard():
    one = One()
    one.hear(B, 2, append=pb.Append(before_index=1, before_term=1))
    one.hear(OLD, 50, append=pb.Append(before_index=1, before_term=1))
    assert (one.core.term, one.core.leader, one.core.counters["stranger"]) == (2, B, 1)
    leader = One().lead()
    leader.hear(OLD, 50, append_answer=pb.AppendAnswer())
    assert leader.core.role == "leader" and leader.core.counters["stranger"] == 1


def test_asking_before_a_term_costs_no_term():
    one = One()
    for _ in range(5):
        one.do(wait=2000.0)
        assert one.sent("vote")[0].vote.before
    assert one.core.term == 1 and not one.of(api.Write)


def test_a_leader_that_hears_no_majority_steps_down_and_says_that_it_does_not_know():
    one = One().lead().agree()
    assert not one.propose(7)
    one.do(api.ReadRequested(8))
    one.do(wait=100.0)
    one.do(wait=250.0)
    assert one.core.role == "follower"
    assert [(a.token, a.refusal) for a in one.of(api.ProposalOutcome)] == [(7, pb.Result.UNKNOWN)]
    assert [(a.token, a.refusal) for a in one.of(api.ReadOutcome)] == [(8, pb.Result.NO_LEADER)]
    assert one.propose(9)[0].refusal == pb.Result.NO_LEADER


def test_a_follower_names_the_leader():
    one = One()
    one.hear(B, 2, append=pb.Append(before_index=1, before_term=1))
    (answer,) = one.propose(1)
    assert (answer.refusal, answer.leader) == (pb.Result.NOT_LEADER, "b")
    one.do(api.ReadRequested(2))
    assert (one.of(api.ReadOutcome)[0].refusal, one.of(api.ReadOutcome)[0].leader) == (
        pb.Result.NOT_LEADER,
        "b",
    )


# The log


def test_one_that_lacks_entries_says_where_to_try():
    one = One(entry(2, 1), entry(3, 3), entry(4, 3), hard=pb.HardState(term=3))
    one.hear(B, 4, append=pb.Append(before_index=9, before_term=4))
    one.written()
    assert one.sent("append_answer")[0].append_answer.index == 4
    one.hear(B, 4, append=pb.Append(before_index=4, before_term=2))
    answer = one.sent("append_answer")[0].append_answer
    assert (answer.took, answer.index) == (False, 2)  # no entry of term 3 can be the leader's


@pytest.mark.parametrize(
    "append",
    [
        pb.Append(before_index=1, before_term=1, entries=[entry(3, 2)]),
        pb.Append(before_index=1, before_term=1, entries=[entry(2, 2), entry(3, 1)]),
        pb.Append(before_index=1, before_term=1, entries=[entry(2, 9)]),
    ],
)
def test_malformed_entries_are_dropped_and_counted(append):
    one = One()
    one.hear(B, 2, append=append)
    assert one.core.log.last_index == 1 and one.core.counters["malformed"] == 1


def test_bytes_that_make_no_sense_move_nothing_that_is_agreed():
    random = Random(1)
    few = (0, 1, 2, 3, 5, 1 << 40, (1 << 64) - 1)

    def fill(message, depth: int = 0):
        for field in message.DESCRIPTOR.fields:
            if random.random() < (0.3 if depth else 0.1):
                continue
            kind = {
                field.TYPE_UINT64: lambda: random.choice(few),
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
        one = One(entry(2), entry(3))
        if part % 2:
            one.lead().agree()
        for _ in range(100):
            before = one.core.commit_index, one.core.term
            fine = one.core.log.slice(1, one.core.commit_index)
            sender, message = random.choice((A, B, C, OLD)), fill(pb.Message())
            one.do(api.MessageReceived(sender, message), wait=random.choice((0, 50)))
            assert (one.core.commit_index, one.core.term) >= before and one.core.log.slice(
                1, before[0]
            ) == fine


def test_a_timer_that_comes_early_is_wanted_again():
    one = One()
    at = one.core.election_deadline_ms
    one.now = at - 1e-6
    assert one.do(api.TimerFired()) == [api.Timer(at)]


def test_messages_without_sense_are_dropped_and_counted():
    one = One()
    one.do(api.MessageReceived(B, pb.Message(term=1)))
    one.hear(A, 5, append=pb.Append())
    one.hear(B, 1 << 63, append=pb.Append())
    one.hear(B, 0, join=pb.Join(member=pb.Member(name="c", life=b"c")))
    assert one.core.counters["malformed"] == 4 and one.core.term == 1


def test_entries_under_way_are_bounded_by_count_and_bytes():
    one = One(timing=Timing(max_append_bytes=1000, max_in_flight_appends=3)).lead().agree()
    for token in range(30):
        one.propose(token, 400)
    one.do()
    assert one.core.leader_state.peers[B].next_index < one.core.log.last_index
    assert len(one.core.leader_state.peers[B].in_flight) == 3
    one.written()
    sent = one.core.leader_state.peers[B].next_index - 1
    one.hear(B, 2, append_answer=pb.AppendAnswer(took=True, index=sent, round=1))
    assert all(len(m.append.entries) <= 2 for m in one.sent("append"))


# Bounds


def test_proposals_and_reads_that_wait_are_bounded():
    one = One(timing=replace(TIGHT_TIMING, max_log_bytes=1 << 20)).lead().agree()
    for token in range(TIGHT_TIMING.max_pending_proposals):
        assert not one.propose(token)
    assert one.propose(99)[0].refusal == pb.Result.TOO_MANY
    one.do(*(api.ReadRequested(token) for token in range(TIGHT_TIMING.max_pending_reads + 1)))
    assert [a.refusal for a in one.of(api.ReadOutcome)] == [pb.Result.TOO_MANY]


def test_a_log_that_no_snapshot_shortens_takes_nothing_more():
    one = One(timing=Timing(max_log_bytes=1000)).lead().agree()
    assert not one.propose(1, 800) and not one.of(api.TakeSnapshot)
    one.propose(2, 400)
    assert one.of(api.TakeSnapshot)
    answers = [answer for token in range(3, 9) for answer in one.propose(token, 400)]
    assert {answer.refusal for answer in answers} == {pb.Result.TOO_MANY} and one.core.log.size_bytes < 3000
    one.agree()
    one.do(api.Snapshot(one.core.delivered_index, 0, b"state"))
    one.written()
    assert one.core.log.size_bytes < 1000 and not one.propose(50)


def test_a_state_too_large_for_a_snapshot_is_not_asked_for_at_each_step(monkeypatch):
    monkeypatch.setattr("fennelwind.raft.snapshots.MAX_SNAPSHOT_BYTES", 4)
    one = One(timing=Timing(max_log_bytes=1000, retained_entries=10)).lead().agree()
    one.propose(1, 800)
    one.propose(2, 400)
    assert one.of(api.TakeSnapshot)
    one.do(api.Snapshot(one.core.delivered_index, 0, b"state"))
    assert one.core.counters["snapshot too large"] == 1 and not one.of(api.TakeSnapshot)
    one.propose(3, 100)
    one.agree()
    assert not one.of(api.TakeSnapshot)


def test_a_command_that_is_too_large_is_refused_at_the_door():
    assert One().lead().agree().propose(1, MAX_COMMAND_BYTES + 2000)[0].refusal == pb.Result.TOO_LARGE


def test_messages_held_back_by_a_slow_disk_are_bounded():
    one = One()
    one.hear(B, 5, vote=pb.Vote(last_index=9, last_term=1))
    for _ in range(2000):
        one.hear(C, 4, vote=pb.Vote(last_index=9, last_term=1))
    assert len(one.core.pending_writes.held_sends) == 1024 and one.core.counters["held too many"] == 977


# A disk that takes no writes


def test_a_mute_member_promises_nothing_and_goes_on_listening():
    one = One()
    one.hear(B, 2, append=pb.Append(before_index=1, before_term=1, entries=[entry(2, 2)]))
    one.do(api.WriteFailed(1, True))
    assert one.core.role == "mute" and not one.of(api.Send)
    one.hear(B, 2, append=pb.Append(before_index=2, before_term=2, commit=3, entries=[entry(3, 2)], round=1))
    answer = one.sent("append_answer")[0].append_answer
    assert (answer.took, answer.cannot_write) == (False, True)
    assert [e.index for e in one.of(api.Apply)[0].entries] == [1, 2, 3]
    one.hear(C, 3, vote=pb.Vote(last_index=9, last_term=2, handed_over=True))
    one.do(wait=5000.0)
    assert not one.sent("vote_answer") and not one.sent("vote") and not one.of(api.Write)


def test_a_leader_that_cannot_write_hands_over_first():
    one = One().lead().agree()
    one.propose(1)
    one.do(api.WriteFailed(one.core.pending_writes.last_number, True))
    assert [(a.to, a.message.WhichOneof("body")) for a in one.of(api.Send)] == [(B, "take_over")]
    assert one.of(api.ProposalOutcome)[0].refusal == pb.Result.UNKNOWN and one.core.role == "mute"


def test_a_leader_whose_disk_stands_while_others_agree_hands_over():
    one = One().lead().agree()
    took = one.propose(1) or pb.AppendAnswer(took=True, index=one.core.log.last_index)
    for life in (B, C):
        one.hear(life, one.core.term, append_answer=took)
    assert one.core.commit_index == one.core.log.last_index and not one.of(api.ProposalOutcome)[0].refusal
    for _ in range(59):  # ten election time-outs are over with the 60th
        one.do(wait=50.0)
        took.round = one.core.leader_state.round
        one.hear(B, one.core.term, append_answer=took)
        assert not one.sent("take_over")
    one.do(wait=50.0)
    assert one.sent("take_over") and [s.to for s in one.of(api.Send)][-1] == B


def test_a_failed_write_that_landed_all_the_same_is_found():
    one = One(entry(2), entry(3))
    one.hear(B, 2, append=pb.Append(before_index=1, before_term=1, entries=[entry(2, 2)]))
    one.do(api.WriteFailed(1, False))
    first = entry(1, members=members(A, B, C))
    one.do(api.StorageRecovered(DurableState(A, pb.HardState(term=2), entries=[first, entry(2, 2)])))
    assert one.core.pending_writes.durable_index == 2 and not one.of(api.Write)[0].entries
    old = One(entry(2), entry(3))
    old.hear(B, 2, append=pb.Append(before_index=1, before_term=1, entries=[entry(2, 2)]))
    old.do(api.WriteFailed(1, False))
    old.do(api.StorageRecovered(DurableState(A, pb.HardState(term=1), entries=[first, entry(2), entry(3)])))
    (write,) = old.of(api.Write)
    assert (
        write.truncate_after == 1
        and list(write.entries) == [entry(2, 2)]
        and old.core.pending_writes.durable_index == 1
    )


def test_a_folder_that_lost_all_gets_snapshot_and_log_again():
    one = (
        One(*(entry(i) for i in range(2, 20)), timing=replace(TIGHT_TIMING, max_log_bytes=100)).lead().agree()
    )
    one.do(api.Snapshot(15, 0, b"state"))
    one.written()
    one.do(api.WriteFailed(one.core.pending_writes.last_number + 1, False))
    one.do(api.StorageRecovered(DurableState(A, pb.HardState())))
    image = DiskImage()
    for write in one.of(api.Write):
        image.apply_write(write)
    assert image.snapshot_head.index == 15 and image.snapshot == b"state" and image.entries[-1].index == 20
    assert image.hard_state.term == 2 and image.hard_state.voted_name == "a"


# Handing over


def test_a_leader_hands_over_to_who_lacks_nothing_and_refuses_meanwhile():
    one = One().lead().agree()
    one.propose(1)
    one.do(api.TransferLeadership())
    assert not one.sent("take_over")
    assert one.propose(2)[0].refusal == pb.Result.NO_LEADER
    one.agree()
    assert [a.to for a in one.of(api.Send) if a.message.HasField("take_over")] == [B]
    one.do(wait=100.0)
    one.hear(B, 2, append_answer=pb.AppendAnswer(took=True, index=3, round=3))
    one.do(wait=250.0)
    assert one.core.role == "leader" and not one.propose(3)  # nobody took it: it goes on


def test_who_is_asked_takes_over_at_once_but_not_from_a_stranger():
    one = One()
    one.hear(B, 2, append=pb.Append(before_index=1, before_term=1))
    one.written()
    one.hear(C, 2, take_over=pb.TakeOver())
    assert one.core.term == 2
    one.hear(B, 2, take_over=pb.TakeOver())
    one.written()
    assert {m.vote.handed_over for m in one.sent("vote")} == {True} and one.core.term == 3


def test_a_leader_ends_and_another_leads_within_one_round():
    cluster = founded()
    leader, began = cluster.leader(), cluster.now
    cluster.deliver(leader.name, api.TransferLeadership())
    while cluster.leader() is leader or cluster.leader() is None:
        cluster.run(cluster.now + 1.0)
    assert cluster.now - began < 300.0  # no election time-out was waited for


# Members


def test_nobody_founds_while_another_has_not_said_that_it_is_empty():
    cluster = Cluster(1, 3)
    for name in ("a", "b"):
        cluster.start(name)
    cluster.run(5000.0)
    assert cluster.leader() is None
    cluster.start("c")
    cluster.await_leader()


def test_a_word_of_long_ago_that_there_is_no_record_founds_none():
    stated = [pb.Member(name=name, address=name) for name in "abc"]
    core = RaftMember(Timing(), DurableState(A), 1, stated)
    empty = {
        life: api.MessageReceived(
            life, pb.Message(join_answer=pb.JoinAnswer(word=pb.JoinAnswer.EMPTY, life=life.id))
        )
        for life in (B, C)
    }
    core.step(0.0, [empty[B]])
    core.step(60_000.0, [empty[C]])  # b may have been let in by others meanwhile
    assert core.is_empty
    core.step(60_100.0, [empty[B]])
    assert not core.is_empty


def test_a_founder_alone_takes_no_command():
    cluster = Cluster(1, 3)
    cluster.start_all()
    cluster.await_leader()
    for name in ("b", "c"):
        cluster.crash(name)
    token = cluster.propose("a")
    cluster.run(cluster.now + 100.0)
    assert token not in cluster.committed_indexes and len(cluster.voters()) <= 1


def test_a_member_that_returns_empty_is_another_and_catches_up_before_it_votes():
    cluster = founded()
    index = cluster.commit_command()
    name = next(n for n in cluster.nodes if n != cluster.leader().name)
    cluster.wipe(name)
    cluster.start(name)
    node = cluster.nodes[name]
    while node.me not in cluster.leader().core.log.configuration.voters:
        assert node.core.role in ("outside", "learner")
        cluster.run(cluster.now + 5.0)
    assert node.applied >= index and len(cluster.voters()) == 3


def test_members_change_one_at_a_time():
    one = One().lead()
    change = api.ChangeMembership(1, add=pb.Member(name="d", life=b"d"))
    one.do(change)
    assert (
        one.of(api.ProposalOutcome)[0].refusal == pb.Result.TOO_MANY
    )  # nothing of the own term is agreed yet
    one.agree()
    one.do(change)
    assert (
        not one.of(api.ProposalOutcome) and Incarnation("d", b"d") in one.core.log.configuration.incarnations
    )
    assert Incarnation("d", b"d") not in one.core.log.configuration.voters
    one.do(api.ChangeMembership(2, remove=C))
    assert one.of(api.ProposalOutcome)[0].refusal == pb.Result.TOO_MANY
    one.agree()
    one.do(api.ChangeMembership(3, remove=Incarnation("x", b"x")))
    assert one.of(api.ProposalOutcome)[0].refusal == pb.Result.NOT_MEMBER
    one.do(api.ChangeMembership(4, add=pb.Member(name="b", life=b"b2")))
    assert one.of(api.ProposalOutcome)[0].refusal == pb.Result.NOT_MEMBER  # b lives, and its name is taken


def test_a_removed_member_falls_silent():
    cluster = founded()
    name = next(n for n in cluster.nodes if n != cluster.leader().name)
    cluster.block(name, cluster.leader().name)  # it never hears of it
    cluster.run(cluster.now + 1000.0)
    cluster.change_membership(cluster.leader().name, remove=cluster.nodes[name].me)
    cluster.run(cluster.now + 10_000.0)
    cluster.blocked_links.clear()
    cluster.run(cluster.now + 2000.0)
    term, votes = cluster.leader().core.term, cluster.counts["vote"]
    cluster.run(cluster.now + 3000.0)
    assert (cluster.leader().core.term, cluster.counts["vote"]) == (term, votes)


def test_who_was_told_of_its_removal_asks_again_once_it_is_let_in_again():
    one = One()
    one.hear(B, 1, join_answer=pb.JoinAnswer(word=pb.JoinAnswer.REFUSED, leader="b", life=b"b"))
    one.do(wait=2000.0)
    assert not one.sent("vote")
    again = entry(2, 2, members=members(A, C))
    one.hear(C, 2, append=pb.Append(before_index=1, before_term=1, entries=[again]))
    one.written()
    one.do(wait=2000.0)
    assert one.sent("vote")


def test_a_leader_that_removes_itself_leads_until_it_is_agreed():
    cluster = founded()
    leader = cluster.leader()
    cluster.change_membership(leader.name, remove=leader.me)
    cluster.run(cluster.now + 3000.0)
    assert cluster.leader() is not leader and len(cluster.voters()) == 2
    cluster.commit_command()


# Snapshots, time, reads


def test_a_snapshot_goes_on_where_it_broke_off():
    cluster = founded()
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


def test_a_snapshot_that_is_not_sound_is_asked_for_anew():
    one = One()
    head = pb.SnapshotHead(index=9, term=2, members=members(A, B, C), size=4, crc32c=1)
    one.hear(B, 2, piece=pb.Piece(head=head, data=b"abcd"))
    one.written()
    assert one.sent("piece_answer")[0].piece_answer.offset == 0 and one.core.snapshots.head is None
    huge = pb.SnapshotHead(index=9, term=2, size=1 << 40)
    one.hear(B, 2, piece=pb.Piece(head=huge, data=b"abcd"))
    assert one.core.counters["malformed"] == 1


def test_time_alone_is_written_while_something_is_due_and_only_then():
    cluster = founded()
    index = cluster.commit_command()
    cluster.run(cluster.now + 3000.0)
    assert cluster.leader().applied == index
    cluster.expiry_interval_ms = 1000
    cluster.commit_command()
    began, clock = len(cluster.checks.committed), cluster.leader().clock_ms
    cluster.run(cluster.now + 4000.0)
    passed = cluster.leader().clock_ms - clock
    assert 3000 < passed < 5000 and 8 < len(cluster.checks.committed) - began < 20


def test_a_read_waits_for_a_round_that_began_after_it():
    one = One().lead().agree()
    one.hear(B, 2, append_answer=pb.AppendAnswer(took=True, index=2, round=one.core.leader_state.round))
    one.do(api.ReadRequested(1))
    number = one.sent("append")[0].append.round
    one.hear(B, 2, append_answer=pb.AppendAnswer(took=True, index=2, round=number - 1))
    assert not one.of(api.ReadOutcome)
    one.hear(B, 2, append_answer=pb.AppendAnswer(took=True, index=2, round=number))
    assert [(a.token, a.index) for a in one.of(api.ReadOutcome)] == [(1, 2)]


# All together


@pytest.mark.parametrize("first", range(0, 100, 20))
def test_days_by_seed(first):
    for seed in range(first, first + 20):
        play(seed, part=0.2)


@pytest.mark.parametrize("start", STARTS)
def test_search(start):
    search = Search()
    bounds = replace(STARTS[start], failures=STARTS[start].crashes)
    assert run(search, getattr(search, start)(bounds), 3000, 100)["states"] >= 3000
