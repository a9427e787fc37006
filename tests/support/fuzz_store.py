"""Fuzzes the durable store against its model: `python tests/support/fuzz_store.py SECONDS [SEED]`.

Each seed is a random play of writes and faults, and a folder in which a file is changed at random. Prints the
failing seeds with their errors; exits with 1 if there are any.

`python tests/support/fuzz_store.py twice [SEED]` cuts the power at each call of a play and again at each call
of the reopening that follows, with each kind of loss.
"""

import search_paths  # noqa: F401 - for running as a program

# isort: split

import sys
import time
from collections import Counter

from store_model import LOSSES, StorePlay, open_randomly_changed, random_play

MAX_FAILURES = 20  # the run ends after so many failures
WRITES = 8  # writes of the play with two power cuts
MAX_CALLS_BETWEEN_CUTS = 26  # an opening makes some 20 calls


def main(seconds, seed):
    until, first, cuts, failures, bad = time.monotonic() + seconds, seed, 0, 0, 0
    held = Counter()
    while time.monotonic() < until and bad < MAX_FAILURES:
        try:
            play = random_play(seed)
            cuts, failures = cuts + play.power_cuts, failures + play.failures
            held[open_randomly_changed(seed)] += 1
        except Exception as exc:
            bad += 1
            print(f"seed {seed}: {type(exc).__name__}: {str(exc)[:300]}")
        seed += 1
    print(f"{seed - first} plays from seed {first}, {cuts} power cuts, {failures} failed calls: {bad} bad")
    print("changed folders:", ", ".join(f"{many} {what}" for what, many in sorted(held.items())))
    return 1 if bad else 0


def twice(seed):
    """Cut the power at each call, and again at each of the following calls."""
    whole = StorePlay(seed)
    whole.run_writes(WRITES)
    plays = bad = 0
    for loss in LOSSES:
        for first in range(whole.calls):
            for later in range(1, MAX_CALLS_BETWEEN_CUTS):
                cuts = {first: "late", first + later: "late"}
                try:
                    play = StorePlay(seed, lambda n, what, name, cuts=cuts: cuts.get(n), loss=loss)
                    play.run_writes(WRITES)
                    plays += 1
                except Exception as exc:
                    bad += 1
                    print(f"{loss} at {first} and {first + later}: {type(exc).__name__}: {str(exc)[:300]}")
                if bad >= MAX_FAILURES:
                    return 1
    print(f"{plays} plays of seed {seed}, {whole.calls} calls: {bad} bad")
    return 1 if bad else 0


if __name__ == "__main__":
    if sys.argv[1] == "twice":
        sys.exit(twice(int(sys.argv[2]) if len(sys.argv) > 2 else 1))
    sys.exit(main(float(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 0))
