"""The acknowledgements of controllers at the Raft leader, and the evaluation of barrier requests.

A barrier request checks whether queries may still run at a replica that drains, or at an engine that is
quiesced for a table. No I/O here; the Raft host owns one `Acknowledgements`.

An acknowledgement is soft state: only one member holds it, in memory. If that member is lost, the controller
sends the acknowledgement again. Its content stays true: a controller with the acknowledged view starts no
further query where the view forbids queries, and only the listed queries of this controller are in flight
there. So an old acknowledgement is never wrong; it just doesn't count for requests that are newer than its
view. The replicated registry shows which acknowledgements are missing.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from fennelwind.quiescence import clearance_pb2 as pb
from fennelwind.quiescence.registered_controllers import ControllerRegistry, RegisteredController

MAX_OPEN_PAIRS = 256  # pairs in one acknowledgement; a controller with more sends none until it has fewer
MAX_BARRIER_REQUESTS = 1024  # barrier requests in one message
MAX_BLOCKER_NAMES = 8  # an answer names at most this many controllers to wait for, per request


@dataclass(slots=True, frozen=True)
class _Acknowledgement:
    sequence: int  # rises with each acknowledgement of a controller
    replica_revision: int  # revision of the replica locations that the controller routes by
    table_index: int  # log index up to which the controller knows where tables are quiesced
    open_replicas: frozenset[tuple[str, str]]  # (shard, engine) of draining replicas with queries in flight
    open_tables: frozenset[tuple[str, str]]  # (table, engine) of quiesced tables with queries in flight


class Acknowledgements:
    """The acknowledgements that one Raft member has received."""

    def __init__(self) -> None:
        self._latest: dict[int, _Acknowledgement] = {}  # by registration number

    def accept(self, message: pb.Word, registry: ControllerRegistry) -> bool:
        """Store an acknowledgement; return whether it was stored.

        An acknowledgement is ignored if its sender is not registered, if it has too many pairs, or if it is
        not newer than the stored one.
        """
        if message.number not in registry.controllers:
            return False
        if len(message.open_copies) + len(message.open_tables) > MAX_OPEN_PAIRS:
            return False
        latest = self._latest.get(message.number)
        if latest is not None and latest.sequence >= message.order:
            return False  # late or duplicated
        if latest is None and len(self._latest) >= len(registry.controllers):
            self._remove_unregistered(registry)
        self._latest[message.number] = _Acknowledgement(
            message.order,
            message.copies,
            message.tables,
            _pairs(message.open_copies),
            _pairs(message.open_tables),
        )
        return True

    def _remove_unregistered(self, registry: ControllerRegistry) -> None:
        self._latest = {
            number: latest for number, latest in self._latest.items() if number in registry.controllers
        }

    def evaluate(
        self, requests: Iterable[pb.Wish], registry: ControllerRegistry, index: int, clock_ms: int
    ) -> pb.Heard:
        """Return the state of each request, given the registry and the log's clock as of entry `index`.

        A registry older than the request may lack controllers that still route by a view from before the
        request, so such a request can't be reported as cleared.
        """
        answer = pb.Heard(index=index)
        for request in requests:
            state, names = self._state(request, registry)
            is_unsure = request.since > index or not registry.is_complete(clock_ms)
            if is_unsure and state != pb.Heard.BLIND:
                state = pb.Heard.SILENT
            answer.states.add(state=state, names=sorted(names)[:MAX_BLOCKER_NAMES])
        return answer

    def _state(self, request: pb.Wish, registry: ControllerRegistry) -> tuple[pb.Heard.State, set[str]]:
        """Return the worst state over all controllers, and the names of the controllers in that state."""
        names_by_state: dict[pb.Heard.State, set[str]] = {}
        for number, controller in registry.controllers.items():
            state = self._controller_state(request, number, controller)
            names_by_state.setdefault(state, set()).add(controller.name)
        for state in (pb.Heard.BLIND, pb.Heard.SILENT, pb.Heard.OPEN):
            if state in names_by_state:
                return state, names_by_state[state]
        return pb.Heard.CLEARED, set()

    def _controller_state(
        self, request: pb.Wish, number: int, controller: RegisteredController
    ) -> pb.Heard.State:
        if not controller.can_withhold_queries:
            return pb.Heard.BLIND
        latest = self._latest.get(number)
        if latest is None:
            return pb.Heard.SILENT
        view = latest.table_index if request.table else latest.replica_revision
        if view < request.since:
            return pb.Heard.SILENT
        open_pairs = latest.open_tables if request.table else latest.open_replicas
        return pb.Heard.OPEN if (request.name, request.engine) in open_pairs else pb.Heard.CLEARED


def _pairs(messages: Iterable[pb.Pair]) -> frozenset[tuple[str, str]]:
    return frozenset((pair.name, pair.engine) for pair in messages)
