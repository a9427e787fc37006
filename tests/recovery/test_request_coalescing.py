"""Which requests join an open request, how many may wait for one, and which run again."""

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
    result = request_coalescing.should_run_again(
        is_rejected=is_rejected,
        is_failed=is_failed,
        is_idempotent=is_idempotent,
        execution_deadline_ms=10.0,
        answer_deadline_ms=deadline_ms,
    )
    assert result is runs_again


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
    fingerprints = [request_fingerprint(*arguments) for arguments in (parts, *others)]
    assert len(set(fingerprints)) == len(fingerprints) and fingerprints[0] == request_fingerprint(*parts)
    assert request_fingerprint(*parts, "", {"a": "1", "b": "2"}) == request_fingerprint(
        *parts, "", {"b": "2", "a": "1"}
    )


def test_waiting_entries_are_returned_in_order_and_the_last_to_leave_ends_the_request():
    coalescer = RequestCoalescer()
    request = coalescer.track(b"n", "query", "first")
    assert coalescer.find(b"n") is request
    assert coalescer.join(request, "second") and coalescer.join(request, "third")
    assert not coalescer.leave(request, "first")
    assert coalescer.forget("query") == (b"n", ["second", "third"])
    assert coalescer.find(b"n") is None and coalescer.forget("query") == (b"", []) and not len(coalescer)
    again = coalescer.track(b"n", "query 2", "first")
    assert coalescer.leave(again, "first") and coalescer.joined == 2


def test_open_requests_and_their_waiters_are_limited(monkeypatch):
    monkeypatch.setattr(request_coalescing, "MAX_REQUESTS", 2)
    monkeypatch.setattr(request_coalescing, "MAX_WAITERS", 3)
    coalescer = RequestCoalescer()
    one = coalescer.track(b"1", 1, "a")
    coalescer.track(b"2", 2, "a")
    assert coalescer.track(b"3", 3, "a") is None and coalescer.untracked == 1
    assert (
        coalescer.join(one, "b")
        and coalescer.join(one, "c")
        and not coalescer.join(one, "d")
        and coalescer.rejected == 1
    )
