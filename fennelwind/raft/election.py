"""Asking for votes and giving them, with a pre-vote. No I/O."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.messages import Incarnation

if TYPE_CHECKING:
    from fennelwind.raft.member import RaftMember


@dataclass(slots=True)
class Ballot:
    """One member's asking, before a term (nothing is written for it) or in it."""

    before: bool
    term: int  # the term it asks for, or would
    write: int = 0  # the write with its own vote, which counts when that is done
    granted: set[Incarnation] = field(default_factory=set)

    def won(self, voters: Sequence[Incarnation]) -> bool:
        """Whether more than half of the voters said yes."""
        return 2 * sum(life in self.granted for life in voters) > len(voters)


def lacks_nothing(vote: pb.Vote, last_term: int, last_index: int) -> bool:
    """Whether who asks has all that this log has, by its last entry's term and index."""
    return (vote.last_term, vote.last_index) >= (last_term, last_index)


def ask_before(core: "RaftMember") -> None:
    """Ask whether a majority would vote for this member: only then a term is worth it."""
    core.leader = None
    core.ballot = Ballot(True, core.term + 1, granted={core.me})
    _ask(core, core.term + 1, pb.Vote(before=True))


def ask(core: "RaftMember", handed_over: bool = False) -> None:
    """Begin a term and ask for votes in it; the own one counts when it is on the disk."""
    core.follow(core.term + 1, None)
    core.voted = core.me
    core.set_hard()
    core.ballot = Ballot(False, core.term, write=core.writes.coming)
    core.draw()
    _ask(core, core.term, pb.Vote(handed_over=handed_over))


def _ask(core: "RaftMember", term: int, vote: pb.Vote) -> None:
    vote.last_index, vote.last_term = core.log.last, core.log.last_term
    for life in core.log.config.voters:
        if life != core.me:
            core.send(life, pb.Message(term=term, vote=vote))


def asked(core: "RaftMember", sender: Incarnation, term: int, vote: pb.Vote) -> None:
    """Answer one that asks. Who hears a leader gives no vote, unless that leader asked for it.

    One that isn't a member by this log may be by a later one, and is answered; a mute member, and one without
    a record, gives no vote.
    """
    if core.mute or core.empty:
        core.counts["vote not given"] += 1
        return
    known = sender in core.log.config.lives
    heard = core.hears() and not (vote.handed_over and known and not vote.before)
    fit = lacks_nothing(vote, core.log.last_term, core.log.last)
    if vote.before:
        granted = fit and not heard and term > core.term
        answer = pb.VoteAnswer(before=True, granted=granted)
        core.send(sender, pb.Message(term=term if granted else core.term, vote_answer=answer))
        if core.leading is not None and not known and core.log.config.index <= core.commit:
            word = pb.JoinAnswer(word=pb.JoinAnswer.REFUSED, leader=core.me.name, life=core.me.life)
            core.send(sender, pb.Message(term=core.term, join_answer=word))  # it may not know yet
        return
    if heard:
        core.counts["vote not given"] += 1
        return
    if term > core.term:
        core.follow(term, None)
    granted = term == core.term and fit and core.voted in (None, sender) and core.leader is None
    if granted:
        if core.voted is None:
            core.voted = sender
            core.set_hard()
        core.draw()
    core.send(sender, pb.Message(term=core.term, vote_answer=pb.VoteAnswer(granted=granted)))


def answered(core: "RaftMember", sender: Incarnation, term: int, answer: pb.VoteAnswer) -> None:
    """Count an answer, if it is one to what is asked now."""
    ballot = core.ballot
    if ballot is None or sender not in core.log.config.voters:
        core.counts["late"] += 1
    elif answer.granted:
        if answer.before == ballot.before and term == ballot.term:
            ballot.granted.add(sender)
    elif term > core.term:
        core.follow(term, None)
