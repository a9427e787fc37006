"""The current endpoint list: applies events to it and reports the changes to the policy.

Owned by `endpoint_watch`. Executors that are removed or draining are marked in the pool in the same turn
of the loop, so they get no attempts from then on.
"""

from collections.abc import Callable
from dataclasses import replace

from fennelwind.loop.streams import Address
from fennelwind.node.endpoint_events import EndpointChange, EndpointListEvent
from fennelwind.node.executor_pool import ExecutorPool
from fennelwind.node.start_times import StartTimes
from fennelwind.policy import EngineEndpoint, EngineListUpdate, EngineState, Event, ListForm


class EndpointList:
    """The endpoints by name, and the drains that hold before their events are applied."""

    def __init__(self, pool: ExecutorPool, post: Callable[[Event], None]) -> None:
        """Create an empty list; `post` takes events for the policy."""
        self.pool, self.post = pool, post
        self.start_times = StartTimes()
        self._endpoints: dict[str, EngineEndpoint] = {}
        # By executor: the number of the event that drains or removes it, if this event is not applied yet.
        self.drained_ahead: dict[str, int] = {}

    def hold_drains(self, event: EndpointListEvent, number: int) -> None:
        """Apply the drains of an event at once, although the event itself is not applied yet.

        The event is damaged or follows a gap, and is requested again. If its drains waited for the
        repeat, queries would be sent to executors that are shutting down. Events with lower numbers do not
        undo these drains.
        """
        drained = []
        for change in event.changes:
            if change.state in (EngineState.DRAINING, EngineState.REMOVED):
                self.drained_ahead[change.name] = max(number, self.drained_ahead.get(change.name, 0))
                known = self._endpoints.get(change.name)
                if known is not None and known.state == EngineState.READY:
                    drained.append(replace(known, state=EngineState.DRAINING))
        for endpoint in drained:
            self._set(endpoint, None)
        if drained:
            self.post(EngineListUpdate(ListForm.DELTA, tuple(drained)))

    def apply(self, event: EndpointListEvent, number: int, full_form: ListForm) -> None:
        """Apply an event: removals first, then drains, then ready endpoints, whatever order the event has.

        This allows an address to move from one executor to another within one event. `full_form` is the form
        in which a full list is reported to the policy: `CACHED` for the first one from the configuration
        file, else `FULL`.
        """
        if event.is_full:
            self._remove_missing(event)
        latest: dict[str, tuple[EngineEndpoint, Address | None]] = {}
        for change in event.changes:
            endpoint = self._resulting_endpoint(change, event.is_full)
            if endpoint is None:
                continue
            if endpoint.state == EngineState.READY and self.drained_ahead.get(change.name, 0) > number:
                endpoint = replace(endpoint, state=EngineState.DRAINING)
            latest[change.name] = endpoint, change.address
        for endpoint, address in sorted(latest.values(), key=lambda each: each[0].state == EngineState.READY):
            if endpoint.state != EngineState.REMOVED:
                self._set(endpoint, address)
        self.drained_ahead = {name: ahead for name, ahead in self.drained_ahead.items() if ahead > number}
        self.start_times.prune(self._endpoints)
        if latest or event.is_full:
            form = full_form if event.is_full else ListForm.DELTA
            self.post(EngineListUpdate(form, tuple(endpoint for endpoint, _ in latest.values())))

    def _remove_missing(self, event: EndpointListEvent) -> None:
        listed = {change.name for change in event.changes}
        for name in [name for name in self.pool.executors if name not in listed]:
            self._remove(name)

    def _resulting_endpoint(self, change: EndpointChange, is_full: bool) -> EngineEndpoint | None:
        """Return the endpoint after a change, or None if too little is known; carry out removals."""
        known = self._endpoints.get(change.name)
        if change.state == EngineState.REMOVED:
            self._remove(change.name)
            return change.endpoint or replace(known or EngineEndpoint(change.name), state=EngineState.REMOVED)
        if change.endpoint is not None or known is None:
            return change.endpoint
        if change.state == EngineState.DRAINING:
            return replace(known, state=EngineState.DRAINING)
        return known if is_full else None

    def _set(self, endpoint: EngineEndpoint, address: Address | None) -> None:
        executor = self.pool.executors.get(endpoint.engine)
        if address is None and executor is not None:
            address = executor.address
        if address is not None:
            self.pool.add(endpoint.engine, address, endpoint.state == EngineState.DRAINING)
        self._endpoints[endpoint.engine] = endpoint

    def _remove(self, name: str) -> None:
        self.pool.remove(name)
        self._endpoints.pop(name, None)
