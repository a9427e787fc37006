"""Fair shares of connections and sessions, and the byte rates of users."""

from fennelwind.limits.admission import Admission, AdmissionLimits, SharedLimit


def test_each_holder_and_the_total_are_limited():
    limit = SharedLimit("sessions", 10, 6)
    assert [limit.acquire("ann") for _ in range(6)] == [None] * 6
    assert limit.acquire("ann") == "ann has 6 sessions open, which is the limit for one"
    assert [limit.acquire("bo") for _ in range(4)] == [None] * 4
    assert limit.acquire("cy") == "10 sessions are open, which is the limit"
    limit.release("ann")
    assert limit.acquire("cy") is None and limit.rejected == 2
    for holder, count in (("ann", 5), ("bo", 4), ("cy", 1)):
        for _ in range(count):
            limit.release(holder)
    assert limit.total == 0 and not limit.in_use


def test_when_the_total_is_nearly_used_up_only_holders_below_an_even_share_get_more():
    limit = SharedLimit("connections", 100, 90)
    assert all(limit.acquire("heavy") is None for _ in range(80))
    assert limit.acquire("heavy") == "80 connections are open, and heavy has 80 of them"
    assert all(limit.acquire(f"other {i}") is None for i in range(20))
    without_holder_limit = SharedLimit("connections", 100, 100)  # behind a proxy all come from one address
    assert all(without_holder_limit.acquire("proxy") is None for _ in range(100))


def test_bytes_over_the_rate_of_a_user_delay_only_that_user():
    limits = Admission(AdmissionLimits(1, 1, 1, 1, bytes_per_s_by_user=1000.0))
    assert limits.consume_bytes("ann", 2000, 0.0) == 0.0  # two seconds' worth is accepted at once
    assert limits.consume_bytes("ann", 500, 0.0) == 500.0
    assert limits.consume_bytes("bo", 500, 0.0) == 0.0
    assert limits.consume_bytes("ann", 100, 1000.0) == 0.0  # 500 refilled, 100 used: 400 remain
    assert limits.consume_bytes("ann", 1_000_000, 1000.0) == 5000.0 and limits.delayed == 2
    assert Admission(AdmissionLimits(1, 1, 1, 1, 0.0)).consume_bytes("ann", 10**12, 0.0) == 0.0


def test_buckets_of_inactive_users_are_dropped():
    limits = Admission(AdmissionLimits(1, 1, 1, 1, bytes_per_s_by_user=1000.0))
    for i in range(500):
        limits.consume_bytes(f"user {i}", 10, float(i))
    limits.consume_bytes("late", 10, 200_000.0)
    assert list(limits._buckets) == ["late"]
