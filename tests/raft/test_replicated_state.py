"""The replicated state: commands applied once, limited client sessions, deterministic snapshots."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from sum_machine import Sum

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft import replicated_state as replicated_state_module
from fennelwind.raft.replicated_state import MAX_COMMAND_BYTES, ReplicatedState


class ExpiringSum(Sum):
    """Resets the sum 100 ms after the first command."""

    lapse_ms = 100


def entry(index, clock_ms=0, **command):
    return pb.Entry(term=1, index=index, clock_ms=clock_ms, command=pb.Command(machine="sum", **command))


def with_client(state=None):
    state = state or ReplicatedState([ExpiringSum()])
    return state, state.apply(pb.Entry(term=1, index=state.index + 1, command=pb.Command())).index


def test_retried_command_is_applied_once_with_the_same_result():
    state, client = with_client()
    first = state.apply(entry(2, client=client, number=1, body=b"5"))
    again = state.apply(entry(3, client=client, number=1, body=b"5"))
    assert first == again and first.body == b"5" and state.fact("sum", "") == 5


def test_acknowledged_command_is_not_applied_again():
    state, client = with_client()
    state.apply(entry(2, client=client, number=1, body=b"5"))
    state.apply(entry(3, client=client, number=2, heard=1, body=b"5"))
    assert state.apply(entry(4, client=client, number=1, body=b"5")).refusal == pb.Result.NUMBER_GONE
    assert state.fact("sum", "") == 10


def test_command_of_a_dropped_client_session_is_refused(monkeypatch):
    monkeypatch.setattr(replicated_state_module, "MAX_CLIENTS", 2)
    state, first = with_client()
    state.apply(entry(2, client=first, number=1, body=b"5"))
    _, second = with_client(state)
    state.apply(
        entry(4, client=first, number=2, body=b"1")
    )  # so the second client is the least recently used
    _, third = with_client(state)
    assert state.apply(entry(6, client=second, number=1, body=b"5")).refusal == pb.Result.CLIENT_GONE
    assert state.apply(entry(7, client=first, number=1, body=b"5")).body == b"5"
    assert state.apply(entry(8, client=third, number=1, body=b"1")).body == b"7"


@pytest.mark.parametrize(
    "command, refusal",
    [
        (pb.Command(machine="sum", body=b"x"), pb.Result.UNREADABLE),
        (pb.Command(machine="none", body=b"1"), pb.Result.NO_MACHINE),
        (pb.Command(machine="sum", body=b"1" * (MAX_COMMAND_BYTES + 1)), pb.Result.TOO_LARGE),
    ],
)
def test_refused_command_changes_nothing(command, refusal):
    state, command.client = with_client()
    command.number = 1
    assert state.apply(pb.Entry(term=1, index=2, command=command)).refusal == refusal
    assert state.fact("sum", "") == 0


def test_results_kept_for_one_client_are_limited():
    state, client = with_client()
    for number in range(1, 70):
        last = state.apply(entry(1 + number, client=client, number=number, body=b"1"))
    assert last.refusal == pb.Result.TOO_MANY and state.fact("sum", "") == 64
    last = state.apply(entry(80, client=client, number=69, heard=64, body=b"1"))
    assert last.body == b"65"  # retried with space for its result, it is applied


def test_due_expiries_precede_the_entry_and_the_clock_never_goes_back():
    state, client = with_client()
    state.apply(entry(2, 50, client=client, number=1, body=b"5"))
    assert state.next_expiry_clock_ms() == 150
    state.apply(pb.Entry(term=1, index=3, clock_ms=200, nothing=True))
    assert (state.fact("sum", ""), state.next_expiry_clock_ms()) == (0, None)
    state.apply(entry(4, 100, client=client, number=2, body=b"5"))
    assert state.next_expiry_clock_ms() == 300


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.integers(0, 4), st.integers(1, 4), st.integers(0, 3), st.integers(0, 60)), max_size=40
    ),
    st.integers(0, 40),
)
def test_restored_state_continues_like_the_original(steps, cut):
    entries = [
        entry(i + 1, sum(s[3] for s in steps[: i + 1]), client=c, number=n, heard=h, body=b"%d" % n)
        if c
        else pb.Entry(index=i + 1, command=pb.Command())
        for i, (c, n, h, _) in enumerate(steps)
    ]
    uninterrupted, first, second = (
        ReplicatedState([ExpiringSum()]),
        ReplicatedState([ExpiringSum()]),
        ReplicatedState([ExpiringSum()]),
    )
    expected = [uninterrupted.apply(e) for e in entries]
    for e in entries[:cut]:
        first.apply(e)
    second.restore(first.snapshot())
    assert [second.apply(e) for e in entries[cut:]] == expected[cut:]
    assert second.snapshot() == uninterrupted.snapshot()


class SecondLevelSum(ExpiringSum):
    """A state machine that requires the second level."""

    name, kinds, since = "later", ("later",), 2


def command(index, machine, body, client=0, number=0):
    return pb.Entry(
        term=1,
        index=index,
        clock_ms=index * 50,
        command=pb.Command(machine=machine, body=body, client=client, number=number),
    )


def test_versions_compute_the_same_state_until_the_level_is_raised():
    older, newer = (
        ReplicatedState([ExpiringSum()], supported_level=1),
        ReplicatedState([SecondLevelSum(), ExpiringSum()], supported_level=2),
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
    for _ in range(2):  # requested twice, raised once
        assert newer.apply(command(newer.index + 1, "record", b"2")).body == b"2"
    assert newer.apply(command(8, "later", b"4", 1, 3)).body == b"4"
    again = ReplicatedState([SecondLevelSum(), ExpiringSum()], supported_level=2)
    again.restore(newer.snapshot())
    assert again.snapshot() == newer.snapshot() and again.fact("later", "") == 4
    older.restore(newer.snapshot())
    assert older.level > older.supported_level  # it can't apply entries any more, which its host detects
