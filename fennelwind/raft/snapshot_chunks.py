"""Reassembly of a snapshot received in chunks; an interrupted transfer resumes where it stopped. No I/O."""

import crc32c

from fennelwind.raft import council_pb2 as pb

MAX_SNAPSHOT_BYTES = 512 * 1024 * 1024  # bytes; a member holds the whole snapshot in memory


class SnapshotReceiver:
    """The chunks received so far of an incoming snapshot."""

    def __init__(self) -> None:
        self.head: pb.SnapshotHead | None = None
        self.data = bytearray()

    def add_chunk(self, chunk: pb.Piece) -> bytes | None:
        """Add a chunk; return the snapshot once it is complete and its checksum matches, else None.

        A chunk that doesn't follow the received data is ignored.
        """
        if self.head != chunk.head:
            self.head, self.data = chunk.head, bytearray()
        if chunk.offset == len(self.data) and len(self.data) + len(chunk.data) <= chunk.head.size:
            self.data += chunk.data
        if len(self.data) < chunk.head.size:
            return None
        data = bytes(self.data)
        if crc32c.crc32c(data) != chunk.head.crc32c:
            self.data = bytearray()  # the data is corrupt, so receive the snapshot again from the start
            return None
        return data

    def reset(self) -> None:
        """Discard the received chunks."""
        self.head, self.data = None, bytearray()


def make_snapshot_head(
    index: int, term: int, clock_ms: int, members: pb.Members, data: bytes
) -> pb.SnapshotHead:
    """Return the header of a snapshot."""
    return pb.SnapshotHead(
        index=index, term=term, clock_ms=clock_ms, members=members, size=len(data), crc32c=crc32c.crc32c(data)
    )
