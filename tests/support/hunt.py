"""Searches for simulated days with random faults on which a rule is violated.

`python tests/support/hunt.py FIRST LAST` plays a day for each seed from FIRST to LAST - 1.

Not part of the tests, as hundreds of days take minutes. A violation that is found gets a test of its own.
"""

import search_paths  # noqa: F401 - to run this file as a script

# isort: split

import random
import sys
from multiprocessing import Pool

from simday import SCRIPT, SimDay

KINDS = (
    "HANG",
    "SLOW",
    "LOSE",
    "CUT",
    "CRASH",
    "DRAIN",
    "REPORT_LATE",
    "REFUSE",
    "ERROR",
    "TWICE",
    "DISCOVERY_SILENT",
    "BURST",
)
PROCESSES = 5


def random_script(seed):
    """Return the usual day with 2 to 8 faults of random kind, time, length and engines."""
    draw, restarted = random.Random(seed), set()
    text = SCRIPT.split("faults")[0]
    for _ in range(draw.randint(2, 8)):
        kind, at_ms, for_ms = draw.choice(KINDS), draw.uniform(200, 8000), draw.uniform(300, 4000)
        engines = [e for e in range(4) if draw.random() < draw.choice([0.25, 0.5, 1])]
        if kind in ("CRASH", "DRAIN"):  # an engine restarts at most once a day
            engines = [e for e in engines if e not in restarted]
            restarted.update(engines)
        text += (
            f"faults {{ kind: {kind} at_ms: {at_ms:.0f} for_ms: {for_ms:.0f} "
            + " ".join(f"engines: {e}" for e in engines)
            + f" factor: {draw.choice([2, 4, 10]):.1f} late_ms: 2000 }}\n"
        )
    return text


def play(seed):
    """Play a day; return its violations and errors, or None if there are none."""
    day = SimDay(seed, random_script(seed))
    driver = day.program.driver
    counts = driver.ledger.duplicate_answers, driver.unanswered_by_policy, driver.step_errors
    if day.broken or day.errors or day.left != ({}, {}) or any(counts) or day.day.falls:
        return seed, day.broken, day.errors[:3], counts, day.day.falls
    return None


if __name__ == "__main__":
    first, last = int(sys.argv[1]), int(sys.argv[2])
    with Pool(PROCESSES) as pool:
        for failure in filter(None, pool.imap_unordered(play, range(first, last))):
            print(failure, flush=True)
    print("played", last - first)
