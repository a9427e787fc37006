"""Who keeps his place at a front; no loop is needed for it."""

from hypothesis import given
from hypothesis import strategies as st

from fennelwind.limits.connection_slots import IDLE_MS, MUTE_MS, SILENT_MS, Places


def test_the_mute_go_first_then_the_longest_idle_and_who_just_came_last():
    places = Places(9)
    for who in "abcd":
        places.came(who, 0.0)
    for at, who in enumerate("ab"):
        places.heard(who, 10.0 + at)
    assert places.for_room(100.0) == ("a", "idle")
    assert places.for_room(MUTE_MS + 1.0) == ("c", "mute")
    places.left("c")
    places.left("d")
    places.owes("a")
    assert places.for_room(500.0) == ("b", "idle")
    places.owes_nothing("a", 600.0)
    places.sent("b", 600.0, True)
    assert places.for_room(700.0) == ("a", "idle")
    places.owes("a")
    assert places.for_room(700.0) is None
    places.came("e", 700.0)
    assert places.for_room(701.0) == ("e", "new") and len(places) == 3


def test_the_overdue_are_told_with_their_reason_and_the_busy_never():
    places = Places(9)
    for who in "abcd":
        places.came(who, 0.0)
    places.heard("a", 1.0)
    places.heard("b", 1.0)
    places.owes("b")
    places.sent("b", 2.0, True)
    places.sent("c", 2.0, True)
    assert list(places.overdue(SILENT_MS)) == []
    told = []
    for who, why in places.overdue(SILENT_MS + 3.0):
        places.left(who)
        told.append((who, why))
    assert told == [("c", "half_sent"), ("d", "silent")]
    assert list(places.overdue(IDLE_MS + 2.0)) == [("a", "idle")]
    places.heard("a", IDLE_MS)
    assert list(places.overdue(IDLE_MS + 2.0)) == []


CALLS = st.sampled_from(["came", "heard", "owes", "owes_nothing", "half", "whole", "left", "room", "sweep"])


@given(st.lists(st.tuples(CALLS, st.integers(0, 4), st.floats(0.0, 3000.0)), max_size=60))
def test_everyone_has_one_place_and_the_busy_keep_theirs(calls):
    places, now, here = Places(3), 0.0, set()
    for call, who, later in calls:
        now += later
        if call == "came" and who not in here:
            places.came(who, now)
            here.add(who)
        elif call == "room":
            chosen = places.for_room(now)
            assert (chosen is None) == (not places.unheard and not set(places.idle) - set(places.half))
            assert chosen is None or chosen[0] in here - places.busy
        elif call == "sweep":
            for gone, _ in list(places.overdue(now)):
                assert gone not in places.busy
                places.left(gone)
                here.discard(gone)
        elif who in here:
            match call:
                case "heard":
                    places.heard(who, now)
                case "owes":
                    places.owes(who)
                case "owes_nothing":
                    places.owes_nothing(who, now)
                case "half" | "whole":
                    places.sent(who, now, call == "half")
                case "left":
                    places.left(who)
                    here.discard(who)
        assert len(places) == len(here) and set(places.half) <= here
        for table in (places.unheard, places.idle):
            assert list(table.values()) == sorted(table.values())
