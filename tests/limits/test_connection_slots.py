"""Which connections a frontend closes for a new one, and which are overdue. Without an event loop."""

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
    for offset_ms, connection in enumerate("ab"):
        slots.message_received(connection, 10.0 + offset_ms)
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


def test_overdue_connections_have_their_reason_and_busy_connections_are_never_overdue():
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


CALLS = st.sampled_from(["add", "message", "busy", "idle", "partial", "complete", "remove", "slot", "sweep"])


@given(st.lists(st.tuples(CALLS, st.integers(0, 4), st.floats(0.0, 3000.0)), max_size=60))
def test_each_connection_has_one_slot_and_busy_connections_keep_theirs(calls):
    slots, now, connected = ConnectionSlots(3), 0.0, set()
    for call, connection, elapsed_ms in calls:
        now += elapsed_ms
        if call == "add" and connection not in connected:
            slots.add(connection, now)
            connected.add(connection)
        elif call == "slot":
            chosen = slots.choose_to_close(now)
            assert (chosen is None) == (
                not slots.new_since_ms and not set(slots.idle_since_ms) - set(slots.partial_since_ms)
            )
            assert chosen is None or chosen[0] in connected - slots.busy
        elif call == "sweep":
            for overdue, _ in list(slots.overdue(now)):
                assert overdue not in slots.busy
                slots.remove(overdue)
                connected.discard(overdue)
        elif connection in connected:
            match call:
                case "message":
                    slots.message_received(connection, now)
                case "busy":
                    slots.mark_busy(connection)
                case "idle":
                    slots.mark_idle(connection, now)
                case "partial" | "complete":
                    slots.bytes_received(connection, now, call == "partial")
                case "remove":
                    slots.remove(connection)
                    connected.discard(connection)
        assert len(slots) == len(connected) and set(slots.partial_since_ms) <= connected
        for since_ms in (slots.new_since_ms, slots.idle_since_ms):
            assert list(since_ms.values()) == sorted(since_ms.values())
