"""Plays the record on disk against the model for a time: `python tests/fuzz_store.py SECONDS [SEED]`.

Each seed is a random play of writes and faults, and a folder in which a file is changed at random. Prints the
seeds that fail, each with its error; ends with 1 if there were any.
"""

import sys
import time
from collections import Counter

from storemodel import changed_folder, random_play

BAD_MOST = 20  # failures after which it ends


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


if __name__ == "__main__":
    sys.exit(main(float(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 0))
