"""A member without a record asks to be let in; the first by name founds one if nobody has any. No I/O."""

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.messages import Incarnation

EMPTY_REPORT_TIMEOUTS = 4  # election time-outs for which a word counts; it is asked for anew with each one


class Bootstrap:
    """What a member knows of the others while it has no record."""

    def __init__(self, me: Incarnation, stated: dict[str, pb.Member]) -> None:
        self.me, self.configured_members = me, stated
        self.empty_members: dict[str, float] = {}  # ms, when who said that it has no record either
        self.lives: dict[str, bytes] = {}
        self.next_request_ms: float | None = None  # ms, when it asks again

    def join_requests(self) -> list[tuple[Incarnation, pb.Message]]:
        """Return what is asked of all others, whose lives aren't known yet."""
        stated = self.configured_members.get(self.me.name)
        member = pb.Member(name=self.me.name, life=self.me.id, address=stated.address if stated else "")
        return [
            (Incarnation(name, b""), pb.Message(join=pb.Join(member=member)))
            for name in sorted(self.configured_members)
            if name != self.me.name
        ]

    def handle_response(self, sender: Incarnation, answer: pb.JoinAnswer, now: float) -> None:
        """Take another's word."""
        if sender.name not in self.configured_members or answer.life != sender.id:
            return
        if answer.word == pb.JoinAnswer.EMPTY:
            self.empty_members[sender.name] = now
        else:
            self.empty_members.pop(sender.name, None)

    def should_found_group(self, now: float, election_ms: float) -> bool:
        """Whether this member is to found the record: the first by name, and all others have none.

        All have said so of late: one that was let in since is another's member, though nothing tells us.
        """
        others = set(self.configured_members) - {self.me.name}
        said = {
            name for name, at in self.empty_members.items() if now - at <= EMPTY_REPORT_TIMEOUTS * election_ms
        }
        return (
            self.me.name in self.configured_members
            and self.me.name == min(self.configured_members)
            and others <= said
        )
