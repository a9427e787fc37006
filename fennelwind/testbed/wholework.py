"""One controller of a rig of whole programs: `fennelwind serve`, in the rig's network and on the rig's disk.

What is started is the command as operators start it. Around it: connections leave from the controller's own
host and go by the rig's relays, whatever addresses the settings state; the member's folder has the faults of
`rigdisk`; the version may know another level of the record; constants may be shorter, for short plays. None
of it is a setting of the product. What it logs is said to the rig line by line.
"""

import importlib
import json
import sys
import traceback
from dataclasses import replace
from typing import Any

from fennelwind.cluster import runtime
from fennelwind.loop import Address, RealLoop, Stream, parse_address
from fennelwind.raft.replicated_state import LEVEL
from fennelwind.shards.migration import Timing
from fennelwind.testbed.lines import say
from fennelwind.testbed.registers import Registers
from fennelwind.testbed.rigdisk import Faults, RigDisk

PROGRAM = "fennelwind.cli.main"  # which is started here, as `processes` starts its own by a command


class Later(Registers):
    """A machine that comes with the level behind this version's."""

    name, since = "later", LEVEL + 1


def build(spec: dict[str, Any], faults: Faults) -> None:
    """Let the program's parts be as the rig wants them."""
    ways = {told: parse_address(way) for told, way in spec["ways"].items()}
    known = spec.get("level", LEVEL)

    class RigLoop(RealLoop):
        """The network of the rig, and its words."""

        def run(self, main: Any) -> Any:
            def begin() -> Any:
                self.spawn(self._hear, name="rig: words")
                return main()

            return super().run(begin)

        def _hear(self) -> None:
            while line := self.aside(sys.stdin.readline):
                for key, value in json.loads(line).get("disk", {}).items():
                    setattr(faults, key, value)

        def connect(self, address: Address, source: str = "") -> Stream:
            return super().connect(ways.get(str(address), address), source or spec["host"])

    class RigKeeper(runtime.ClusterRuntime):
        """A keeper of the version that the rig wants, on its disk."""

        def __init__(self, loop: Any, place: Any, seed: int, said: Any) -> None:
            more = (Later(),) if known >= Later.since else ()
            super().__init__(
                loop, place, seed, said, lambda: RigDisk(loop, str(place.folder), faults), more, known
            )

        def serve_shards(self, *args: Any, **more: Any) -> None:
            super().serve_shards(*args, **more)
            self.migrations.timing = replace(Timing(), **spec.get("timing", {}))

    importlib.import_module(PROGRAM).RealLoop, runtime.ClusterRuntime = RigLoop, RigKeeper
    for name, value in spec.get("constants", {}).items():
        module, _, path = name.partition(":")
        *owners, last = path.split(".")
        owner = importlib.import_module(module)
        for part in owners:
            owner = getattr(owner, part)
        if not hasattr(owner, last):
            raise ValueError(f"no such constant: {name}")
        setattr(owner, last, value)


def main() -> int:
    """Be one controller of the rig."""
    spec = json.loads(sys.stdin.readline())
    faults = Faults(**spec.get("disk", {}))
    sys.stderr = sys.stdout  # where the log goes: no file of it stands in the way of limits on files
    try:
        build(spec, faults)
        importlib.import_module(PROGRAM).main.main(
            ["serve", spec["settings"], "--log", "json", "--seed", str(spec["seed"])], standalone_mode=False
        )
    except BaseException as exc:  # noqa: BLE001 - all that ends it is told, and where
        traceback.print_exc(file=sys.__stderr__)
        say(failed=f"{type(exc).__name__}: {exc}")
        return 1
    say(ended=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
