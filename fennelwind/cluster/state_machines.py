"""The machines of this version on the record, and what each may be asked."""

from google.protobuf.message import DecodeError

from fennelwind.cluster.applied_state import complete_state
from fennelwind.cluster.schema_queries import asked
from fennelwind.leases import leases_pb2
from fennelwind.leases.model import ControllerIncarnation
from fennelwind.leases.state_machine import LeaseStateMachine
from fennelwind.quiescence.registered_controllers import ControllerRegistry
from fennelwind.raft.state_machine import StateMachine
from fennelwind.schema_compatibility.state_machine import SchemaStateMachine
from fennelwind.shards.state_machine import ShardMachine

LEASES, CONTRACTS, SHARDS, ROLL = "leases", "contracts", "shards", ControllerRegistry.name


def machines() -> list[StateMachine]:
    """Return the machines, empty."""
    return [LeaseStateMachine(), SchemaStateMachine(), ShardMachine(), ControllerRegistry()]


def answer(machine: StateMachine, query: bytes) -> bytes:
    """Answer a query; without one, with all that the machine keeps.

    `leases`: by a `Who`, which tasks are offered to it. `contracts`: by a `ChangeQuery`, which changes are
    under way and what became of one. A machine with a method `asked` answers itself.
    """
    if query and hasattr(machine, "asked"):
        return machine.asked(query)
    if machine.name == LEASES and query:
        try:
            who = leases_pb2.Who.FromString(query)
        except DecodeError:
            return b""
        return leases_pb2.LeaseAnswer(
            offers=machine.offers(ControllerIncarnation(who.name, who.life))
        ).SerializeToString()
    if machine.name == CONTRACTS and query:
        try:
            return asked(machine, query)
        except DecodeError:
            return b""
    return complete_state(machine, query)
