"""What a controller believes of its executors beside what is on its sockets. No I/O and no clock.

The two are counted apart: the module counts its attempts by its own events, the links count who uses a
connection. Where they differ for longer than a turn, decisions rest on a load that is not there.
"""

from dataclasses import dataclass

from fennelwind.node.executor_pool import Executors
from fennelwind.policy.gateway import Gateway


@dataclass(slots=True, frozen=True)
class Row:
    """One executor as both sides see it."""

    engine: str
    state: str  # as the module has it listed
    believed: int  # attempts out, by the module
    running: int  # attempts under way, by the links
    lag: float  # times the best, as the module judges it now
    suspect: bool
    answers: int  # attempts that ended well since the last look
    others: int  # and those that did not; called off ones are not counted

    def __str__(self) -> str:
        judged = f"{self.state} suspect" if self.suspect else self.state
        return (
            f"{self.engine} {judged} {self.believed}/{self.running} lag {self.lag:.1f} ok {self.answers}"
            f" bad {self.others}"
        )


def compare(gateway: Gateway, links: Executors) -> list[Row]:
    """Return a row for each executor that either side knows; the links' counts of ends begin anew."""
    running = links.running()
    rows = []
    for name in sorted({*gateway.engines, *running}):
        engine, host = gateway.engines.get(name), links.hosts.get(name)
        ended = dict(host.ended) if host is not None else {}
        if host is not None:
            host.ended.clear()
        good = ended.pop("ok", 0)
        rows.append(
            Row(
                name,
                engine.endpoint.state if engine is not None else "unknown",
                len(engine.running_attempts) if engine is not None else 0,
                running.get(name, 0),
                engine.current_slowdown if engine is not None else 0.0,
                engine is not None and engine.is_outlier,
                good,
                sum(count for status, count in ended.items() if status not in ("cancelled", "moot")),
            )
        )
    return rows


def drift(gateway: Gateway, links: Executors) -> int:
    """Return by how many attempts the two sides differ, over all executors."""
    running = links.running()
    believed = {name: len(engine.running_attempts) for name, engine in gateway.engines.items()}
    return sum(abs(believed.get(name, 0) - running.get(name, 0)) for name in {*believed, *running})
