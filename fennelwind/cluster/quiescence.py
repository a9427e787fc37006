"""This controller's part in quiescence: registration, acknowledgements and barrier requests.

The Raft client sends all three to the Raft leader.

No query waits for any of the three. Without the Raft group nothing is acknowledged, and replicas and engines
to be quiesced are dropped or changed after fixed waits instead.
"""

from collections import Counter
from collections.abc import Iterable

from fennelwind.cluster import keeper_pb2
from fennelwind.cluster.errors import ClusterError, CommandRejectedError
from fennelwind.cluster.raft_client import RaftClient
from fennelwind.cluster.replica_locations import Places
from fennelwind.cluster.state_machines import ROLL
from fennelwind.cluster.wakeup import Wakeup
from fennelwind.loop import DeadlineExceeded, Loop, Task
from fennelwind.quiescence import clearance_pb2 as pb
from fennelwind.quiescence.in_flight import InFlightTracker, Pair
from fennelwind.quiescence.registered_controllers import SILENCE_TIMEOUT_MS

RENEWAL_MS = (
    SILENCE_TIMEOUT_MS / 4.0
)  # ms between renewals: three may be lost, on a clock that is a fifth too slow
RETRY_MS = (
    5000.0  # ms until a failed registration is repeated; the registry is complete only after the timeout
)
PROPOSE_TIMEOUT_MS = 4000.0  # ms for one command
LEADER_TIMEOUT_MS = 2000.0  # ms for one acknowledgement or barrier request; a later request replaces it


class QuiescenceClient:
    """One controller's part in quiescence.

    `in_flight` is None on a controller that can't withhold queries from an engine.
    """

    def __init__(self, loop: Loop, client: RaftClient, name: str, in_flight: InFlightTracker | None) -> None:
        self.loop = loop
        self.client = client
        self.name = name
        self.in_flight = in_flight
        self.counts: Counter[str] = Counter()
        self._wakeup = Wakeup(loop)
        self._tasks: list[Task] = []

    def start(self) -> None:
        """Start registering this controller and acknowledging requests."""
        self._tasks = [self.loop.spawn(self._stay_registered, name="clearances: roll")]
        if self.in_flight is not None:
            self._tasks.append(
                self.loop.spawn(self._send_acknowledgements, self.in_flight, name="clearances: words")
            )

    def close(self) -> None:
        """Stop acknowledging; barrier requests wait for this controller until its registration times out."""
        for task in self._tasks:
            task.cancel()

    def update_replicas(
        self, revision: int, locations: Places, draining: list[Pair], is_complete: bool
    ) -> None:
        """Handle a view of the replicas: the locations of good replicas, and the draining replicas."""
        if self.in_flight is not None:
            self.in_flight.update_replicas(revision, locations, draining, is_complete)
            self._wakeup.notify()

    def update_tables(
        self, index: int, excluded: dict[str, frozenset[str]], quiesced: list[Pair], is_complete: bool
    ) -> None:
        """Handle a view of the engines excluded for some tables, and of the engines being quiesced."""
        if self.in_flight is not None:
            self.in_flight.update_tables(index, excluded, quiesced, is_complete)
            self._wakeup.notify()

    def _stay_registered(self) -> None:
        number = 0
        while True:
            try:
                answer = self._register(number)
            except ClusterError as exc:  # the level of the replicated state may still be too low
                self.counts[exc.code] += 1
                self.loop.sleep(RETRY_MS)
                continue
            number = 0 if answer.refusal else answer.number
            self.counts[pb.RollAnswer.Refusal.Name(answer.refusal)] += 1
            if self.in_flight is not None:
                self.in_flight.registration_number = number
                self._wakeup.notify()
            self.loop.sleep(RENEWAL_MS if number else RETRY_MS)

    def _register(self, number: int) -> pb.RollAnswer:
        """Renew the registration with this number, or register if the number is 0. Raises `ClusterError`."""
        if number:
            command = pb.RollCommand(renew=pb.Renew(number=number))
        else:
            can_withhold_queries = self.in_flight is not None
            command = pb.RollCommand(sign_on=pb.SignOn(name=self.name, routes=can_withhold_queries))
        body = command.SerializeToString(deterministic=True)
        return pb.RollAnswer.FromString(self.client.propose(ROLL, body, PROPOSE_TIMEOUT_MS))

    def _send_acknowledgements(self, in_flight: InFlightTracker) -> None:
        while True:
            next_one = in_flight.next_acknowledgement(self.loop.now())
            if next_one.message is None:
                try:
                    with self.loop.deadline_at(next_one.check_at_ms):
                        self._wakeup.wait()
                except DeadlineExceeded:
                    pass
                continue
            body = next_one.message.SerializeToString()
            try:
                self.client.request_leader(lambda body=body: keeper_pb2.Ask(word=body), LEADER_TIMEOUT_MS)
                self.counts["told"] += 1
            except ClusterError as exc:
                self.counts[exc.code] += 1
                in_flight.acknowledgement_lost()
                self.loop.sleep(RETRY_MS if isinstance(exc, CommandRejectedError) else 0.0)

    def barrier_states(self, requests: Iterable[pb.Wish]) -> list[pb.Heard.State]:
        """Return the state of each barrier request; SILENT for all if the leader can't be reached."""
        message = pb.Asked(wishes=requests)
        body = message.SerializeToString()
        unknown = [pb.Heard.SILENT] * len(message.wishes)
        try:
            answer = self.client.request_leader(lambda: keeper_pb2.Ask(cleared=body), LEADER_TIMEOUT_MS)
        except ClusterError as exc:
            self.counts[exc.code] += 1
            return unknown
        states = [result.state for result in pb.Heard.FromString(answer).states]
        return states if len(states) == len(message.wishes) else unknown
