"""How a process of a rig talks to it: lines of JSON."""

import json
from typing import Any


def say(**told: Any) -> None:
    """Tell the rig something."""
    print(json.dumps(told), flush=True)
