"""Raft host, server and client in virtual time: frames, clients, and members with a single-member core."""

from contextlib import suppress
from random import Random

import pytest
from sum_machine import Sum

from fennelwind.cluster import keeper_pb2 as pb
from fennelwind.cluster.errors import (
    ClusterUnavailableError,
    CommandRejectedError,
    FleetMismatchError,
    InvalidFrameError,
    MemberNameMismatchError,
    NoLeaderError,
    OutcomeUnknownError,
)
from fennelwind.cluster.framing import LENGTH, MAX_FRAME_BYTES, FrameReader, Outbox, encode_frame
from fennelwind.cluster.identity import PROTOCOL, ClusterIdentity
from fennelwind.cluster.raft_client import RaftClient
from fennelwind.cluster.raft_host import RaftHost
from fennelwind.cluster.server import MAX_UNIDENTIFIED, ClusterServer
from fennelwind.loop import Address, SimLoop, StreamReset
from fennelwind.raft import council_pb2 as cpb
from fennelwind.raft.log import Log
from fennelwind.raft.messages import (
    Applied,
    Apply,
    DurableState,
    Incarnation,
    ProposalOutcome,
    Propose,
    ReadOutcome,
    ReadRequested,
    RoleChanged,
    Timing,
)
from fennelwind.raft.replicated_state import ReplicatedState

Result = cpb.Result
HERE = {name: Address("127.0.0.1", 7000 + n) for n, name in enumerate("abc")}


class SingleMemberCore:
    """A core that commits at once; `mode` makes it refuse, leave unanswered, or name another leader."""

    def __init__(self, log):
        self.entries, self.mode, self.leader, self.proposals = log, "", "", 0
        self.log = Log(None, ())

    def step(self, now, events):
        actions = [] if events else [RoleChanged("leader", 1, "a")]
        for event in events:
            if isinstance(event, Propose):
                self.proposals += 1
                if self.mode == "refuses":
                    actions.append(ProposalOutcome(event.token, Result.NO_LEADER))
                    continue
                if self.mode == "elsewhere":
                    actions.append(ProposalOutcome(event.token, Result.NOT_LEADER, leader=self.leader))
                    continue
                entry = cpb.Entry(
                    term=1, index=len(self.entries) + 1, clock_ms=int(now), command=event.command
                )
                self.entries.append(entry)
                actions.append(Apply((entry,)))
                if self.mode != "silent":
                    actions.append(ProposalOutcome(event.token, index=entry.index))
            elif isinstance(event, ReadRequested):
                actions.append(ReadOutcome(event.token, index=len(self.entries)))
            elif isinstance(event, Applied):
                assert event.index <= len(self.entries)
        return actions


class EmptyStorage:
    """Storage that keeps nothing."""

    def __init__(self, me):
        self.me = me

    def open(self):
        return DurableState(self.me)

    def write(self, writes):
        pass

    def is_space_low(self):
        return False

    def close(self):
        pass


def start_member(loop, name="a", log=None, fleet="f", log_lines=lambda *_: None):
    place = ClusterIdentity(fleet, name, HERE, listen=HERE[name], timing=Timing())
    core = SingleMemberCore([] if log is None else log)
    folder = EmptyStorage(Incarnation(name, name.encode()))
    made = RaftHost(loop, place, ReplicatedState([Sum()]), folder, lambda _: core, "1", log_lines)
    made.start()
    loop.sleep(5.0)
    return made


def make_client(loop, names="a", fleet="f", name="me", seed="1"):
    return RaftClient(loop, fleet, name, {n: HERE[n] for n in names}, seed)


def play(main, seed=1):
    """Run `main(loop)`; fail if any task raised an exception."""
    loop, errors = SimLoop(seed), []
    loop.on_error = lambda task, exc: errors.append((task.name, exc))
    value = loop.run(lambda: main(loop))
    assert not errors
    return value


def test_commands_are_applied_once_and_read_back():
    def main(loop):
        there, ours = start_member(loop), make_client(loop)
        assert [ours.propose("sum", b"%d" % n, 1000) for n in (1, 2, 3)] == [b"1", b"3", b"6"]
        seen = ours.read("sum", within_ms=1000)
        assert (seen.state, seen.index, seen.revision) == (b"6", 4, 4)
        assert ours.fact("sum", "sum", "", within_ms=1000).fact == 6
        with pytest.raises(CommandRejectedError, match="UNREADABLE no number"):
            ours.propose("sum", b"x", 1000)
        with pytest.raises(CommandRejectedError, match="NO_MACHINE"):
            ours.propose("moon", b"x", 1000)
        assert there.state.replicated_state.machines["sum"].sum == 6

    play(main)


def test_command_with_lost_answer_is_retried_and_applied_once():
    def main(loop):
        there, ours = start_member(loop), make_client(loop)
        ours.propose("sum", b"1", 1000)
        there.core.mode = "silent"
        loop.after(1500.0, lambda: setattr(there.core, "mode", ""))
        assert ours.propose("sum", b"5", 9000) == b"6"
        assert there.core.proposals > 3 and there.state.replicated_state.machines["sum"].sum == 6

    play(main)


def test_unanswered_command_ends_unknown_and_its_number_is_not_reused():
    def main(loop):
        there, ours = start_member(loop), make_client(loop)
        ours.propose("sum", b"1", 1000)
        there.core.mode = "silent"
        with pytest.raises(OutcomeUnknownError):
            ours.propose("sum", b"5", 1200)
        there.core.mode = ""
        assert ours.propose("sum", b"1", 3000) == b"7"  # applied, though its outcome was unknown
        assert ours.read("sum", within_ms=1000).state == b"7"

    play(main)


def test_concurrent_commands_stay_within_retained_results():
    def main(loop):
        there, ours = start_member(loop), make_client(loop)
        tasks = [loop.spawn(ours.propose, "sum", b"1", 5000) for _ in range(300)]
        answers = sorted(int(task.join()) for task in tasks)
        assert answers == list(range(1, 301))
        kept = [client.results for client in there.state.replicated_state._clients.values()]
        assert max(map(len, kept)) <= 64

    play(main)


def test_expired_client_reopens_unless_a_command_may_have_been_applied():
    def main(loop):
        there, ours = start_member(loop), make_client(loop)
        ours.propose("sum", b"1", 1000)
        there.state.replicated_state._clients.clear()
        assert ours.propose("sum", b"1", 1000) == b"2"
        there.core.mode = "silent"
        loop.after(500.0, there.state.replicated_state._clients.clear)
        loop.after(900.0, lambda: setattr(there.core, "mode", ""))
        with pytest.raises(OutcomeUnknownError):
            ours.propose("sum", b"1", 9000)
        assert ours.propose("sum", b"1", 1000) == b"4"

    play(main)


def test_followers_name_the_leader():
    def main(loop):
        log = []
        members = [start_member(loop, name, log) for name in "abc"]
        for there in members[1:]:
            there.core.mode, there.core.leader = "elsewhere", "a"
        for seed in "1234":
            ours = make_client(loop, "abc", seed=seed)
            began = loop.now()
            ours.propose("sum", b"1", 5000)
            assert loop.now() - began < 50.0  # no backoff once the leader is known
        members[0].core.mode = "refuses"
        with pytest.raises(NoLeaderError) as exc:
            ours.propose("sum", b"1", 3000)
        assert exc.value.facts["again_ms"] > 0 and exc.value.advice

    play(main)


def test_unavailable_group_is_reported_within_the_deadline():
    def main(loop):
        ours = make_client(loop, "abc")
        began = loop.now()
        with pytest.raises(ClusterUnavailableError) as exc:
            ours.propose("sum", b"1", 2000)
        assert type(exc.value) is ClusterUnavailableError and exc.value.facts["again_ms"] > 0
        assert loop.now() - began <= 2001.0
        start_member(loop, "b")
        assert ours.propose("sum", b"1", 5000) == b"1"

    play(main)


def test_watch_ends_with_a_change_or_its_timeout():
    def main(loop):
        start_member(loop)
        ours, other = make_client(loop), make_client(loop, name="other", seed="2")
        ours.propose("sum", b"1", 1000)
        seen = ours.read("sum", within_ms=1000)
        loop.after(700.0, lambda: loop.spawn(other.propose, "sum", b"4", 1000))
        began = loop.now()
        changed = other.watch("sum", seen.revision, wait_ms=5000)
        assert changed.state == b"5" and changed.revision > seen.revision and loop.now() - began < 1000.0
        began = loop.now()
        same = ours.watch("sum", changed.revision, wait_ms=3000)
        assert same.state == b"5" and 3000.0 <= loop.now() - began < 3500.0

    play(main)


def test_watches_of_disconnected_clients_are_removed_when_full(monkeypatch):
    monkeypatch.setattr("fennelwind.cluster.applied_state.MAX_WATCHES", 3)

    def main(loop):
        host = start_member(loop)
        lost, ours = make_client(loop, name="lost"), make_client(loop, seed="2")
        tasks = [loop.spawn(lambda: lost.watch("sum", 9, wait_ms=50_000)) for _ in range(3)]
        loop.sleep(100.0)
        assert host.state.watch_count == 3
        for task in tasks:
            task.cancel()
        lost.close()
        loop.sleep(100.0)
        loop.after(300.0, lambda: loop.spawn(ours.propose, "sum", b"4", 1000))
        assert ours.watch("sum", 0, wait_ms=5000).state == b"4" and host.state.watch_count == 0

    play(main)


def test_wrong_fleet_and_wrong_member_name_are_rejected_and_reported():
    def main(loop):
        log_lines = []
        there = start_member(loop, log_lines=lambda what, facts: log_lines.append(facts.get("code")))
        with pytest.raises(FleetMismatchError):
            make_client(loop, fleet="g").propose("sum", b"1", 1500)
        assert "council-fleet-mismatch" in log_lines and there.server.counts["refused"] >= 1
        with pytest.raises(MemberNameMismatchError):
            RaftClient(loop, "f", "me", {"b": HERE["a"]}, "1").propose("sum", b"1", 1500)
        assert there.core.proposals == 0

    play(main)


def test_invalid_frames_and_silent_connections_are_dropped_and_counted():
    def main(loop):
        there = start_member(loop)
        for data in (b"GET / HTTP/1.1\r\n\r\n", LENGTH.pack(5) + b"\xff" * 5, LENGTH.pack(1 << 31)):
            stream = loop.connect(HERE["a"])
            stream.write(data)
            with pytest.raises(StreamReset):
                while stream.read():
                    pass
        assert there.server.counts["dropped"] == 3
        silent = [loop.connect(HERE["a"]) for _ in range(MAX_UNIDENTIFIED + 5)]
        loop.sleep(100.0)
        assert there.server.counts["too many"] == 5
        loop.sleep(5000.0)
        assert there.server.counts["silent"] == MAX_UNIDENTIFIED and there.server.unidentified == 0
        assert make_client(loop).propose("sum", b"1", 1000) == b"1" and silent

    play(main)


def test_idle_client_is_disconnected_and_reconnects():
    def main(loop):
        there, ours = start_member(loop), make_client(loop)
        ours.propose("sum", b"1", 1000)
        loop.sleep(300_000.0)
        assert not there.server.clients and there.server.counts["idle"] == 1
        assert ours.propose("sum", b"1", 1000) == b"2"

    play(main)


@pytest.mark.parametrize(
    "frame", [pb.Frame(pulse=True), pb.Frame(told=pb.Told()), pb.Frame(council=b"\xff"), pb.Frame()]
)
def test_disallowed_frames_close_the_connection(frame):
    def main(loop):
        there = start_member(loop)
        for life in (b"", b"x"):
            stream = loop.connect(HERE["a"])
            stream.write(
                encode_frame(pb.Hello(protocol=PROTOCOL, fleet="f", name="s", life=life))
                + encode_frame(frame)
            )
            with pytest.raises(StreamReset):
                while stream.read():
                    pass
        assert there.server.counts["dropped"] == 2 and not there.server.members and not there.server.clients

    play(main)


@pytest.mark.parametrize("life", [b"", b"x"])
def test_member_survives_corrupted_input(life):
    """Guard against crashes by flipped, cut, repeated and random bytes: each session ends or is answered."""
    random = Random(11)
    message = cpb.Message(term=1, append=cpb.Append(entries=[cpb.Entry(term=1, index=1, nothing=True)]))
    frames = (
        [pb.Frame(council=message.SerializeToString())] * 3
        if life
        else [
            pb.Frame(ask=pb.Ask(token=1, command=cpb.Command(machine="sum", body=b"1").SerializeToString())),
            pb.Frame(ask=pb.Ask(token=2, view=pb.View(machine="sum", fresh=True))),
            pb.Frame(ask=pb.Ask(token=3, view=pb.View(machine="sum", after=9, wait_ms=50))),
        ]
    )
    hello = encode_frame(pb.Hello(protocol=PROTOCOL, fleet="f", name="s", life=life))
    good = hello + b"".join(map(encode_frame, frames))

    def main(loop):
        there = start_member(loop)
        for _ in range(150):
            data = bytearray(good)
            for _ in range(random.randrange(1, 4)):
                at = random.randrange(len(data))
                match random.randrange(4):
                    case 0:
                        data[at] ^= 1 << random.randrange(8)
                    case 1:
                        del data[at : at + random.randrange(1, 9)]
                    case 2:
                        data[at:at] = data[at : at + random.randrange(1, 40)]
                    case 3:
                        data[at:at] = random.randbytes(random.randrange(1, 20))
                data = data or bytearray(b"x")
            stream = loop.connect(HERE["a"])
            with suppress(StreamReset):
                stream.write(bytes(data))
            loop.sleep(5.0)
            stream.close()
        loop.sleep(3000.0)
        counts = there.server.counts
        assert counts["dropped"] > 20 and counts["taken"] > 20 and not there.server.unidentified
        assert not there.server.clients and not there.server.members
        assert make_client(loop).propose("sum", b"5", 1000)

    play(main)


def test_unreadable_requests_are_rejected_individually():
    def main(loop):
        start_member(loop)
        stream = loop.connect(HERE["a"])
        stream.write(encode_frame(pb.Hello(protocol=PROTOCOL, fleet="f", name="s")))
        reader = FrameReader(stream)
        assert reader.hello().name == "a"
        for number, ask in enumerate((pb.Ask(command=b"\xff"), pb.Ask(), pb.Ask(view=pb.View(machine="no")))):
            ask.token = number
            stream.write(encode_frame(pb.Frame(ask=ask)))
            told = reader.frame().told
            assert told.token == number and Result.FromString(told.result).refusal in (
                Result.UNREADABLE,
                Result.NO_MACHINE,
            )

    play(main)


def test_members_exchange_messages_and_reconnect():
    def main(loop):
        heard = []
        one, two = start_member(loop, "a"), start_member(loop, "b")
        two.message_received = lambda sender, message: heard.append((sender, message.term))
        loop.sleep(3000.0)
        one.peers.send(Incarnation("b", b"b"), cpb.Message(term=3))
        one.peers.send(Incarnation("b", b"another"), cpb.Message(term=4))
        loop.sleep(50.0)
        assert heard == [(Incarnation("a", b"a"), 3)] and one.peers.counts["unsent"] == 1
        two.close()
        loop.sleep(6000.0)
        assert not one.peers.by_name["b"].is_connected
        again = start_member(loop, "b")
        again.message_received = lambda sender, message: heard.append((sender, message.term))
        loop.sleep(20.0)  # its connection here triggers a reconnect to it at once
        one.peers.send(Incarnation("b", b""), cpb.Message(term=5))
        loop.sleep(50.0)
        assert heard[1:] == [(Incarnation("a", b"a"), 5)]

    play(main)


def test_outbox_drops_oldest_droppable_frames_first():
    def main(loop):
        box = Outbox(loop, max_bytes=100)
        assert box.put(b"a" * 40, True) and box.put(b"b" * 40) and box.put(b"c" * 40, True)
        assert (len(box), box.queued_bytes, box.dropped) == (2, 80, 1)
        assert not box.put(b"d" * 70)
        assert (len(box), box.dropped) == (1, 3)  # droppable frames were dropped, though that was not enough

    play(main)


def test_frames_are_read_back_however_the_bytes_are_split():
    def main(loop):
        listener = loop.listen(HERE["a"])
        near = loop.connect(HERE["a"])
        reader = FrameReader(listener.accept())
        frames = [pb.Frame(council=bytes([n]) * (n * 37)) for n in range(1, 30)]
        data = b"".join(map(encode_frame, frames))
        loop.spawn(lambda: [near.write(data[n : n + 11]) for n in range(0, len(data), 11)] and near.close())
        assert [reader.frame() for _ in frames] == frames and reader.frame() is None
        far = loop.connect(HERE["a"])
        reader = FrameReader(listener.accept())
        far.write(LENGTH.pack(MAX_FRAME_BYTES + 1))
        with pytest.raises(InvalidFrameError):
            reader.frame()

    play(main)


def test_member_with_a_defect_closes_and_the_loop_continues():
    loop, errors, log_lines = SimLoop(1), [], []
    loop.on_error = lambda task, exc: errors.append((task.name, type(exc).__name__))

    def main():
        there = start_member(loop, log_lines=lambda what, facts: log_lines.append(what))
        ours = make_client(loop)
        ours.propose("sum", b"1", 1000)
        there.state.replicated_state.machines["sum"].apply = lambda *_: 1 / 0
        with pytest.raises(OutcomeUnknownError):
            ours.propose("sum", b"1", 3000)
        assert there.role == "closed" and not loop.listeners

    loop.run(main)
    assert errors == [("keeper: member", "ZeroDivisionError")] and "raft host failed" in log_lines


def test_closed_member_disconnects_its_clients():
    def main(loop):
        there = start_member(loop)
        assert isinstance(there.server, ClusterServer)
        ours = make_client(loop)
        ours.propose("sum", b"1", 1000)
        there.close()
        with pytest.raises(ClusterUnavailableError):
            ours.read("sum", within_ms=500)
        loop.sleep(100.0)
        assert not there.server.clients

    play(main)
