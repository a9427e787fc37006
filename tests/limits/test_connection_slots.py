"""Which connections a frontend closes for a new one, and which are overdue; no loop is needed for it."""

from hypothesis import given
from hypothesis import strategies as st

from fennelwind.limits.connection_slots import (
    IDLE_TIMEOUT_MS,
    MUTE_TIMEOUT_MS,
    SILENT_TIMEOUT_MS,
    ConnectionSlots,
)


def test_mute_connections_are_closed_first_then_the_longest_idle_and_new_ones_last():
    slots = ConnectionSlots(9)
    for connection in "abcd":
        slots.add(connection, 0.0)
    for at, connection in enumerate("ab"):
        slots.message_received(connection, 10.0 + at)
    assert slots.choose_to_close(100.0) == ("a", "idle")
    assert slots.choose_to_close(MUTE_TIMEOUT_MS + 1.0) == ("c", "mute")
    slots.remove("c")
    slots.remove("d")
    slots.mark_busy("a")
    assert slots.choose_to_close(500.0) == ("b", "idle")
    slots.mark_idle("a", 600.0)
    slots.bytes_received("b", 600.0, True)
    assert slots.choose_to_close(700.0) == ("a", "idle")
    slots.mark_busy("a")
    assert slots.choose_to_close(700.0) is None
    slots.add("e", 700.0)
    assert slots.choose_to_close(701.0) == ("e", "new") and len(slots) == 3


def test_overdue_connections_have_their_reason_and_busy_ones_are_never_overdue():
    slots = ConnectionSlots(9)
    for connection in "abcd":
        slots.add(connection, 0.0)
    slots.message_received("a", 1.0)
    slots.message_received("b", 1.0)
    slots.mark_busy("b")
    slots.bytes_received("b", 2.0, True)
    slots.bytes_received("c", 2.0, True)
    assert list(slots.overdue(SILENT_TIMEOUT_MS)) == []
    closed = []
    for connection, reason in slots.overdue(SILENT_TIMEOUT_MS + 3.0):
        slots.remove(connection)
        closed.append((connection, reason))
    assert closed == [("c", "half_sent"), ("d", "silent")]
    assert list(slots.overdue(IDLE_TIMEOUT_MS + 2.0)) == [("a", "idle")]
    slots.message_received("a", IDLE_TIMEOUT_MS)
    assert list(slots.overdue(IDLE_TIMEOUT_MS + 2.0)) == []


CALLS = st.sampled_from(["came", "heard", "owes", "owes_nothing", "half", "whole", "left", "room", "sweep"])


@given(st.lists(st.tuples(CALLS, st.integers(0, 4), st.floats(0.0, 3000.0)), max_size=60))
def test_each_connection_has_one_slot_and_busy_ones_keep_theirs(calls):
    slots, now, here = ConnectionSlots(3), 0.0, set()
    for call, connection, later in calls:
        now += later
        if call == "came" and connection not in here:
            slots.add(connection, now)
            here.add(connection)
        elif call == "room":
            chosen = slots.choose_to_close(now)
            assert (chosen is None) == (
                not slots.new_since_ms and not set(slots.idle_since_ms) - set(slots.partial_since_ms)
            )
            assert chosen is None or chosen[0] in here - slots.busy
        elif call == "sweep":
            for gone, _ in list(slots.overdue(now)):
                assert gone not in slots.busy
                slots.remove(gone)
                here.discard(gone)
        elif connection in here:
            match call:
                case "heard":
                    slots.message_received(connection, now)
                case "owes":
                    slots.mark_busy(connection)
                case "owes_nothing":
                    slots.mark_idle(connection, now)
                case "half" | "whole":
                    slots.bytes_received(connection, now, call == "half")
                case "left":
                    slots.remove(connection)
                    here.discard(connection)
        assert len(slots) == len(here) and set(slots.partial_since_ms) <= here
        for table in (slots.new_since_ms, slots.idle_since_ms):
            assert list(table.values()) == sorted(table.values())
