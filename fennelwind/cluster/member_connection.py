"""A Raft client's connection to one member, for requests and their answers.

`raft_client.RaftClient` opens and owns the connection. A request that is not answered in time is abandoned;
if the member has sent nothing at all since the request, the connection is closed as well.
"""

from fennelwind.cluster import keeper_pb2 as pb
from fennelwind.cluster.errors import InvalidFrameError
from fennelwind.cluster.framing import FrameReader, Outbox, encode_frame
from fennelwind.loop import Loop, Once, Stream, Task


class MemberConnection:
    """An open connection, after the exchange of hellos."""

    def __init__(self, loop: Loop, name: str, stream: Stream, reader: FrameReader) -> None:
        self.name = name
        self.is_open = True
        self._loop = loop
        self._stream = stream
        self._reader = reader
        self._outbox = Outbox(loop)
        self._received_at_ms = loop.now()
        self._last_request_id = 0
        self._answers: dict[int, Once] = {}  # waiters for the answers, by request id
        self._tasks: list[Task] = [
            loop.spawn(self._read, name=f"asker: from {name}"),
            loop.spawn(self._write, name=f"asker: to {name}"),
        ]

    def request(self, message: pb.Ask, until_ms: float) -> pb.Told | None:
        """Send a request and return its answer; None if the connection broke or the deadline passed."""
        if not self.is_open:
            return None
        self._last_request_id += 1
        request_id = self._last_request_id
        answer = self._answers[request_id] = Once(self._loop)
        sent_at_ms = self._loop.now()
        message.token = request_id
        try:
            if not self._outbox.put(encode_frame(pb.Frame(ask=message))):
                return None
            with self._loop.deadline_at(until_ms):
                return answer.wait()
        except TimeoutError:
            if self._received_at_ms < sent_at_ms:  # the member sent nothing since the request
                self.close()
            return None
        finally:
            self._answers.pop(request_id, None)

    def _read(self) -> None:
        try:
            while (frame := self._reader.frame()) is not None and frame.WhichOneof("what") == "told":
                self._received_at_ms = self._loop.now()
                answer = self._answers.pop(frame.told.token, None)
                if answer is not None:
                    answer.set(frame.told)
        except (OSError, InvalidFrameError):
            pass
        finally:
            self.close()

    def _write(self) -> None:
        try:
            self._outbox.run(self._stream)
        except (OSError, TimeoutError):
            self.close()

    def close(self) -> None:
        """Close the connection; requests in progress return None."""
        if not self.is_open:
            return
        self.is_open = False
        self._stream.abort()
        answers, self._answers = self._answers, {}
        for answer in answers.values():
            answer.set(None)
        for task in self._tasks:
            if task is not self._loop.current:
                task.cancel()
