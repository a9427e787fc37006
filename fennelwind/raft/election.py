"""Elections with pre-vote: campaigns, vote requests and responses. No I/O."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.messages import Incarnation

if TYPE_CHECKING:
    from fennelwind.raft.member import RaftMember


@dataclass(slots=True)
class Campaign:
    """One member's campaign: a pre-vote for the next term, which writes nothing, or the election in it."""

    is_pre_vote: bool
    term: int  # the term of the election, or of the one that the pre-vote is for
    vote_write_number: int = 0  # the write with its own vote, which counts when that is done
    granted: set[Incarnation] = field(default_factory=set)

    def is_won(self, voters: Sequence[Incarnation]) -> bool:
        """Whether more than half of the voters granted their vote."""
        return 2 * sum(voter in self.granted for voter in voters) > len(voters)


def is_log_up_to_date(vote: pb.Vote, last_term: int, last_index: int) -> bool:
    """Whether the candidate's log is at least as up to date, by the last entry's term and index."""
    return (vote.last_term, vote.last_index) >= (last_term, last_index)


def start_pre_vote(member: "RaftMember") -> None:
    """Ask whether a majority would vote for this member: only then a term is worth it."""
    member.leader = None
    member.campaign = Campaign(True, member.term + 1, granted={member.me})
    _request_votes(member, member.term + 1, pb.Vote(before=True))


def start_election(member: "RaftMember", handed_over: bool = False) -> None:
    """Begin a term and request votes; this member's own vote counts once it is on the disk."""
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
    """Answer a vote request. A member that hears a live leader rejects it, unless that leader handed over.

    A candidate outside this log's configuration may be in a later one, and is answered. A member whose
    storage has failed, or that has no log yet, does not answer.
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
            word = pb.JoinAnswer(word=pb.JoinAnswer.REFUSED, leader=member.me.name, life=member.me.id)
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
    campaign = member.campaign
    if campaign is None or sender not in member.log.configuration.voters:
        member.counters["late"] += 1
    elif answer.granted:
        if answer.before == campaign.is_pre_vote and term == campaign.term:
            campaign.granted.add(sender)
    elif term > member.term:
        member.become_follower(term, None)
