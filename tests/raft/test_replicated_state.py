"""The record: commands done once, bounded memory of clients, snapshots that give the same bytes."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from sum_machine import Sum

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft import replicated_state as record_module
from fennelwind.raft.replicated_state import MAX_COMMAND_BYTES, ReplicatedState


class Lapsing(Sum):
    """Lets everything lapse 100 ms after the first."""

    lapse_ms = 100


def entry(index, clock_ms=0, **command):
    return pb.Entry(term=1, index=index, clock_ms=clock_ms, command=pb.Command(machine="sum", **command))


def opened(record=None):
    record = record or ReplicatedState([Lapsing()])
    return record, record.apply(pb.Entry(term=1, index=record.index + 1, command=pb.Command())).index


def test_a_command_asked_twice_is_done_once_and_answered_alike():
    record, client = opened()
    first = record.apply(entry(2, client=client, number=1, body=b"5"))
    again = record.apply(entry(3, client=client, number=1, body=b"5"))
    assert first == again and first.body == b"5" and record.fact("sum", "") == 5


def test_what_was_heard_is_not_kept_and_never_done_anew():
    record, client = opened()
    record.apply(entry(2, client=client, number=1, body=b"5"))
    record.apply(entry(3, client=client, number=2, heard=1, body=b"5"))
    assert record.apply(entry(4, client=client, number=1, body=b"5")).refusal == pb.Result.NUMBER_GONE
    assert record.fact("sum", "") == 10


def test_a_forgotten_client_is_refused_not_done_anew(monkeypatch):
    monkeypatch.setattr(record_module, "MAX_CLIENTS", 2)
    record, first = opened()
    record.apply(entry(2, client=first, number=1, body=b"5"))
    _, second = opened(record)
    record.apply(entry(4, client=first, number=2, body=b"1"))  # so the second is the quiet one
    _, third = opened(record)
    assert record.apply(entry(6, client=second, number=1, body=b"5")).refusal == pb.Result.CLIENT_GONE
    assert record.apply(entry(7, client=first, number=1, body=b"5")).body == b"5"
    assert record.apply(entry(8, client=third, number=1, body=b"1")).body == b"7"


@pytest.mark.parametrize(
    "command, refusal",
    [
        (pb.Command(machine="sum", body=b"x"), pb.Result.UNREADABLE),
        (pb.Command(machine="none", body=b"1"), pb.Result.NO_MACHINE),
        (pb.Command(machine="sum", body=b"1" * (MAX_COMMAND_BYTES + 1)), pb.Result.TOO_LARGE),
    ],
)
def test_what_cannot_be_done_changes_nothing(command, refusal):
    record, command.client = opened()
    command.number = 1
    assert record.apply(pb.Entry(term=1, index=2, command=command)).refusal == refusal
    assert record.fact("sum", "") == 0


def test_answers_kept_for_one_client_are_bounded():
    record, client = opened()
    for number in range(1, 70):
        last = record.apply(entry(1 + number, client=client, number=number, body=b"1"))
    assert last.refusal == pb.Result.TOO_MANY and record.fact("sum", "") == 64
    last = record.apply(entry(80, client=client, number=69, heard=64, body=b"1"))
    assert last.body == b"65"  # asked again with room, it is done


def test_what_is_due_lapses_ahead_of_the_entry_and_time_never_goes_back():
    record, client = opened()
    record.apply(entry(2, 50, client=client, number=1, body=b"5"))
    assert record.next_expiry_clock_ms() == 150
    record.apply(pb.Entry(term=1, index=3, clock_ms=200, nothing=True))
    assert (record.fact("sum", ""), record.next_expiry_clock_ms()) == (0, None)
    record.apply(entry(4, 100, client=client, number=2, body=b"5"))
    assert record.next_expiry_clock_ms() == 300


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.integers(0, 4), st.integers(1, 4), st.integers(0, 3), st.integers(0, 60)), max_size=40
    ),
    st.integers(0, 40),
)
def test_a_restored_record_goes_on_as_the_one_that_never_stopped(steps, cut):
    entries = [
        entry(i + 1, sum(s[3] for s in steps[: i + 1]), client=c, number=n, heard=h, body=b"%d" % n)
        if c
        else pb.Entry(index=i + 1, command=pb.Command())
        for i, (c, n, h, _) in enumerate(steps)
    ]
    whole, first, second = (
        ReplicatedState([Lapsing()]),
        ReplicatedState([Lapsing()]),
        ReplicatedState([Lapsing()]),
    )
    told = [whole.apply(e) for e in entries]
    for e in entries[:cut]:
        first.apply(e)
    second.restore(first.snapshot())
    assert [second.apply(e) for e in entries[cut:]] == told[cut:]
    assert second.snapshot() == whole.snapshot()


class Later(Lapsing):
    """A machine that came with the second level."""

    name, kinds, since = "later", ("later",), 2


def command(index, machine, body, client=0, number=0):
    return pb.Entry(
        term=1,
        index=index,
        clock_ms=index * 50,
        command=pb.Command(machine=machine, body=body, client=client, number=number),
    )


def test_members_of_two_versions_make_the_same_state_until_all_know_the_next_level():
    older, newer = (
        ReplicatedState([Lapsing()], supported_level=1),
        ReplicatedState([Later(), Lapsing()], supported_level=2),
    )
    entries = [
        pb.Entry(term=1, index=1, command=pb.Command()),
        command(2, "later", b"4", 1, 1),
        command(3, "sum", b"4", 1, 2),
        command(4, "record", b"3"),
        command(5, "record", b"x"),
    ]
    for one in entries:
        assert older.apply(one) == newer.apply(one)
    assert older.snapshot() == newer.snapshot() and older.level == newer.level == 1
    assert newer.fact("later", "") == 0 and newer.fact("level", "") == 1
    for _ in range(2):  # asked twice, raised once
        assert newer.apply(command(newer.index + 1, "record", b"2")).body == b"2"
    assert newer.apply(command(8, "later", b"4", 1, 3)).body == b"4"
    again = ReplicatedState([Later(), Lapsing()], supported_level=2)
    again.restore(newer.snapshot())
    assert again.snapshot() == newer.snapshot() and again.fact("later", "") == 4
    older.restore(newer.snapshot())
    assert older.level > older.supported_level  # it can't go on, and whoever carries it out sees that
