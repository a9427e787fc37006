"""What carries the council out, in virtual time: frames, askers, members with a core that is alone."""

from contextlib import suppress
from random import Random

import pytest
from sums import Sum

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


class Alone:
    """A core that agrees with itself at once; `way` makes it refuse, forget to answer, or send elsewhere."""

    def __init__(self, log):
        self.entries, self.way, self.leader, self.asked = log, "", "", 0
        self.log = Log(None, ())

    def step(self, now, events):
        actions = [] if events else [RoleChanged("leader", 1, "a")]
        for event in events:
            if isinstance(event, Propose):
                self.asked += 1
                if self.way == "refuses":
                    actions.append(ProposalOutcome(event.token, Result.NO_LEADER))
                    continue
                if self.way == "elsewhere":
                    actions.append(ProposalOutcome(event.token, Result.NOT_LEADER, leader=self.leader))
                    continue
                entry = cpb.Entry(
                    term=1, index=len(self.entries) + 1, clock_ms=int(now), command=event.command
                )
                self.entries.append(entry)
                actions.append(Apply((entry,)))
                if self.way != "silent":
                    actions.append(ProposalOutcome(event.token, index=entry.index))
            elif isinstance(event, ReadRequested):
                actions.append(ReadOutcome(event.token, index=len(self.entries)))
            elif isinstance(event, Applied):
                assert event.index <= len(self.entries)
        return actions


class Folder:
    """A store that holds nothing."""

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


def member(loop, name="a", log=None, fleet="f", said=lambda *_: None):
    place = ClusterIdentity(fleet, name, HERE, listen=HERE[name], timing=Timing())
    core = Alone([] if log is None else log)
    folder = Folder(Incarnation(name, name.encode()))
    made = RaftHost(loop, place, ReplicatedState([Sum()]), folder, lambda _: core, "1", said)
    made.start()
    loop.sleep(5.0)
    return made


def asker(loop, names="a", fleet="f", name="me", seed="1"):
    return RaftClient(loop, fleet, name, {n: HERE[n] for n in names}, seed)


def play(main, seed=1):
    """Run `main(loop)`; a task that broke is a failure."""
    loop, broke = SimLoop(seed), []
    loop.on_error = lambda task, exc: broke.append((task.name, exc))
    value = loop.run(lambda: main(loop))
    assert not broke
    return value


def test_commands_are_numbered_done_once_and_read_back():
    def main(loop):
        there, ours = member(loop), asker(loop)
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


def test_a_command_whose_answer_was_lost_is_asked_again_and_done_once():
    def main(loop):
        there, ours = member(loop), asker(loop)
        ours.propose("sum", b"1", 1000)
        there.core.way = "silent"
        loop.after(1500.0, lambda: setattr(there.core, "way", ""))
        assert ours.propose("sum", b"5", 9000) == b"6"
        assert there.core.asked > 3 and there.state.replicated_state.machines["sum"].sum == 6

    play(main)


def test_a_command_that_nobody_tells_of_ends_unknown_and_its_number_is_not_used_again():
    def main(loop):
        there, ours = member(loop), asker(loop)
        ours.propose("sum", b"1", 1000)
        there.core.way = "silent"
        with pytest.raises(OutcomeUnknownError):
            ours.propose("sum", b"5", 1200)
        there.core.way = ""
        assert ours.propose("sum", b"1", 3000) == b"7"  # done, though nobody could tell
        assert ours.read("sum", within_ms=1000).state == b"7"

    play(main)


def test_many_commands_at_once_stay_within_what_the_record_keeps():
    def main(loop):
        there, ours = member(loop), asker(loop)
        tasks = [loop.spawn(ours.propose, "sum", b"1", 5000) for _ in range(300)]
        answers = sorted(int(task.join()) for task in tasks)
        assert answers == list(range(1, 301))
        kept = [client.kept for client in there.state.replicated_state._clients.values()]
        assert max(map(len, kept)) <= 64

    play(main)


def test_a_forgotten_client_opens_anew_unless_something_may_have_been_done():
    def main(loop):
        there, ours = member(loop), asker(loop)
        ours.propose("sum", b"1", 1000)
        there.state.replicated_state._clients.clear()
        assert ours.propose("sum", b"1", 1000) == b"2"
        there.core.way = "silent"
        loop.after(500.0, there.state.replicated_state._clients.clear)
        loop.after(900.0, lambda: setattr(there.core, "way", ""))
        with pytest.raises(OutcomeUnknownError):
            ours.propose("sum", b"1", 9000)
        assert ours.propose("sum", b"1", 1000) == b"4"

    play(main)


def test_whoever_does_not_lead_names_who_does():
    def main(loop):
        log = []
        members = [member(loop, name, log) for name in "abc"]
        for there in members[1:]:
            there.core.way, there.core.leader = "elsewhere", "a"
        for seed in "1234":
            ours = asker(loop, "abc", seed=seed)
            began = loop.now()
            ours.propose("sum", b"1", 5000)
            assert loop.now() - began < 50.0  # no wait where somebody knew
        members[0].core.way = "refuses"
        with pytest.raises(NoLeaderError) as exc:
            ours.propose("sum", b"1", 3000)
        assert exc.value.facts["again_ms"] > 0 and exc.value.advice

    play(main)


def test_no_member_at_all_is_told_in_time():
    def main(loop):
        ours = asker(loop, "abc")
        began = loop.now()
        with pytest.raises(ClusterUnavailableError) as exc:
            ours.propose("sum", b"1", 2000)
        assert type(exc.value) is ClusterUnavailableError and exc.value.facts["again_ms"] > 0
        assert loop.now() - began <= 2001.0
        member(loop, "b")
        assert ours.propose("sum", b"1", 5000) == b"1"

    play(main)


def test_a_watch_ends_with_a_change_or_with_its_time():
    def main(loop):
        member(loop)
        ours, other = asker(loop), asker(loop, name="other", seed="2")
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


def test_watches_of_askers_that_have_gone_take_nobodys_place(monkeypatch):
    monkeypatch.setattr("fennelwind.cluster.applied_state.MAX_WATCHES", 3)

    def main(loop):
        host = member(loop)
        lost, ours = asker(loop, name="lost"), asker(loop, seed="2")
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


def test_another_fleet_and_another_name_are_refused_and_told():
    def main(loop):
        said = []
        there = member(loop, said=lambda what, facts: said.append(facts.get("code")))
        with pytest.raises(FleetMismatchError):
            asker(loop, fleet="g").propose("sum", b"1", 1500)
        assert "council-fleet-mismatch" in said and there.server.counts["refused"] >= 1
        with pytest.raises(MemberNameMismatchError):
            RaftClient(loop, "f", "me", {"b": HERE["a"]}, "1").propose("sum", b"1", 1500)
        assert there.core.asked == 0

    play(main)


def test_bytes_of_strangers_are_bounded_dropped_and_counted():
    def main(loop):
        there = member(loop)
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
        assert asker(loop).propose("sum", b"1", 1000) == b"1" and silent

    play(main)


def test_who_asks_nothing_for_long_is_let_go_and_comes_back():
    def main(loop):
        there, ours = member(loop), asker(loop)
        ours.propose("sum", b"1", 1000)
        loop.sleep(300_000.0)
        assert not there.server.clients and there.server.counts["idle"] == 1
        assert ours.propose("sum", b"1", 1000) == b"2"

    play(main)


@pytest.mark.parametrize(
    "frame", [pb.Frame(pulse=True), pb.Frame(told=pb.Told()), pb.Frame(council=b"\xff"), pb.Frame()]
)
def test_what_an_asker_may_not_say_ends_its_connection(frame):
    def main(loop):
        there = member(loop)
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
def test_whatever_bytes_come_the_member_goes_on(life):
    """Sessions with flipped, cut, doubled and drawn bytes: each ends or is answered, and breaks nothing."""
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
        there = member(loop)
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
        assert asker(loop).propose("sum", b"5", 1000)

    play(main)


def test_asks_that_cannot_be_read_are_refused_one_by_one():
    def main(loop):
        member(loop)
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


def test_members_that_meet_hear_one_another_and_meet_again():
    def main(loop):
        heard = []
        one, two = member(loop, "a"), member(loop, "b")
        two.message_received = lambda sender, message: heard.append((sender, message.term))
        loop.sleep(3000.0)
        one.peers.send(Incarnation("b", b"b"), cpb.Message(term=3))
        one.peers.send(Incarnation("b", b"another"), cpb.Message(term=4))
        loop.sleep(50.0)
        assert heard == [(Incarnation("a", b"a"), 3)] and one.peers.counts["unsent"] == 1
        two.close()
        loop.sleep(6000.0)
        assert not one.peers.by_name["b"].is_connected
        again = member(loop, "b")
        again.message_received = lambda sender, message: heard.append((sender, message.term))
        loop.sleep(20.0)  # it has opened its way here, so the way there is tried at once
        one.peers.send(Incarnation("b", b""), cpb.Message(term=5))
        loop.sleep(50.0)
        assert heard[1:] == [(Incarnation("a", b"a"), 5)]

    play(main)


def test_an_outbox_drops_the_oldest_that_may_be_lost_first():
    def main(loop):
        box = Outbox(loop, max_bytes=100)
        assert box.put(b"a" * 40, True) and box.put(b"b" * 40) and box.put(b"c" * 40, True)
        assert (len(box), box.queued_bytes, box.dropped) == (2, 80, 1)
        assert not box.put(b"d" * 70)
        assert (len(box), box.dropped) == (1, 3)  # what could be lost made room, though not enough

    play(main)


def test_frames_come_out_as_they_went_in_however_they_are_cut():
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


def test_a_member_that_broke_is_gone_and_the_loop_goes_on():
    loop, broke, said = SimLoop(1), [], []
    loop.on_error = lambda task, exc: broke.append((task.name, type(exc).__name__))

    def main():
        there = member(loop, said=lambda what, facts: said.append(what))
        ours = asker(loop)
        ours.propose("sum", b"1", 1000)
        there.state.replicated_state.machines["sum"].apply = lambda *_: 1 / 0
        with pytest.raises(OutcomeUnknownError):
            ours.propose("sum", b"1", 3000)
        assert there.role == "closed" and not loop.listeners

    loop.run(main)
    assert broke == [("keeper: member", "ZeroDivisionError")] and "raft host failed" in said


def test_a_door_that_closes_lets_all_go():
    def main(loop):
        there = member(loop)
        assert isinstance(there.server, ClusterServer)
        ours = asker(loop)
        ours.propose("sum", b"1", 1000)
        there.close()
        with pytest.raises(ClusterUnavailableError):
            ours.read("sum", within_ms=500)
        loop.sleep(100.0)
        assert not there.server.clients

    play(main)
