"""Who asks for votes, and who gets one. No I/O."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from fennelwind.council import council_pb2 as pb
from fennelwind.council.interface import Life


@dataclass(slots=True)
class Ballot:
    """One member's asking, before a term (nothing is written for it) or in it."""

    before: bool
    term: int  # the term it asks for, or would
    write: int = 0  # the write with its own vote, which counts when that is done
    granted: set[Life] = field(default_factory=set)

    def won(self, voters: Sequence[Life]) -> bool:
        """Whether more than half of the voters said yes."""
        return 2 * sum(life in self.granted for life in voters) > len(voters)


def lacks_nothing(vote: pb.Vote, last_term: int, last_index: int) -> bool:
    """Whether who asks has all that this log has, by its last entry's term and index."""
    return (vote.last_term, vote.last_index) >= (last_term, last_index)
