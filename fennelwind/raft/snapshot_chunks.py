"""A snapshot that comes in pieces, and goes on where it broke off. No I/O."""

import crc32c

from fennelwind.raft import council_pb2 as pb

SNAPSHOT_MOST = 512 * 1024 * 1024  # bytes; a member holds it in memory


class Incoming:
    """The snapshot that is coming in, as far as it has come."""

    def __init__(self) -> None:
        self.head: pb.SnapshotHead | None = None
        self.data = bytearray()

    def take(self, piece: pb.Piece) -> bytes | None:
        """Add a piece; return the whole when it is whole and sound. One that doesn't fit on is left out."""
        if self.head != piece.head:
            self.head, self.data = piece.head, bytearray()
        if piece.offset == len(self.data) and len(self.data) + len(piece.data) <= piece.head.size:
            self.data += piece.data
        if len(self.data) < piece.head.size:
            return None
        whole = bytes(self.data)
        if crc32c.crc32c(whole) != piece.head.crc32c:
            self.data = bytearray()  # begins anew
            return None
        return whole

    def drop(self) -> None:
        """Forget what has come."""
        self.head, self.data = None, bytearray()


def head_of(index: int, term: int, clock_ms: int, members: pb.Members, data: bytes) -> pb.SnapshotHead:
    """Return what is to be known of a snapshot."""
    return pb.SnapshotHead(
        index=index, term=term, clock_ms=clock_ms, members=members, size=len(data), crc32c=crc32c.crc32c(data)
    )
