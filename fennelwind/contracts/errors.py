"""What the gate's refusals are to a publisher and to a subscriber: each a type of its own, told in full."""

from fennelwind.contracts import contracts_pb2 as pb
from fennelwind.contracts.checker import told
from fennelwind.contracts.messages import read_found
from fennelwind.errors import FennelwindError

LINES_MOST = 50  # lines of one error's text; a session's error is read by a person
NAMES_MOST = 10  # subscribers named in one line; all are in the answer itself


class ContractError(FennelwindError):
    """The root of what the gate refuses."""


class WouldBreak(ContractError):
    """A change of a table, or a subscription to it, would break who reads it."""

    code = "contracts-would-break"
    advice = ("Each line names who would break, in what, and what can be done instead. Add columns at the "
              "end with a default, keep what is read, or make a second version beside the first, until the "
              "named subscribers have changed over or have gone.")


class UnderChange(ContractError):
    """Another change of the table is under way."""

    code = "contracts-under-change"
    advice = ("Ask again after the time that is told. If the change does not end, look in the log which "
              "engine it waits for; its table's lease says who carries it out.")


class UnderMove(ContractError):
    """Shards of the table are under way."""

    code = "contracts-under-move"
    advice = ("Ask again after the time that is told. No new move of the table's shards begins for a while; "
              "those that have begun end first.")


class OtherVersion(ContractError):
    """The table is not as the publisher knows it."""

    code = "contracts-other-version"
    advice = "Read the table's schema and version anew, and decide about the change on them."


class TooMany(ContractError):
    """A bound on subscriptions, tables or changes is reached."""

    code = "contracts-too-many"
    advice = ("Ask again later. If it stays so, see whether programs register under ever new names or with "
              "ever other columns; shorter terms let go of those that have gone.")


class Lapsed(ContractError):
    """A subscription, or a change, is not known any more."""

    code = "contracts-lapsed"
    advice = ("Open the session anew: it registers, and is told what came meanwhile. A change that nobody "
              "began in time has done nothing and may be proposed anew.")


class NotTheHolder(ContractError):
    """Who acts on a change does not hold its table's lease, or acts out of turn."""

    code = "contracts-not-the-holder"
    advice = ("Nothing has to be done: another controller carries the change out. If it comes often, look "
              "for controllers that stand still for long.")


class Unsound(ContractError):
    """A schema, a subscription or a proposal that the record can't take."""

    code = "contracts-unsound"
    advice = "Correct what the text names; the bounds are in docs/operators/contracts.md."


KINDS: dict[int, type[ContractError]] = {
    pb.BROKEN: WouldBreak, pb.CHANGING: UnderChange, pb.MOVING: UnderMove, pb.VERSION: OtherVersion,
    pb.INVALID: Unsound, pb.TOO_MANY: TooMany, pb.GONE: Lapsed, pb.FENCE: NotTheHolder,
    pb.STEP: NotTheHolder, pb.NOT_YOURS: NotTheHolder}


def lines(answer: pb.ContractAnswer) -> list[str]:
    """Return what an answer says of whom, gravest first, a line for each."""
    said = [told(finding) for finding in (*read_found(answer.found), *read_found(answer.since))]
    for each in answer.readers:
        names = ", ".join(each.names[:NAMES_MOST])
        more = f" and {len(each.names) - NAMES_MOST} more" if len(each.names) > NAMES_MOST else ""
        said += [f"{names}{more}: {told(finding)}" for finding in read_found(each.found)]
    if answer.more:
        said.append(f"{answer.more} more subscribers")
    left = len(said) - LINES_MOST
    return [*said[:LINES_MOST], f"{left} more lines"] if left > 0 else said


def refusal(answer: pb.ContractAnswer) -> ContractError | None:
    """Return the error that an answer is; None: nothing was refused."""
    if not answer.refusal:
        return None
    kind = KINDS.get(answer.refusal, Unsound)
    said = lines(answer) if kind is WouldBreak else []
    text = "; ".join([part for part in (answer.text, *said) if part]) or kind.__doc__.rstrip(".")
    subscribers = sum(len(each.names) for each in answer.readers) + answer.more
    return kind(text, refusal=pb.Refusal.Name(answer.refusal), version=answer.version,
                again_ms=answer.again_ms, subscribers=subscribers)
