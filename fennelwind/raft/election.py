"""Asking for votes and giving them, with a pre-vote. No I/O."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.messages import Incarnation

if TYPE_CHECKING:
    from fennelwind.raft.member import RaftMember


@dataclass(slots=True)
class Campaign:
    """One member's asking, before a term (nothing is written for it) or in it."""

    is_pre_vote: bool
    term: int  # the term it asks for, or would
    vote_write_number: int = 0  # the write with its own vote, which counts when that is done
    granted: set[Incarnation] = field(default_factory=set)

    def is_won(self, voters: Sequence[Incarnation]) -> bool:
        """Whether more than half of the voters said yes."""
        return 2 * sum(voter in self.granted for voter in voters) > len(voters)


def is_log_up_to_date(vote: pb.Vote, last_term: int, last_index: int) -> bool:
    """Whether who asks has all that this log has, by its last entry's term and index."""
    return (vote.last_term, vote.last_index) >= (last_term, last_index)


def start_pre_vote(member: "RaftMember") -> None:
    """Ask whether a majority would vote for this member: only then a term is worth it."""
    member.leader = None
    member.campaign = Campaign(True, member.term + 1, granted={member.me})
    _request_votes(member, member.term + 1, pb.Vote(before=True))


def start_election(member: "RaftMember", handed_over: bool = False) -> None:
    """Begin a term and ask for votes in it; the own one counts when it is on the disk."""
    member.become_follower(member.term + 1, None)
    member.voted_for = member.me
    member.save_hard_state()
    member.campaign = Campaign(False, member.term, vote_write_number=member.pending_writes.next_number)
    member.reset_election_timer()
    _request_votes(member, member.term, pb.Vote(handed_over=handed_over))


def _request_votes(member: "RaftMember", term: int, vote: pb.Vote) -> None:
    vote.last_index, vote.last_term = member.log.last_index, member.log.last_term
    for life in member.log.configuration.voters:
        if life != member.me:
            member.send(life, pb.Message(term=term, vote=vote))


def handle_vote_request(member: "RaftMember", sender: Incarnation, term: int, vote: pb.Vote) -> None:
    """Answer one that asks. Who hears a leader gives no vote, unless that leader asked for it.

    One that isn't a member by this log may be by a later one, and is answered; a mute member, and one without
    a record, gives no vote.
    """
    if member.storage_failed or member.is_empty:
        member.counters["vote not given"] += 1
        return
    known = sender in member.log.configuration.incarnations
    heard = member.has_live_leader() and not (vote.handed_over and known and not vote.before)
    fit = is_log_up_to_date(vote, member.log.last_term, member.log.last_index)
    if vote.before:
        granted = fit and not heard and term > member.term
        answer = pb.VoteAnswer(before=True, granted=granted)
        member.send(sender, pb.Message(term=term if granted else member.term, vote_answer=answer))
        if (
            member.leader_state is not None
            and not known
            and member.log.configuration.index <= member.commit_index
        ):
            word = pb.JoinAnswer(word=pb.JoinAnswer.REFUSED, leader=member.me.name, life=member.me.life)
            member.send(sender, pb.Message(term=member.term, join_answer=word))  # it may not know yet
        return
    if heard:
        member.counters["vote not given"] += 1
        return
    if term > member.term:
        member.become_follower(term, None)
    granted = term == member.term and fit and member.voted_for in (None, sender) and member.leader is None
    if granted:
        if member.voted_for is None:
            member.voted_for = sender
            member.save_hard_state()
        member.reset_election_timer()
    member.send(sender, pb.Message(term=member.term, vote_answer=pb.VoteAnswer(granted=granted)))


def handle_vote_response(member: "RaftMember", sender: Incarnation, term: int, answer: pb.VoteAnswer) -> None:
    """Count an answer, if it is one to what is asked now."""
    ballot = member.campaign
    if ballot is None or sender not in member.log.configuration.voters:
        member.counters["late"] += 1
    elif answer.granted:
        if answer.before == ballot.is_pre_vote and term == ballot.term:
            ballot.granted.add(sender)
    elif term > member.term:
        member.become_follower(term, None)
