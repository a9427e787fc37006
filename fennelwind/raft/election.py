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
    """A candidate's campaign: a pre-vote, which writes nothing, or the election itself."""

    is_pre_vote: bool
    term: int  # the term of the election; in a pre-vote, the term that the election would start
    vote_write_number: int = 0  # the candidate's own vote counts once this write is durable
    granted: set[Incarnation] = field(default_factory=set)

    def is_won(self, voters: Sequence[Incarnation]) -> bool:
        """Whether more than half of the voters granted their vote."""
        return 2 * sum(voter in self.granted for voter in voters) > len(voters)


def is_log_up_to_date(vote: pb.Vote, last_term: int, last_index: int) -> bool:
    """Whether the candidate's log is at least as up to date as one that ends at this term and index."""
    return (vote.last_term, vote.last_index) >= (last_term, last_index)


def start_pre_vote(member: "RaftMember") -> None:
    """Ask whether a majority would vote for this member, before it starts a new term."""
    member.leader = None
    member.campaign = Campaign(True, member.term + 1, granted={member.me})
    _request_votes(member, member.term + 1, pb.Vote(before=True))


def start_election(member: "RaftMember", handed_over: bool = False) -> None:
    """Begin a term and request votes; this member's own vote counts once the vote is durable."""
    member.become_follower(member.term + 1, None)
    member.voted_for = member.me
    member.save_hard_state()
    member.campaign = Campaign(False, member.term, vote_write_number=member.pending_writes.next_number)
    member.reset_election_timer()
    _request_votes(member, member.term, pb.Vote(handed_over=handed_over))


def _request_votes(member: "RaftMember", term: int, vote: pb.Vote) -> None:
    vote.last_index, vote.last_term = member.log.last_index, member.log.last_term
    for voter in member.log.configuration.voters:
        if voter != member.me:
            member.send(voter, pb.Message(term=term, vote=vote))


def handle_vote_request(member: "RaftMember", sender: Incarnation, term: int, vote: pb.Vote) -> None:
    """Answer a vote request; reject it while a leader is alive, unless that leader transferred leadership.

    A candidate outside the configuration in this member's log may belong to a later configuration, so it gets
    an answer too. A member whose storage has failed, or that has no log yet, does not answer.
    """
    if member.storage_failed or member.is_empty:
        member.counters["vote not given"] += 1
        return
    is_known = sender in member.log.configuration.incarnations
    has_leader = member.has_live_leader() and not (vote.handed_over and is_known and not vote.before)
    is_up_to_date = is_log_up_to_date(vote, member.log.last_term, member.log.last_index)
    if vote.before:
        granted = is_up_to_date and not has_leader and term > member.term
        answer = pb.VoteAnswer(before=True, granted=granted)
        member.send(sender, pb.Message(term=term if granted else member.term, vote_answer=answer))
        if (
            member.leader_state is not None
            and not is_known
            and member.log.configuration.index <= member.commit_index
        ):
            notice = pb.JoinAnswer(word=pb.JoinAnswer.REFUSED, leader=member.me.name, life=member.me.id)
            member.send(
                sender, pb.Message(term=member.term, join_answer=notice)
            )  # the candidate may not know that it was removed
        return
    if has_leader:
        member.counters["vote not given"] += 1
        return
    if term > member.term:
        member.become_follower(term, None)
    granted = (
        term == member.term and is_up_to_date and member.voted_for in (None, sender) and member.leader is None
    )
    if granted:
        if member.voted_for is None:
            member.voted_for = sender
            member.save_hard_state()
        member.reset_election_timer()
    member.send(sender, pb.Message(term=member.term, vote_answer=pb.VoteAnswer(granted=granted)))


def handle_vote_response(member: "RaftMember", sender: Incarnation, term: int, answer: pb.VoteAnswer) -> None:
    """Count a vote granted to the current campaign; step down if a rejection has a later term."""
    campaign = member.campaign
    if campaign is None or sender not in member.log.configuration.voters:
        member.counters["late"] += 1
    elif answer.granted:
        if answer.before == campaign.is_pre_vote and term == campaign.term:
            campaign.granted.add(sender)
    elif term > member.term:
        member.become_follower(term, None)
