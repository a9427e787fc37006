"""What one controller does for the subscribers whose sessions are open at it: events in, actions out, no I/O.

Sessions that say the same are one subscription: registered once, renewed while one of them is open, and left
to lapse by its term when the last has closed. Nothing on a session's way waits for the record: it opens, and
what the record said of it is there to be told with its first statement. While nobody answers, it asks again.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from fennelwind.contracts import contracts_pb2 as pb
from fennelwind.contracts.errors import ContractError, TooMany, refusal
from fennelwind.contracts.rules import NUMBER
from fennelwind.contracts.said import Subscription, subscription

FORMS_MOST = 2000  # different subscriptions of one controller's sessions
RENEWED_MOST = 500  # numbers in one command
RENEW_PART = 3  # a subscription is renewed when this part of its term has gone: two losses may be borne
AGAIN_FIRST_MS, AGAIN_MOST_MS = 1000.0, 60_000.0  # ms until the record is asked again; it doubles
ASKED_MS = 30_000.0  # ms after which an answer is no longer waited for


@dataclass(slots=True, frozen=True)
class Ask:
    """A command for the record; `Answered` with its token tells what it said."""

    token: int
    command: pb.ContractCommand


@dataclass(slots=True, frozen=True)
class Answered:
    """What the record said; None: nobody knows."""

    token: int
    answer: pb.ContractAnswer | None


class _Form:
    """A subscription that sessions have open."""

    __slots__ = ("said", "open", "number", "due", "token", "wait_ms", "error")

    def __init__(self, said: Subscription, now: float) -> None:
        self.said, self.open = said, 0
        self.number = 0  # on the record; 0: not registered
        self.due, self.token = now, 0  # when it is to be asked for; the question under way
        self.wait_ms = AGAIN_FIRST_MS
        self.error: ContractError | None = None


class Desk:
    """The subscriptions of one controller."""

    def __init__(self) -> None:
        self._forms: dict[Subscription, _Form] = {}
        self._asked: dict[int, tuple[float, list[_Form]]] = {}  # by token: when, for whom
        self._token = 0

    def opened(self, now: float, configuration: Mapping[str, str], protocol: int,
               database: str = "") -> Subscription | None:
        """Take a session that opens; return what it subscribes to, None if to nothing.

        The same value goes to `closed`. Raises `SaidError` for what can't be read, `TooMany`.
        """
        said = subscription(configuration, protocol, database)
        if said is None:
            return None
        form = self._forms.get(said)
        if form is None:
            if len(self._forms) >= FORMS_MOST:
                raise TooMany(f"{FORMS_MOST} different subscriptions are open at this controller")
            form = self._forms[said] = _Form(said, now)
        elif form.error is not None:  # the table may be another by now
            form.error, form.due = None, now
        form.open += 1
        return said

    def closed(self, said: Subscription) -> None:
        """Take a session's end. Its subscription lapses by its term once no other session has it."""
        form = self._forms[said]
        form.open -= 1
        if not form.open:
            del self._forms[said]

    def error(self, said: Subscription) -> ContractError | None:
        """Return why the record does not take a subscription; None: it does, or has not answered yet."""
        form = self._forms.get(said)
        return form.error if form is not None else None

    @property
    def due(self) -> float | None:
        """When `step` has to be called though nothing happens; None: when a session opens."""
        times = [form.due for form in self._forms.values() if not form.token and form.error is None]
        return min([*times, *(at + ASKED_MS for at, _ in self._asked.values())], default=None)

    def step(self, now: float, events: Iterable[Answered] = ()) -> list[Ask]:
        """Take answers; return what is to be asked."""
        for event in events:
            asked = self._asked.pop(event.token, None)
            if asked is not None:
                self._answered(now, asked[1], event)
        for token in [t for t, (at, _) in self._asked.items() if at + ASKED_MS <= now]:
            self._answered(now, self._asked.pop(token)[1], Answered(token, None))
        asks, renewed = [], []
        for form in self._forms.values():
            if form.token or form.error is not None or form.due > now:
                continue
            if form.number:
                renewed.append(form)
            else:
                asks.append(self._ask(now, [form], form.said.command()))
        for start in range(0, len(renewed), RENEWED_MOST):
            part = renewed[start:start + RENEWED_MOST]
            renew = pb.Renew(numbers=[form.number for form in part])
            asks.append(self._ask(now, part, pb.ContractCommand(rules=NUMBER, renew=renew)))
        return asks

    def _ask(self, now: float, forms: list[_Form], command: pb.ContractCommand) -> Ask:
        self._token += 1
        self._asked[self._token] = now, forms
        for form in forms:
            form.token = self._token
        return Ask(self._token, command)

    def _answered(self, now: float, forms: list[_Form], event: Answered) -> None:
        answer = event.answer
        for form in forms:
            if form.token != event.token:
                continue
            form.token = 0
            if answer is None or answer.refusal in (pb.TOO_MANY, pb.CHANGING):
                form.due = now + form.wait_ms
                form.wait_ms = min(2 * form.wait_ms, AGAIN_MOST_MS)
                continue
            form.wait_ms = AGAIN_FIRST_MS
            if form.number:  # this was a renewal
                lives = form.number not in answer.gone
                form.number, form.due = (form.number, self._next(now, form)) if lives else (0, now)
            elif answer.refusal:
                form.error = refusal(answer)
            else:
                form.number, form.due = answer.number, self._next(now, form)

    def _next(self, now: float, form: _Form) -> float:
        return now + form.said.term_s * 1000.0 / RENEW_PART
