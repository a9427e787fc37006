"""Plays the record on disk against the model for a time: `python tests/support/fuzz_store.py SECONDS [SEED]`.

Each seed is a random play of writes and faults, and a folder in which a file is changed at random. Prints the
seeds that fail, each with its error; ends with 1 if there were any.

`python tests/support/fuzz_store.py twice [SEED]` cuts the power at each call of a play and again at each call
of the opening that follows, with each kind of loss.
"""

import search_paths  # noqa: F401 - for a play that is run by hand

# isort: split

import sys
import time
from collections import Counter

from store_model import LOSSES, Play, changed_folder, random_play

BAD_MOST = 20  # failures after which it ends
WRITES = 8  # of the play whose power is cut twice
LATER_MOST = 26  # calls after the first cut at which the second comes; an opening makes some 20


def main(seconds, seed):
    until, first, cuts, failures, bad = time.monotonic() + seconds, seed, 0, 0, 0
    held = Counter()
    while time.monotonic() < until and bad < BAD_MOST:
        try:
            play = random_play(seed)
            cuts, failures = cuts + play.cuts, failures + play.failures
            held[changed_folder(seed)] += 1
        except Exception as exc:
            bad += 1
            print(f"seed {seed}: {type(exc).__name__}: {str(exc)[:300]}")
        seed += 1
    print(f"{seed - first} plays from seed {first}, {cuts} power cuts, {failures} failed calls: {bad} bad")
    print("changed folders:", ", ".join(f"{many} {what}" for what, many in sorted(held.items())))
    return 1 if bad else 0


def twice(seed):
    """Cut the power at each call and again at each of those that follow it."""
    whole = Play(seed)
    whole.go(WRITES)
    plays = bad = 0
    for loss in LOSSES:
        for first in range(whole.calls):
            for later in range(1, LATER_MOST):
                cuts = {first: "late", first + later: "late"}
                try:
                    play = Play(seed, lambda n, what, name, cuts=cuts: cuts.get(n), loss=loss)
                    play.go(WRITES)
                    plays += 1
                except Exception as exc:
                    bad += 1
                    print(f"{loss} at {first} and {first + later}: {type(exc).__name__}: {str(exc)[:300]}")
                if bad >= BAD_MOST:
                    return 1
    print(f"{plays} plays of seed {seed}, {whole.calls} calls: {bad} bad")
    return 1 if bad else 0


if __name__ == "__main__":
    if sys.argv[1] == "twice":
        sys.exit(twice(int(sys.argv[2]) if len(sys.argv) > 2 else 1))
    sys.exit(main(float(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 0))
