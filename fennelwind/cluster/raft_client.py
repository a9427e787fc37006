"""The client of the Raft group that every controller runs, whether or not it is a member itself.

A command gets one sequence number and is resent with that number, to any member, until it is answered; the
replicated state applies the command once. Members that don't lead name the leader. The number of commands in
progress is at most the number of results that the replicated state retains for one client; further commands
wait until their deadline.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from fennelwind.cluster import keeper_pb2 as pb
from fennelwind.cluster.backoff import Backoff
from fennelwind.cluster.errors import (
    ClientOverloadedError,
    ClusterError,
    ClusterUnavailableError,
    CommandRejectedError,
    FleetMismatchError,
    InvalidFrameError,
    MemberNameMismatchError,
    NoLeaderError,
    OutcomeUnknownError,
)
from fennelwind.cluster.framing import FrameReader, encode_frame
from fennelwind.cluster.identity import PROTOCOL, hello_error
from fennelwind.cluster.member_connection import MemberConnection
from fennelwind.loop import Address, Loop, Once
from fennelwind.raft import council_pb2
from fennelwind.raft.replicated_state import MAX_RETAINED_RESULTS

Result = council_pb2.Result
CONNECT_TIMEOUT_MS = 500.0  # ms to connect and receive a member's hello; a running member takes a few ms
ATTEMPT_TIMEOUT_MS = 1000.0  # ms until another member is tried; three election timeouts of 300 ms
MAX_CONNECT_BACKOFF_MS = 5000.0  # ms between two rounds of connects while no member is reachable
MAX_RETRY_BACKOFF_MS = 800.0  # ms between two attempts: a new leader is elected within about 600 ms
RETRY_AFTER_MS = 2000  # ms; reported to callers while no leader is known: time for an election and a backoff
MAX_QUEUED_COMMANDS = 1024  # commands that wait for a sequence number; further ones are rejected at once
MAX_WATCHES = 64  # concurrent watches of one controller
RETRIABLE_REFUSALS = {
    Result.NO_LEADER,
    Result.UNKNOWN,
    Result.TOO_MANY,
    Result.NOT_MEMBER,
    Result.NOT_LEADER,
}


@dataclass(slots=True, frozen=True)
class ReadResult:
    """The result of a read."""

    state: bytes  # the state machine's answer
    fact: int  # the value of the requested fact; 0 if no fact was requested
    revision: int  # index of the entry that last changed the state machine
    index: int  # of the last entry of the log that the state includes
    clock_ms: int  # the log's clock at the answer


@dataclass(slots=True, frozen=True)
class CommandResult:
    """The result of a command that was applied."""

    body: bytes  # the state machine's answer
    index: int  # of the log entry that holds the command


@dataclass(slots=True, frozen=True)
class _Outcome:
    """The outcome of a request over all its attempts."""

    answer: pb.Told | None  # None if there was no final answer before the deadline
    result: Result | None
    may_be_applied: bool  # whether an attempt had no answer or an unknown outcome


class RaftClient:
    """Sends one controller's requests to the Raft group. Times are ms on the loop's clock."""

    def __init__(
        self,
        loop: Loop,
        fleet: str,
        name: str,
        members: dict[str, Address],
        seed: str,
        on_error: Callable[[ClusterError], None] = lambda _: None,
    ) -> None:
        """Create the client; `on_error` is called when the error that prevents connecting changes."""
        self.fleet = fleet
        self.name = name
        self.attempts = 0
        self.unanswered_attempts = 0
        self._loop = loop
        self._members = dict(members)
        self._on_error = on_error
        self._random = Random(seed)
        self._connect_error: ClusterError | None = None  # a configuration error, for an operator to correct
        self._member_order = sorted(self._members)
        self._target = self._member_order[self._random.randrange(len(self._member_order))]
        self._connection: MemberConnection | None = None
        self._connecting: Once | None = None
        self._connect_backoff = Backoff(self._random, max_ms=MAX_CONNECT_BACKOFF_MS)
        self._failed_connects = 0  # connects that failed in a row
        self._no_connect_before_ms = -math.inf
        self._client_id = 0  # 0 if not assigned yet
        self._opening: Once | None = None
        self._last_number = 0  # sequence number of the last command
        self._ended_up_to = 0  # all commands up to this number have ended
        self._ended_numbers: set[int] = set()  # ended commands with numbers above `_ended_up_to`
        self._queue: deque[Once] = deque()  # commands that wait for a sequence number
        self._watches = 0
        self._last_refusal = Result.NONE  # why the last answer was not final

    # Commands.

    def propose(self, machine: str, body: bytes, within_ms: float) -> bytes:
        """Apply a command once; return the state machine's answer. Raises as `propose_with_index` does."""
        return self.propose_with_index(machine, body, within_ms).body

    def propose_with_index(self, machine: str, body: bytes, within_ms: float) -> CommandResult:
        """Have a command applied once; return the state machine's answer and the entry's index.

        Raises:
            CommandRejectedError: the command was not applied and will not be.
            ClientOverloadedError: the command was not sent, since too many commands wait here.
            OutcomeUnknownError: the command was sent, and may or may not be applied.
            ClusterUnavailableError: the command was never sent, or every member tried refused it temporarily.

        """
        until_ms = self._loop.now() + within_ms
        may_be_applied = False
        while True:
            client_id = self._client_id or self._open(until_ms)
            number = self._take_number(until_ms)
            if client_id != self._client_id:
                continue  # the client id was replaced meanwhile, and this number was never sent
            command = council_pb2.Command(client=client_id, number=number, machine=machine, body=body)
            try:
                outcome = self._submit(command, until_ms)
            finally:
                if client_id == self._client_id:
                    self._end_number(number)
            may_be_applied = may_be_applied or outcome.may_be_applied
            result = outcome.result
            if result is None:
                raise self._outcome_unknown(machine, number) if may_be_applied else self._unavailable()
            if result.refusal == Result.NONE:
                return CommandResult(result.body, result.index)
            if result.refusal == Result.CLIENT_GONE:
                if client_id == self._client_id:
                    self._forget_client()
                if not may_be_applied:
                    continue  # the command never reached the replicated state: resend under a new client id
            if result.refusal in (Result.CLIENT_GONE, Result.NUMBER_GONE):
                raise self._outcome_unknown(machine, number)
            raise _rejected(machine, result, machine=machine)

    def _submit(self, command: council_pb2.Command, until_ms: float) -> _Outcome:
        def make_request() -> pb.Ask:
            command.heard = self._ended_up_to
            return pb.Ask(command=command.SerializeToString())

        return self._request(make_request, until_ms)

    def _open(self, until_ms: float) -> int:
        """Obtain a client id; concurrent callers share one request. Raises `ClusterError` if that fails."""
        if self._opening is None:
            self._opening = Once(self._loop)
            self._loop.spawn(self._open_client, self._opening, name="asker: open")
        opening = self._opening
        try:
            with self._loop.deadline_at(until_ms):
                opening.wait()
        except TimeoutError:
            raise self._unavailable() from None
        if not opening.value:
            raise self._unavailable()
        return opening.value

    def _open_client(self, opening: Once) -> None:
        until_ms = self._loop.now() + 4.0 * ATTEMPT_TIMEOUT_MS
        result = self._submit(council_pb2.Command(), until_ms).result
        if result is not None and result.refusal == Result.NONE:
            self._client_id = result.index
            self._last_number = 0
            self._ended_up_to = 0
            self._ended_numbers = set()
        self._opening = None
        opening.set(self._client_id)

    def _forget_client(self) -> None:
        self._client_id = 0
        while self._queue:
            self._queue.popleft().set()

    def _take_number(self, until_ms: float) -> int:
        """Return the next sequence number, once the replicated state can retain that command's result."""
        client_id = self._client_id
        while self._commands_in_progress >= MAX_RETAINED_RESULTS and client_id == self._client_id:
            if len(self._queue) >= MAX_QUEUED_COMMANDS:
                raise ClientOverloadedError(
                    f"{MAX_QUEUED_COMMANDS} commands wait here already", most=MAX_QUEUED_COMMANDS
                )
            number_available = Once(self._loop)
            self._queue.append(number_available)
            try:
                with self._loop.deadline_at(until_ms):
                    number_available.wait()
            except TimeoutError:
                raise self._unavailable() from None
            finally:
                if number_available in self._queue:
                    self._queue.remove(number_available)
        self._last_number += 1
        return self._last_number

    @property
    def _commands_in_progress(self) -> int:
        return self._last_number - self._ended_up_to

    def _end_number(self, number: int) -> None:
        self._ended_numbers.add(number)
        while self._ended_up_to + 1 in self._ended_numbers:
            self._ended_up_to += 1
            self._ended_numbers.discard(self._ended_up_to)
        for _ in range(min(len(self._queue), MAX_RETAINED_RESULTS - self._commands_in_progress)):
            self._queue.popleft().set()

    # Reads.

    def read(self, machine: str, query: bytes = b"", *, within_ms: float) -> ReadResult:
        """Return a state machine's state, or its answer to a query, by a linearizable read.

        Raises `CommandRejectedError`, `ClusterUnavailableError`.
        """
        return self._view(pb.View(machine=machine, query=query, fresh=True), within_ms)

    def fact(self, machine: str, kind: str, key: str, *, within_ms: float, fresh: bool = True) -> ReadResult:
        """Return a fact; without `fresh`, possibly a stale value of one member. Raises as `read` does."""
        return self._view(pb.View(machine=machine, kind=kind, key=key, fresh=fresh), within_ms)

    def watch(
        self, machine: str, after: int = 0, *, wait_ms: float, query: bytes = b"", unlike: bytes | None = None
    ) -> ReadResult:
        """Return the state once its revision exceeds `after`, or the current state after `wait_ms`.

        With `unlike`, waits until the answer to the query differs from `unlike` instead. Raises as `read`
        does, and `ClientOverloadedError` when `MAX_WATCHES` are in progress.
        """
        if self._watches >= MAX_WATCHES:
            raise ClientOverloadedError(f"{MAX_WATCHES} watches are under way", most=MAX_WATCHES)
        self._watches += 1
        try:
            view = pb.View(machine=machine, query=query, after=after, wait_ms=int(wait_ms), unlike=unlike)
            return self._view(view, wait_ms + 4.0 * ATTEMPT_TIMEOUT_MS, wait_ms)
        finally:
            self._watches -= 1

    def request_leader(self, make_request: Callable[[], pb.Ask], within_ms: float) -> bytes:
        """Return the answer to a request that only the leader answers. Raises as `read` does."""
        outcome = self._request(make_request, self._loop.now() + within_ms)
        if outcome.result is None:
            raise self._unavailable()
        if outcome.result.refusal != Result.NONE:
            raise _rejected("the leader", outcome.result)
        return outcome.result.body

    def _view(self, view: pb.View, within_ms: float, wait_ms: float = 0.0) -> ReadResult:
        outcome = self._request(lambda: pb.Ask(view=view), self._loop.now() + within_ms, wait_ms)
        answer, result = outcome.answer, outcome.result
        if answer is None or result is None:
            raise self._unavailable()
        if result.refusal != Result.NONE:
            raise _rejected(view.machine, result, machine=view.machine)
        return ReadResult(result.body, answer.fact, answer.revision, result.index, answer.clock_ms)

    # Attempts at members.

    def _request(self, make_request: Callable[[], pb.Ask], until_ms: float, wait_ms: float = 0.0) -> _Outcome:
        """Send a request to one member after another until a final answer or the deadline."""
        backoff = Backoff(self._random, max_ms=MAX_RETRY_BACKOFF_MS)
        hops = 0  # attempts made without a wait, each to the leader that the previous answer named
        may_be_applied = False
        self._last_refusal = Result.NONE
        while self._loop.now() < until_ms:
            connection = self._get_connection(until_ms)
            if connection is None:
                continue
            retry_after_ms = 0.0
            self.attempts += 1
            attempt_until_ms = self._loop.now() + ATTEMPT_TIMEOUT_MS + wait_ms
            answer = connection.request(make_request(), min(until_ms, attempt_until_ms))
            if answer is None:
                self.unanswered_attempts += 1
                may_be_applied = True
                self._change_target(connection.name, "")
            else:
                result = Result.FromString(answer.result)
                if result.refusal not in RETRIABLE_REFUSALS:
                    return _Outcome(answer, result, may_be_applied)
                self._last_refusal = result.refusal
                may_be_applied = may_be_applied or result.refusal == Result.UNKNOWN
                retry_after_ms = float(result.again_ms)
                is_leader_known = result.refusal != Result.TOO_MANY and self._change_target(
                    connection.name, result.leader
                )
                if is_leader_known and hops < len(self._member_order):
                    hops += 1
                    continue
                hops = 0
            sleep_ms = max(backoff.next_ms(), retry_after_ms)
            self._loop.sleep(max(0.0, min(sleep_ms, until_ms - self._loop.now())))
        return _Outcome(None, None, may_be_applied)

    def _change_target(self, tried: str, leader: str) -> bool:
        """Switch to another member if `tried` is still the target; return whether the target should lead."""
        if self._target != tried:
            return True
        if leader in self._members and leader != tried:
            self._target = leader
        elif leader != tried:
            self._target = self._member_after(tried)
        if self._target != tried and self._connection is not None:
            self._retire(self._connection)
        return leader in self._members and leader != tried

    def _member_after(self, name: str) -> str:
        return self._member_order[(self._member_order.index(name) + 1) % len(self._member_order)]

    def _retire(self, connection: MemberConnection) -> None:
        """Stop using a connection, and close it once the pending requests have had time to be answered."""
        self._connection = None
        self._loop.after(ATTEMPT_TIMEOUT_MS, connection.close)

    # Connections.

    def _get_connection(self, until_ms: float) -> MemberConnection | None:
        """Return a connection to some member; None if the connect failed or the deadline passed."""
        if self._connection is not None and self._connection.is_open:
            return self._connection
        pause_ms = min(self._no_connect_before_ms, until_ms) - self._loop.now()
        if pause_ms > 0.0:
            self._loop.sleep(pause_ms)
            return None
        if self._connecting is None:
            self._connecting = Once(self._loop)
            self._loop.spawn(self._connect_target, self._connecting, name="asker: dial")
        try:
            with self._loop.deadline_at(until_ms):
                return self._connecting.wait()
        except TimeoutError:
            return None

    def _connect_target(self, connecting: Once) -> None:
        name = self._target
        connection: MemberConnection | None = None
        try:
            connection = self._connect(name)
            self._connect_error = None
        except ClusterError as exc:
            if type(exc) is not type(self._connect_error):
                self._on_error(exc)
            self._connect_error = exc
        except (OSError, TimeoutError):
            pass
        finally:
            if connection is None:
                self._connect_failed(name)
            else:
                self._failed_connects = 0
                self._connect_backoff.reset()
            self._connection = connection
            self._connecting = None
            connecting.set(connection)

    def _connect_failed(self, name: str) -> None:
        """Select the next member; once all have failed, delay the next connect for all requests."""
        if self._target == name:
            self._target = self._member_after(name)
        self._failed_connects += 1
        if self._failed_connects % len(self._member_order) == 0:
            self._no_connect_before_ms = self._loop.now() + self._connect_backoff.next_ms()

    def _connect(self, name: str) -> MemberConnection:
        with self._loop.deadline(CONNECT_TIMEOUT_MS):
            stream = self._loop.connect(self._members[name])
            try:
                stream.write(encode_frame(pb.Hello(protocol=PROTOCOL, fleet=self.fleet, name=self.name)))
                reader = FrameReader(stream)
                self._check_hello(name, reader.hello())
            except BaseException:
                stream.abort()
                raise
        return MemberConnection(self._loop, name, stream, reader)

    def _check_hello(self, name: str, hello: pb.Hello | None) -> None:
        """Check that the hello is from the expected member. Raises a `ClusterError` if it is not."""
        if hello is None:
            raise InvalidFrameError(f"{name} closed without a hello", peer=name)
        error = hello_error(hello, self.fleet)
        if error is not None:
            raise error
        if hello.refused:
            raise FleetMismatchError(f"{name} rejects us: {hello.refused[:200]}", peer=name)
        if hello.name != name:
            raise MemberNameMismatchError(
                f"{hello.name!r} answers where {name!r} should be", theirs=hello.name, wanted=name
            )

    # Errors.

    def _outcome_unknown(self, machine: str, number: int) -> OutcomeUnknownError:
        return OutcomeUnknownError(
            f"{machine}: command {number} may be applied or not",
            machine=machine,
            client=self._client_id,
            number=number,
        )

    def _unavailable(self) -> ClusterError:
        if self._connect_error is not None:
            return self._connect_error
        if self._last_refusal in (Result.NO_LEADER, Result.NOT_LEADER):
            return NoLeaderError("no member leads", again_ms=RETRY_AFTER_MS, members=self._member_order)
        return ClusterUnavailableError(
            "no member answered", again_ms=RETRY_AFTER_MS, members=self._member_order
        )

    def close(self) -> None:
        """Close the connection to the current member, if there is one."""
        if self._connection is not None:
            self._connection.close()


def _rejected(subject: str, result: Result, **facts: str) -> CommandRejectedError:
    refusal = Result.Refusal.Name(result.refusal)
    text = f"{subject}: {refusal} {result.text[:200]}".strip()
    return CommandRejectedError(text, refusal=refusal, **facts)
