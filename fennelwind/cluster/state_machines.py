"""The state machines that this version replicates, and how each answers queries."""

from google.protobuf.message import DecodeError

from fennelwind.cluster.applied_state import complete_state
from fennelwind.cluster.schema_queries import answer_change_query
from fennelwind.leases import leases_pb2
from fennelwind.leases.model import ControllerIncarnation
from fennelwind.leases.state_machine import LeaseStateMachine
from fennelwind.quiescence.registered_controllers import ControllerRegistry
from fennelwind.raft.state_machine import StateMachine
from fennelwind.schema_compatibility.state_machine import SchemaStateMachine
from fennelwind.shards.state_machine import ShardMachine

LEASES, CONTRACTS, SHARDS, ROLL = "leases", "contracts", "shards", ControllerRegistry.name


def machines() -> list[StateMachine]:
    """Return a new, empty instance of each state machine."""
    return [LeaseStateMachine(), SchemaStateMachine(), ShardMachine(), ControllerRegistry()]


def answer_query(machine: StateMachine, query: bytes) -> bytes:
    """Return a state machine's answer to a query, or its complete state if the query is empty.

    `leases` answers a `Who` with the leases offered to that controller. `contracts` answers a `ChangeQuery`
    with the schema changes in progress, or the outcome of one change. A state machine with a method `asked`
    answers its queries itself. The answer to a query that can't be decoded is empty.
    """
    if query and hasattr(machine, "asked"):
        return machine.asked(query)
    if machine.name == LEASES and query:
        try:
            controller = leases_pb2.Who.FromString(query)
        except DecodeError:
            return b""
        return leases_pb2.LeaseAnswer(
            offers=machine.offers(ControllerIncarnation(controller.name, controller.life))
        ).SerializeToString()
    if machine.name == CONTRACTS and query:
        try:
            return answer_change_query(machine, query)
        except DecodeError:
            return b""
    return complete_state(machine, query)
