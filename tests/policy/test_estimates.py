"""Statistics learnt from arrivals and answers."""

from conftest import Drive, sends

from fennelwind import policy


def test_without_estimate_the_mean_time_starts_at_half_the_objective():
    drive = Drive()
    drive.step(policy.QueryArrived(1, 0, drive.now + 4000.0))
    assert drive.gateway.estimates.mean_time_ms[0] == 400.0


def test_class_without_estimates_is_served_from_its_first_query():
    drive = Drive()
    assert sends(drive.ask(1, work=None)) != []
    assert sends(drive.ask(2, cls=1, work=None)) != []


def test_work_of_a_class_without_estimates_is_learnt_from_answers():
    drive = Drive(engines=2)
    for query in range(40):
        drive.step(policy.QueryArrived(query, 0, drive.now + 4000.0))
        drive.answer(query, took=10.0)
    assert 10.0 <= drive.gateway.estimates.mean_work_ms[0] < 12.0
    drive.step(policy.QueryArrived(100, 0, drive.now + 4000.0))
    assert drive.gateway.queries[100].service_time_ms < 12.0
    estimated = Drive(engines=2)
    for query in range(40):
        estimated.ask(query, work=100.0)
        estimated.answer(query, took=10.0)
    assert estimated.gateway.estimates.mean_work_ms[0] == 100.0  # estimates take precedence over answers
