"""Answers controllers' queries to the state machine of schema compatibility."""

from fennelwind.cluster import gate_pb2
from fennelwind.schema_compatibility.messages import schema_message
from fennelwind.schema_compatibility.state_machine import SchemaStateMachine, change_message

MAX_LISTED_ENGINES = 10_000  # engines quiesced or behind per answer; long addresses fill a quarter of a frame


def answer_change_query(machine: SchemaStateMachine, body: bytes) -> bytes:
    """Answer a `ChangeQuery` from the state machine's state. Raises `DecodeError`."""
    query, answer = gate_pb2.ChangeQuery.FromString(body), gate_pb2.ChangeTold()
    if query.open:
        listed = 0
        for number, change in sorted(machine.changes.items()):
            quiesced = sorted(change.quiet)[: MAX_LISTED_ENGINES - listed]
            answer.open.add(number=number, table=change.table, fence=change.fence, quiet=quiesced)
            listed, answer.cut = listed + len(quiesced), answer.cut or len(quiesced) < len(change.quiet)
        for name in sorted(machine.lagging) if query.behind else ():
            table = machine.tables[name]
            behind = sorted(table.behind)[: MAX_LISTED_ENGINES - listed]
            if behind:
                answer.behind.add(table=name, engines=behind)
            listed, answer.cut = listed + len(behind), answer.cut or len(behind) < len(table.behind)
        return answer.SerializeToString(deterministic=True)
    change = machine.changes.get(query.number)
    answer.under_way = change is not None
    answer.outcome = machine.ended.get(query.number, 0)
    if query.whole and change is not None:
        answer.change = change_message(change).SerializeToString(deterministic=True)
        table = machine.tables.get(change.table)
        if table is not None:
            answer.old = schema_message(table.schema).SerializeToString(deterministic=True)
    return answer.SerializeToString(deterministic=True)
