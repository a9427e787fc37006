"""Bootstrap: a member without a log asks to join; if no group exists, the first by name creates one.

No I/O.
"""

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.messages import Incarnation

# A report of an empty log expires after this many election timeouts. A member requests new reports once every
# election timeout.
EMPTY_REPORT_TIMEOUTS = 4


class Bootstrap:
    """What a member without a log knows of the other members."""

    def __init__(self, me: Incarnation, configured_members: dict[str, pb.Member]) -> None:
        self.me, self.configured_members = me, configured_members
        self.empty_members: dict[str, float] = {}  # when a member reported an empty log, by its name
        self.incarnation_ids: dict[str, bytes] = {}
        self.next_request_ms: float | None = None  # when to send join requests again; None before the first

    def join_requests(self) -> list[tuple[Incarnation, pb.Message]]:
        """Return a join request for each other configured member, whose incarnation isn't known yet."""
        configured = self.configured_members.get(self.me.name)
        member = pb.Member(
            name=self.me.name, life=self.me.id, address=configured.address if configured else ""
        )
        return [
            (Incarnation(name, b""), pb.Message(join=pb.Join(member=member)))
            for name in sorted(self.configured_members)
            if name != self.me.name
        ]

    def handle_response(self, sender: Incarnation, answer: pb.JoinAnswer, now: float) -> None:
        """Record whether another member reports an empty log."""
        if sender.name not in self.configured_members or answer.life != sender.id:
            return
        if answer.word == pb.JoinAnswer.EMPTY:
            self.empty_members[sender.name] = now
        else:
            self.empty_members.pop(sender.name, None)

    def should_found_group(self, now: float, election_ms: float) -> bool:
        """Whether this member is to create the group: it is first by name and all others reported empty logs.

        Only recent reports count: a member may since have joined another group without notifying this member.
        """
        others = set(self.configured_members) - {self.me.name}
        empty = {
            name for name, at in self.empty_members.items() if now - at <= EMPTY_REPORT_TIMEOUTS * election_ms
        }
        return (
            self.me.name in self.configured_members
            and self.me.name == min(self.configured_members)
            and others <= empty
        )
