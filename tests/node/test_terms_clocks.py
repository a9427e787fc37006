"""Wall clock steps of seconds or an hour, forwards and backwards, while the program runs."""

import json
import threading
import time

from nodes import SETTINGS, instance, nodes_event, query_id
from processes import ThreadedClient, ThreadedExecutor, classes_with, wait_until
from test_terms_system_calls import FaultyController

HOUR_S = 3600.0
WORK_MS = 400.0  # execution time of each request
CORES = SETTINGS["FamilyInfo"]["KindCores"][0]
RULES = SETTINGS["Rules"]
WINDOW_S = RULES["OverloadForMs"] / 1000.0


def max_calls(started_s_ago):
    """Return the most calls that an executor may get in a window that begins `started_s_ago` after its start.

    The bound is that of the standing test: the expected number and a statistical margin.
    """
    warm = min(1.0, (started_s_ago + WINDOW_S) / (RULES["RampTimeMs"] / 1000.0))
    capacity = CORES * (RULES["ColdShare"] + (1.0 - RULES["ColdShare"]) * warm)
    expected = RULES["FallMultiple"] * capacity * WINDOW_S / (WORK_MS / 1000.0)
    return expected + 3 * expected**0.5 + 3 if expected < 30 else expected + 2 * expected**0.5 + 2


def send_load(controller, for_s):
    """Keep 60 clients sending requests, each waiting for its answer, for `for_s` seconds."""
    end, numbers = time.monotonic() + for_s, iter(range(10**6))

    def send_repeatedly():
        client = ThreadedClient(controller)
        while time.monotonic() < end:
            request = client.send_request(query_id(next(numbers)), wait_ms=1900, work_ms=WORK_MS)
            wait_until(lambda request=request, client=client: request.answers or client.ended_at)

    threads = [threading.Thread(target=send_repeatedly, daemon=True) for _ in range(60)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


# Seconds by which the program's clock steps after its start, and by which the clock is off with which the
# platform reports start times of executors.
STEPS = ((0.0, 0.0), (-HOUR_S, -HOUR_S), (HOUR_S, HOUR_S), (0.0, -20.0))


def calls_to_cold_executor(folder, program_step_s, start_time_step_s):
    """Step the clocks, add a cold executor, and return how many calls it got in a window."""
    warm, cold = ThreadedExecutor(work_s=0.1), ThreadedExecutor(work_s=0.1)
    folder.mkdir()
    controller = FaultyController(folder, [warm], Grades=classes_with(AimMs=1200.0))
    try:
        wait_until(lambda: controller.channel_requests)
        controller.fail(wall=str(program_step_s))
        started = int((time.time() + start_time_step_s) * 1000.0)
        fresh = instance("s-2", 2, started=started) | {"hostPort": cold.address}
        event = json.dumps(nodes_event(2, [fresh])).encode()
        controller.channel_requests[-1][1].sendall(b"id: 2\ndata: %s\n\n" % event)
        send_load(controller, WINDOW_S)
        return len(cold.posts)
    finally:
        controller.end()


def test_cold_executor_is_not_treated_as_warm_after_clock_steps(tmp_path):
    for number, (program_step_s, start_time_step_s) in enumerate(STEPS):
        calls = calls_to_cold_executor(tmp_path / str(number), program_step_s, start_time_step_s)
        assert 0 < calls <= max_calls(0.0), (
            f"{calls} calls, clocks {program_step_s} and {start_time_step_s} s off"
        )
