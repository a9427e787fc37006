"""How long before a client's deadline its final answer has to be given.

An answer takes time on its way: the turn of the loop in which its task runs, the encoding, the write to a
client that reads slowly. All of that is measured, from the moment an answer is final to the moment its bytes
are passed on, and the margin is twice the time that 99 of 100 answers stay under. It rises within a few
answers and falls over some hundreds, since a margin too long costs the last moments of a few queries and one
too short breaks the rule that every query is answered in time.

The tracker is the stochastic approximation of a quantile (Robbins and Monro, 1951), in relative steps.
No I/O; the driver owns it, and reports each delivered answer.
"""

QUANTILE = 0.99  # share of answers that are to be under the tracked time
RISE_STEP = 0.25  # relative step for a sample above it; four late answers double it
FALL_STEP = RISE_STEP * (1.0 - QUANTILE) / QUANTILE  # for one below it; in balance at the quantile
SAFETY_FACTOR = 2.0  # margin over the tracked time; what is under way now may be slower than what was
MIN_TRACKED_MS = 0.05  # ms; steps are relative, so the tracked time must not reach 0
MAX_JUMP_FACTOR = 8.0  # of the tracked time that one sample counts as at most; one stall is no new normal


class AnswerMargin:
    """Tracks the delivery time of answers; `ms` is the margin. Raises `ValueError` for unusable bounds."""

    def __init__(self, min_ms: float, max_ms: float) -> None:
        if not 0.0 < min_ms <= max_ms:
            raise ValueError(f"a margin of at least {min_ms} and at most {max_ms} ms")
        self.min_ms, self.max_ms = min_ms, max_ms
        self.tracked_ms = min_ms / SAFETY_FACTOR
        self.samples = 0

    @property
    def ms(self) -> float:
        """The margin, in ms."""
        return min(max(SAFETY_FACTOR * self.tracked_ms, self.min_ms), self.max_ms)

    def delivered(self, took_ms: float) -> None:
        """Take one answer's delivery time, in ms."""
        self.samples += 1
        if took_ms > self.tracked_ms:
            # Far above, steps of a quarter would let many answers be late before the margin is there.
            excess_ms = min(took_ms, MAX_JUMP_FACTOR * self.tracked_ms) - self.tracked_ms
            self.tracked_ms += max(RISE_STEP * self.tracked_ms, RISE_STEP * excess_ms)
        else:
            self.tracked_ms = max(self.tracked_ms * (1.0 - FALL_STEP), MIN_TRACKED_MS)
        # Beyond the bounds nothing is gained, and the way back would be long.
        self.tracked_ms = min(self.tracked_ms, self.max_ms / SAFETY_FACTOR)
