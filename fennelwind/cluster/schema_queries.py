"""What the machine of contracts is asked by controllers, beside its commands."""

from fennelwind.cluster import gate_pb2
from fennelwind.schema_compatibility.messages import schema_message
from fennelwind.schema_compatibility.state_machine import SchemaStateMachine, change_message

NAMED_MOST = 10_000  # engines that are told as quiet or behind; with long addresses a quarter of a frame


def asked(machine: SchemaStateMachine, raw: bytes) -> bytes:
    """Answer a `ChangeQuery` from the machine's state."""
    query, told = gate_pb2.ChangeQuery.FromString(raw), gate_pb2.ChangeTold()
    if query.open:
        named = 0
        for number, change in sorted(machine.changes.items()):
            quiet = sorted(change.quiet)[: NAMED_MOST - named]
            told.open.add(number=number, table=change.table, fence=change.fence, quiet=quiet)
            named, told.cut = named + len(quiet), told.cut or len(quiet) < len(change.quiet)
        for name in sorted(machine.lagging) if query.behind else ():
            table = machine.tables[name]
            behind = sorted(table.behind)[: NAMED_MOST - named]
            if behind:
                told.behind.add(table=name, engines=behind)
            named, told.cut = named + len(behind), told.cut or len(behind) < len(table.behind)
        return told.SerializeToString(deterministic=True)
    change = machine.changes.get(query.number)
    told.under_way = change is not None
    told.outcome = machine.ended.get(query.number, 0)
    if query.whole and change is not None:
        told.change = change_message(change).SerializeToString(deterministic=True)
        table = machine.tables.get(change.table)
        if table is not None:
            told.old = schema_message(table.schema).SerializeToString(deterministic=True)
    return told.SerializeToString(deterministic=True)
