"""Which requests join an open one, how many, and which run again."""

import pytest

from fennelwind.recovery import request_coalescing
from fennelwind.recovery.request_coalescing import RequestCoalescer, request_fingerprint


@pytest.mark.parametrize(
    ("is_rejected", "is_failed", "is_idempotent", "deadline_ms", "runs_again"),
    [
        (True, False, False, 11.0, True),
        (True, False, False, 10.0, False),
        (False, True, True, 11.0, True),
        (False, True, False, 11.0, False),
        (False, False, True, 11.0, False),
        (False, True, True, 9.0, False),
    ],
)
def test_an_entry_with_more_time_runs_again_where_the_class_allows(
    is_rejected, is_failed, is_idempotent, deadline_ms, runs_again
):
    found = request_coalescing.should_run_again(
        is_rejected=is_rejected,
        is_failed=is_failed,
        is_idempotent=is_idempotent,
        execution_deadline_ms=10.0,
        answer_deadline_ms=deadline_ms,
    )
    assert found is runs_again


def test_requests_of_other_users_tenants_classes_and_statements_have_other_fingerprints():
    parts = ("ann", 0, 1, "r1", "select 1")
    others = [
        ("bo", 0, 1, "r1", "select 1"),
        ("ann", 1, 1, "r1", "select 1"),
        ("ann", 0, 2, "r1", "select 1"),
        ("ann", 0, 1, "r2", "select 1"),
        ("ann", 0, 1, "r1", "select 2"),
        ("an", 0, 1, "nr1", "select 1"),
        ("ann0", 1, 1, "r1", "select 1"),
        ("ann", 0, 1, "r1s", "elect 1"),
    ]
    others += [
        (*parts, "sales"),
        (*parts, "", {"a": "1"}),
        (*parts, "", {"a": "2"}),
        (*parts, "a", {"1": ""}),
    ]
    names = [request_fingerprint(*each) for each in (parts, *others)]
    assert len(set(names)) == len(names) and names[0] == request_fingerprint(*parts)
    assert request_fingerprint(*parts, "", {"a": "1", "b": "2"}) == request_fingerprint(
        *parts, "", {"b": "2", "a": "1"}
    )


def test_joined_entries_get_the_end_in_order_and_the_last_to_leave_ends_the_request():
    known = RequestCoalescer()
    request = known.track(b"n", "query", "first")
    assert known.find(b"n") is request
    assert known.join(request, "second") and known.join(request, "third")
    assert not known.leave(request, "first")
    assert known.forget("query") == (b"n", ["second", "third"])
    assert known.find(b"n") is None and known.forget("query") == (b"", []) and not len(known)
    again = known.track(b"n", "query 2", "first")
    assert known.leave(again, "first") and known.joined == 2


def test_open_requests_and_their_waiters_are_limited(monkeypatch):
    monkeypatch.setattr(request_coalescing, "MAX_REQUESTS", 2)
    monkeypatch.setattr(request_coalescing, "MAX_WAITERS", 3)
    known = RequestCoalescer()
    one = known.track(b"1", 1, "a")
    known.track(b"2", 2, "a")
    assert known.track(b"3", 3, "a") is None and known.untracked == 1
    assert known.join(one, "b") and known.join(one, "c") and not known.join(one, "d") and known.rejected == 1
