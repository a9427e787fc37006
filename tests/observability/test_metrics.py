"""Metrics and health as a scraper sees them."""

import pytest
from fleet import execute, outcome
from prometheus_client.parser import text_string_to_metric_families
from test_controller import play


def served(text):
    return text.replace("listener {", 'metrics_address: "127.0.0.1:0"\nlistener {', 1)


def get(fleet, target, method="GET"):
    stream = fleet.loop.connect(fleet.program.metrics.listener.address)
    stream.write(f"{method} {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    answer = b""
    while data := stream.read():
        answer += data
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split(b" ")[1]), body.decode()


def values(fleet):
    status, body = get(fleet, "/metrics")
    assert status == 200
    return {
        (s.name, *sorted(s.labels.values())): s.value
        for family in text_string_to_metric_families(body)
        for s in family.samples
    }


def test_what_happened_is_told():
    def main(fleet):
        client = fleet.client()
        for _ in range(3):
            execute(client, "select 1")
        assert outcome(lambda: execute(client, "select 1", **{"standin.sqlstate": "42S02"})) == "42S02"
        execute(client, "build", work=20_000, asynchronous=True)
        fleet.loop.sleep(20)
        seen = values(fleet)
        assert seen["fennelwind_queries_total", "lookup", "served"] == 4
        assert seen["fennelwind_attempts_total", "ok"] == 4 and seen["fennelwind_queries_open",] == 1
        assert seen["fennelwind_engines", "ready"] == 2 and seen["fennelwind_sessions",] == 1
        assert seen["fennelwind_link_wait_seconds_count",] == 5
        assert 0 < seen["fennelwind_link_wait_quantile_seconds", "0.99"] < 0.1
        assert seen["fennelwind_engine_sessions_per_session",] == sum(
            seen["fennelwind_links", state] for state in ("idle", "busy", "streams")
        )
        assert seen["fennelwind_answers_second_total",] == seen["fennelwind_answers_overdue_total",] == 0
        client.drop()
        fleet.loop.sleep(500)
        seen = values(fleet)
        assert seen["fennelwind_operations_reaped_total",] == 1 and seen["fennelwind_sessions",] == 0

    play(main, change=served)


def test_health_follows_the_engines_and_closing():
    def main(fleet):
        fleet.loop.sleep(50)
        assert get(fleet, "/health")[0] == 200
        fleet.program.driver.is_closing = True
        assert get(fleet, "/health")[0] == 503

    play(main, change=served)


@pytest.mark.parametrize(
    ("method", "target", "status"), [("GET", "/", 404), ("POST", "/metrics", 405), ("GET", "/metrics?x", 404)]
)
def test_other_requests_are_turned_down(method, target, status):
    def main(fleet):
        assert get(fleet, target, method)[0] == status

    play(main, change=served)


def test_silent_scrapers_are_bounded_and_let_go():
    def main(fleet):
        address = fleet.program.metrics.listener.address
        streams = [fleet.loop.connect(address) for _ in range(40)]
        fleet.loop.sleep(100)
        assert fleet.program.metrics.open == 16
        streams[0].write(b"\x80\x01\0\1\r\n\r\n")
        fleet.loop.sleep(6000)
        assert fleet.program.metrics.open == 0 and get(fleet, "/health")[0] == 200

    play(main, change=served)
