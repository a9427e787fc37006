"""Where the process's time goes: the packages whose code runs when a timer of its CPU time fires."""

import json
import signal
from collections import Counter
from pathlib import Path
from types import FrameType

EVERY_S = 0.002  # s of CPU time between samples; some 1 in 100 of the time goes into taking them
PACKAGE = Path(__file__).parent.parent
STAGES = {
    "thrift": "codec",
    "loop": "loop",
    "policy": "policy",
    "dispatch": "dispatch",
    "engines": "engine connections",
    "frontends": "frontend",
    "observability": "logs",
}


class Sampler:
    """Counts samples by stage until stopped."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def start(self) -> None:
        """Take samples from now on; the process's SIGPROF is this one's."""
        signal.signal(signal.SIGPROF, self._take)
        signal.setitimer(signal.ITIMER_PROF, EVERY_S, EVERY_S)

    def stop(self) -> dict[str, float]:
        """Stop; return each stage's share of the samples."""
        signal.setitimer(signal.ITIMER_PROF, 0.0)
        total = sum(self.counts.values()) or 1
        return {stage: count / total for stage, count in self.counts.most_common()}

    def write(self, path: Path) -> None:
        """Stop, and write the shares as JSON."""
        path.write_text(json.dumps(self.stop()), encoding="utf-8")

    def _take(self, number: int, frame: FrameType | None) -> None:
        while frame is not None:
            name = frame.f_code.co_filename
            if name == "<thrift tables>":
                self.counts["codec"] += 1
                return
            if name.startswith(str(PACKAGE)):
                first = name[len(str(PACKAGE)) + 1 :].split("/")[0]
                self.counts[STAGES.get(first, "the rest")] += 1
                return
            frame = frame.f_back
        self.counts["the rest"] += 1
