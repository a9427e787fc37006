"""Wall clocks that step, by seconds or an hour, either way, under the running program."""

import json
import threading
import time

from nodes import SETTINGS, instance, nodes_event, query_id
from processes import ThreadedClient, ThreadedExecutor, classes, until
from test_terms_system_calls import Troubled

HOUR_S = 3600.0
WORK_MS = 400.0  # of each request
CORES = SETTINGS["FamilyInfo"]["KindCores"][0]
RULES = SETTINGS["Rules"]
WINDOW_S = RULES["OverloadForMs"] / 1000.0


def most_calls(started_s_ago):
    """Return what a cold executor bears in a window, at its end, as the standing test has it."""
    warm = min(1.0, (started_s_ago + WINDOW_S) / (RULES["RampTimeMs"] / 1000.0))
    capacity = CORES * (RULES["ColdShare"] + (1.0 - RULES["ColdShare"]) * warm)
    n = RULES["FallMultiple"] * capacity * WINDOW_S / (WORK_MS / 1000.0)
    return n + 3 * n**0.5 + 3 if n < 30 else n + 2 * n**0.5 + 2


def ask_much(controller, for_s):
    """Have many requests under way for so long."""
    end, counted = time.monotonic() + for_s, iter(range(10**6))

    def one():
        client = ThreadedClient(controller)
        while time.monotonic() < end:
            request = client.send_request(query_id(next(counted)), wait_ms=1900, work_ms=WORK_MS)
            until(lambda request=request, client=client: request.answers or client.ended_at)

    threads = [threading.Thread(target=one, daemon=True) for _ in range(60)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


# How far the program's clock has stepped since it began, and the clock by which starts are told.
STEPS = ((0.0, 0.0), (-HOUR_S, -HOUR_S), (HOUR_S, HOUR_S), (0.0, -20.0))


def play(folder, here, there):
    """Have an executor start cold behind a step of the clocks; return how many calls it got in a window."""
    warm, cold = ThreadedExecutor(work_s=0.1), ThreadedExecutor(work_s=0.1)
    folder.mkdir()
    controller = Troubled(folder, [warm], Grades=classes(AimMs=1200.0))
    try:
        until(lambda: controller.asked)
        controller.fail(wall=str(here))
        started = int((time.time() + there) * 1000.0)
        fresh = instance("s-2", 2, started=started) | {"hostPort": cold.address}
        event = json.dumps(nodes_event(2, [fresh])).encode()
        controller.asked[-1][1].sendall(b"id: 2\ndata: %s\n\n" % event)
        ask_much(controller, WINDOW_S)
        return len(cold.posts)
    finally:
        controller.end()


def test_a_cold_executor_is_not_taken_for_a_warm_one_whatever_the_clocks_do(tmp_path):
    for number, (here, there) in enumerate(STEPS):
        calls = play(tmp_path / str(number), here, there)
        assert 0 < calls <= most_calls(0.0), f"{calls} calls, clocks {here} and {there} s off"
