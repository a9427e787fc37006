"""The answer margin: how long before a client's deadline its final answer has to be given.

Delivery of an answer takes time: the turn of the event loop in which its task runs, the encoding, and the
write to a client that may read slowly. The time is measured from when the answer is final until its bytes
are passed on. The margin is twice the 99th percentile of that time. It rises within a few answers and falls
over some hundreds: a margin that is too long only costs a few queries their last chance to be served, but one
that is too short breaks the rule that every query is answered in time.

The percentile is tracked by stochastic approximation (Robbins and Monro, 1951), with relative steps.
No I/O; the driver owns it and reports each delivered answer.
"""

QUANTILE = 0.99  # share of answers to be delivered within the tracked time
RISE_STEP = 0.25  # relative step for a sample above the tracked time; four of them double that time
FALL_STEP = RISE_STEP * (1.0 - QUANTILE) / QUANTILE  # for a lower sample; the steps balance at QUANTILE
SAFETY_FACTOR = 2.0  # margin / tracked time; answers under way may be slower than past ones
MIN_TRACKED_MS = 0.05  # ms; steps are relative, so the tracked time must not reach 0
MAX_JUMP_FACTOR = 8.0  # times the tracked time; larger samples are cut to this, as one stall is no trend


class AnswerMargin:
    """Tracks the delivery time of answers; `ms` is the margin. Raises `ValueError` for invalid bounds."""

    def __init__(self, min_ms: float, max_ms: float) -> None:
        if not 0.0 < min_ms <= max_ms:
            raise ValueError(f"the answer margin needs 0 < min_ms <= max_ms, not {min_ms} and {max_ms}")
        self.min_ms, self.max_ms = min_ms, max_ms
        self.tracked_ms = min_ms / SAFETY_FACTOR
        self.samples = 0

    @property
    def ms(self) -> float:
        """The margin, in ms."""
        return min(max(SAFETY_FACTOR * self.tracked_ms, self.min_ms), self.max_ms)

    def delivered(self, took_ms: float) -> None:
        """Record the delivery time of one answer, in ms."""
        self.samples += 1
        if took_ms > self.tracked_ms:
            # Far above the tracked time, relative steps alone would be too slow: many answers would be late.
            excess_ms = min(took_ms, MAX_JUMP_FACTOR * self.tracked_ms) - self.tracked_ms
            self.tracked_ms += max(RISE_STEP * self.tracked_ms, RISE_STEP * excess_ms)
        else:
            self.tracked_ms = max(self.tracked_ms * (1.0 - FALL_STEP), MIN_TRACKED_MS)
        # Tracking a time beyond the maximum margin would only delay the fall of the margin.
        self.tracked_ms = min(self.tracked_ms, self.max_ms / SAFETY_FACTOR)
