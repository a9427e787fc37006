"""The policy's view of the executors beside the attempts that are in flight. No I/O and no clock.

The two are counted apart: the policy counts attempts by its own events, the executor client those under
way. Where they differ for longer than a turn, decisions rest on a load that is not there.
"""

from dataclasses import dataclass

from fennelwind.node.executor_client import ExecutorClient
from fennelwind.policy import AttemptStatus
from fennelwind.policy.gateway import Gateway

# Ends of attempts that say nothing of the executor.
NOT_FAILED = (AttemptStatus.CANCELLED, AttemptStatus.NOT_STARTED)


@dataclass(slots=True, frozen=True)
class ExecutorView:
    """One executor as both sides see it."""

    engine: str
    state: str  # as the policy has it listed
    policy_count: int  # attempts in flight, by the policy
    in_flight_count: int  # attempts in flight, by the executor client
    slowdown: float  # multiple of the baseline slowdown, by the policy
    is_outlier: bool
    succeeded: int  # attempts that succeeded since the last report
    failed: int  # and those that did not; cancelled ones are not counted

    def __str__(self) -> str:
        state = f"{self.state} outlier" if self.is_outlier else self.state
        return (
            f"{self.engine} {state} {self.policy_count}/{self.in_flight_count} slowdown {self.slowdown:.1f}"
            f" ok {self.succeeded} bad {self.failed}"
        )


def compare(gateway: Gateway, client: ExecutorClient) -> list[ExecutorView]:
    """Return a row for each executor that either side knows; the client's counts of ends begin anew."""
    running = client.in_flight.count_by_executor()
    rows = []
    for name in sorted({*gateway.engines, *running}):
        engine, executor = gateway.engines.get(name), client.pool.executors.get(name)
        ended = dict(executor.ended_attempts) if executor is not None else {}
        if executor is not None:
            executor.ended_attempts.clear()
        succeeded = ended.pop(AttemptStatus.OK, 0)
        rows.append(
            ExecutorView(
                name,
                engine.endpoint.state if engine is not None else "unknown",
                len(engine.running_attempts) if engine is not None else 0,
                running.get(name, 0),
                engine.current_slowdown if engine is not None else 0.0,
                engine is not None and engine.is_outlier,
                succeeded,
                sum(count for status, count in ended.items() if status not in NOT_FAILED),
            )
        )
    return rows


def count_differences(gateway: Gateway, client: ExecutorClient) -> int:
    """Return by how many attempts the two sides differ, over all executors."""
    running = client.in_flight.count_by_executor()
    believed = {name: len(engine.running_attempts) for name, engine in gateway.engines.items()}
    return sum(abs(believed.get(name, 0) - running.get(name, 0)) for name in {*believed, *running})
