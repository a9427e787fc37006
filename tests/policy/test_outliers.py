"""Outlier detection and ejection."""

from conftest import Drive, of, sends

from fennelwind import policy
from fennelwind.policy import outliers


def test_silent_engine_is_an_outlier_and_its_queries_go_elsewhere():
    drive = Drive(engines=3)
    for n in range(6):
        drive.ask(n)
    silent = "e0"
    for n in range(6):
        if drive.attempt_engines[n][0] != silent:
            drive.answer(n, took=100.0, after=10.0)
    stuck = [n for n in range(6) if drive.attempt_engines[n][0] == silent]
    cancels = of(drive.advance(600.0), policy.CancelAttempt)
    assert drive.gateway.engines[silent].current_slowdown > 1.5  # two ages count against it at once
    assert sorted(a.query for a in cancels) == stuck
    assert all(e != silent for n in stuck for _, e in sends(drive.answer(n, "cancelled", took=600.0)))


def test_failing_engine_is_ejected_and_comes_back_within_a_stated_time():
    drive = Drive(engines=2)
    drive.ask(1)
    bad = drive.attempt_engines[1][0]
    drive.answer(1, "reset", took=5.0)
    drive.advance(25.0)
    assert all(e != bad for n in range(2, 8) for _, e in sends(drive.ask(n)))
    drive.advance(2 * outliers.EJECTION_MS)
    assert bad in {e for n in range(8, 14) for _, e in sends(drive.ask(n))}


def test_lost_answers_make_no_engine_an_outlier():
    """One answer in three never comes on any engine, the others are quick: no engine is to blame."""
    drive = Drive(engines=2)
    lost = 0
    for n in range(60):
        drive.ask(n)
        drive.advance(25.0)
        if n % 3:
            drive.answer(n, took=60.0)
        else:
            lost += 1
    assert lost == 20
    assert not any(e.is_outlier for e in drive.gateway.engines.values())
    assert max(e.current_slowdown for e in drive.gateway.engines.values()) < 2.0


def test_an_engine_with_errors_in_a_row_is_ejected():
    drive = Drive()
    drive.ask(0)
    bad = drive.attempt_engines[0][0]
    drive.answer(0, "error", took=1.0, attempt=0)
    for query in range(1, 12):
        if drive.attempt_engines.get(query - 1, [bad])[-1] == bad and query > 1:
            drive.answer(query - 1, "error", took=1.0)
        drive.ask(query)
    assert [drive.attempt_engines[q][0] for q in range(8, 12)].count(bad) == 0


def test_a_query_that_errs_everywhere_ejects_no_engine():
    drive = Drive(engines=4)
    drive.ask(1)
    for _ in range(4):
        drive.answer(1, "error", took=1.0)
    assert not any(e.ejected_until_ms for e in drive.gateway.engines.values())


def test_one_of_two_engines_can_be_an_outlier():
    drive = Drive(engines=2)
    slow, fine = drive.gateway.engines["e0"], drive.gateway.engines["e1"]
    slow.mean_slowdown = 4.0
    drive.gateway._review_fleet()
    drive.gateway._review_fleet()
    assert (drive.gateway.outliers.median_slowdown, slow.is_outlier, fine.is_outlier) == (1.0, True, False)
    assert sends(drive.ask(1)) == [(1, "e1")]
