"""How long before a client gives up its final answer has to leave.

An answer takes time on its way: the turn of the loop in which its task runs, the encoding, the write to a
client that reads slowly. All of that is measured, from the moment an answer is final to the moment its
bytes are handed on, and the margin follows the time that 99 of 100 answers stay under, doubled. It rises
within a few answers and falls over some hundreds, since a margin too long costs the last moments of a few
queries and one too short costs a rule.

The tracker is the stochastic approximation of a quantile (Robbins and Monro, 1951), in steps of a share of
itself.
"""

QUANTILE = 0.99  # share of answers that are to be under the tracked time
RISE = 0.25  # share that a sample above it adds; four late answers double it
FALL = RISE * (1.0 - QUANTILE) / QUANTILE  # share that one below it takes; in balance at the quantile
SAFETY = 2.0  # times the tracked time; what is under way now may be slower than what was
LEAST_MS = 0.05  # ms; the tracker works in shares, so it must not reach 0
JUMP = 8.0  # times the tracked time that one sample may lift it by at most; one stall is no new normal


class AnswerMargin:
    """Tracks the time of answers on their way; `ms` is the margin."""

    def __init__(self, least_ms: float, most_ms: float) -> None:
        if not 0.0 < least_ms <= most_ms:
            raise ValueError(f"a margin of at least {least_ms} and at most {most_ms} ms")
        self.least_ms, self.most_ms = least_ms, most_ms
        self.tracked_ms = least_ms / SAFETY
        self.samples = 0

    @property
    def ms(self) -> float:
        """The margin, in ms."""
        return min(max(SAFETY * self.tracked_ms, self.least_ms), self.most_ms)

    def delivered(self, took_ms: float) -> None:
        """Take one answer's time on its way, in ms."""
        self.samples += 1
        if took_ms > self.tracked_ms:
            # Far above, steps of a quarter would let many answers be late before the margin is there.
            far = min(took_ms, JUMP * self.tracked_ms) - self.tracked_ms
            self.tracked_ms += max(RISE * self.tracked_ms, RISE * far)
        else:
            self.tracked_ms = max(self.tracked_ms * (1.0 - FALL), LEAST_MS)
        # Beyond the bounds nothing is gained, and the way back would be long.
        self.tracked_ms = min(self.tracked_ms, self.most_ms / SAFETY)
