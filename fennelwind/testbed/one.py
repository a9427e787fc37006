"""One virtual day as a process: its spec on standard input, its result on standard output, both JSON."""

import dataclasses
import json
import sys

from fennelwind.testbed import dayfile
from fennelwind.testbed.plan import make_plan
from fennelwind.testbed.play import sim


def main() -> int:
    """Play what standard input asks for."""
    spec = json.load(sys.stdin)
    plan = make_plan(dayfile.read(spec["day"]), spec["seed"])
    json.dump(dataclasses.asdict(sim(plan, spec["policy"], spec["salt"])), sys.stdout)
    return 0


if __name__ == "__main__":
    sys.exit(main())
