"""Engine selection."""

from conftest import Drive, sends


def test_the_engine_with_fewest_own_queries_is_selected():
    drive = Drive(engines=3)
    for query in range(9):
        drive.ask(query)
    assert sorted(len(e.running_attempts) for e in drive.gateway.engines.values()) == [3, 3, 3]


def test_outliers_are_used_if_there_is_no_other_engine():
    drive = Drive(engines=2)
    for engine in drive.gateway.engines.values():
        engine.is_outlier, engine.failures, engine.ejected_until_ms = True, 3, drive.now + 9999.0
    assert sends(drive.ask(1))


def test_query_is_not_retried_on_ejected_engines_that_failed_it():
    drive = Drive(engines=2)
    drive.ask(1)
    drive.answer(1, "connect_failed", took=1.0)
    drive.answer(1, "connect_failed", took=1.0)
    assert (
        len(drive.attempt_engines[1]) == 2 and len(set(drive.attempt_engines[1])) == 2
    )  # each engine once, then the query waits
    later = drive.advance(3000)
    assert [q for q, _ in sends(later)][:1] == [1] or drive.gateway.queries == {}
