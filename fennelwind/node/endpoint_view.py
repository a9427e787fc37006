"""Compares the policy's count of attempts at each executor with the attempts in flight. No I/O, no clock.

The counts are independent: the policy counts attempts by its own events, the executor client counts those
that are running. If the counts differ for longer than a turn, the policy bases its decisions on a load that
does not exist.
"""

from dataclasses import dataclass

from fennelwind.node.executor_client import ExecutorClient
from fennelwind.policy import AttemptStatus
from fennelwind.policy.gateway import Gateway

# Ends of attempts that say nothing about the state of the executor.
INCONCLUSIVE_STATUSES = (AttemptStatus.CANCELLED, AttemptStatus.NOT_STARTED)


@dataclass(slots=True, frozen=True)
class ExecutorView:
    """One executor as seen by the policy and by the executor client."""

    engine: str
    state: str  # in the policy's list
    policy_count: int  # attempts in flight as counted by the policy
    in_flight_count: int  # attempts in flight as counted by the executor client
    slowdown: float  # the policy's figure, as a multiple of the baseline slowdown
    is_outlier: bool
    succeeded: int  # attempts since the last report that succeeded
    failed: int  # attempts since the last report that failed, without `INCONCLUSIVE_STATUSES`

    def __str__(self) -> str:
        state = f"{self.state} outlier" if self.is_outlier else self.state
        return (
            f"{self.engine} {state} {self.policy_count}/{self.in_flight_count} slowdown {self.slowdown:.1f}"
            f" ok {self.succeeded} bad {self.failed}"
        )


def compare(gateway: Gateway, client: ExecutorClient) -> list[ExecutorView]:
    """Return a view of each executor that either side knows, and reset the client's counts of ends."""
    running_counts = client.in_flight.count_by_executor()
    views = []
    for name in sorted({*gateway.engines, *running_counts}):
        engine, executor = gateway.engines.get(name), client.pool.executors.get(name)
        ended = dict(executor.ended_attempts) if executor is not None else {}
        if executor is not None:
            executor.ended_attempts.clear()
        succeeded = ended.pop(AttemptStatus.OK, 0)
        views.append(
            ExecutorView(
                name,
                engine.endpoint.state if engine is not None else "unknown",
                len(engine.running_attempts) if engine is not None else 0,
                running_counts.get(name, 0),
                engine.current_slowdown if engine is not None else 0.0,
                engine is not None and engine.is_outlier,
                succeeded,
                sum(count for status, count in ended.items() if status not in INCONCLUSIVE_STATUSES),
            )
        )
    return views


def count_differences(gateway: Gateway, client: ExecutorClient) -> int:
    """Return the sum over all executors of the difference between the two counts."""
    running_counts = client.in_flight.count_by_executor()
    policy_counts = {name: len(engine.running_attempts) for name, engine in gateway.engines.items()}
    return sum(
        abs(policy_counts.get(name, 0) - running_counts.get(name, 0))
        for name in {*policy_counts, *running_counts}
    )
