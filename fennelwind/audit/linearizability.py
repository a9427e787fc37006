"""Tells whether a history of operations is linearizable: as if each had been done at one moment of its time.

A history is what clients asked and got, with times. Whose answer never came may have been done at any time
from when it was asked on, or never. The search is Wing and Gong's (1993) with Lowe's memory of what was seen
(2017): an operation that may be next, by the times, is tried on the model; a set of done operations that gave
the same state is not looked at twice. Keys that have nothing to do with each other are checked one by one
(Herlihy and Wing's locality). Knows nothing of how the answers came about.
"""

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

STEPS_MOST = 2_000_000  # operations tried on the model for one key; some 4 s
MEMORY_MOST = 512 * 1024 * 1024  # bytes of what was seen, each a bit an operation and some 200 bytes
ABSENT = None  # what a key holds that was never put, or is deleted


@dataclass(slots=True, frozen=True)
class Operation:
    """One thing that a client asked; times of any one clock that all share."""

    client: str
    key: Hashable
    invoked: float
    returned: float | None  # None: its outcome is unknown
    what: str
    argument: Any = None
    result: Any = None  # of no meaning where the outcome is unknown


# A model tells what an operation makes of a key's state, and its answer, of (state, what, argument).
Model = Callable[[Hashable, str, Any], tuple[Hashable, Any]]


def dictionary(state: Hashable, what: str, argument: Any) -> tuple[Hashable, Any]:
    """Return what one key of a dictionary becomes, and answers.

    get: its value; put: None; add: the sum; swap, of (expected, new): whether it was as expected; delete:
    whether it was there. Raises `UnknownOperation`.
    """
    match what:
        case "get":
            return state, state
        case "put":
            return argument, None
        case "add":
            return (state or 0) + argument, (state or 0) + argument
        case "swap":
            return (argument[1], True) if state == argument[0] else (state, False)
        case "delete":
            return ABSENT, state is not ABSENT
    raise UnknownOperation(what)


class UnknownOperation(Exception):
    """The model knows no such operation."""


@dataclass(slots=True, frozen=True)
class Linearizable:
    """There is such an order; `tried` operations were tried to find it."""

    orders: dict[Hashable, tuple[Operation, ...]] = field(default_factory=dict)  # by key; each explains all
    tried: int = 0


@dataclass(slots=True, frozen=True)
class Broken:
    """There is none; the longest order that was found, and what stands against a longer one."""

    key: Hashable
    order: tuple[Operation, ...]
    against: Operation
    tried: int = 0


@dataclass(slots=True, frozen=True)
class TooLarge:
    """It was not found out within the bound."""

    key: Hashable
    operations: int
    tried: int


@dataclass(slots=True, frozen=True)
class Unreadable:
    """It is no history: it ends before it begins, or the model knows no such operation."""

    operation: Operation
    why: str


Answer = Linearizable | Broken | TooLarge | Unreadable


class _Mark(NamedTuple):
    at: float
    is_return: bool  # at one moment asks come ahead of answers: those operations overlap
    number: int


class _Node:
    """A mark in a list from which it can be lifted and put back."""

    __slots__ = ("number", "is_answer", "before", "after", "match")

    def __init__(self, number: int, is_answer: bool = False) -> None:
        self.number, self.is_answer = number, is_answer
        self.before: _Node | None = None
        self.after: _Node | None = None
        self.match: _Node | None = None  # an ask's answer; None: of an answer, or unknown


def check(
    history: Iterable[Operation],
    model: Model = dictionary,
    start: Hashable = ABSENT,
    steps_most: int = STEPS_MOST,
) -> Answer:
    """Check a history against a model, key by key; the first key that is not in order is the answer."""
    by_key: dict[Hashable, list[Operation]] = {}
    for operation in history:
        if operation.returned is not None and operation.returned < operation.invoked:
            return Unreadable(operation, "it returned before it was asked")
        by_key.setdefault(operation.key, []).append(operation)
    orders, tried = {}, 0
    for key, operations in by_key.items():
        answer = _check_key(key, operations, model, start, steps_most)
        if not isinstance(answer, Linearizable):
            return answer
        orders |= answer.orders
        tried += answer.tried
    return Linearizable(orders, tried)


def _marks(operations: list[Operation]) -> _Node:
    """Return the head of the list of asks and answers in order of their times."""
    marks = [_Mark(o.invoked, False, i) for i, o in enumerate(operations)]
    marks += [_Mark(o.returned, True, i) for i, o in enumerate(operations) if o.returned is not None]
    head = last = _Node(-1)
    asks: dict[int, _Node] = {}
    for mark in sorted(marks):
        node = _Node(mark.number, mark.is_return)
        node.before, last.after = last, node
        last = node
        if mark.is_return:
            asks[mark.number].match = node
        else:
            asks[mark.number] = node
    return head


def _check_key(
    key: Hashable, operations: list[Operation], model: Model, start: Hashable, steps_most: int
) -> Answer:
    head = _marks(operations)
    steps_most = min(steps_most, MEMORY_MOST // (len(operations) // 8 + 200))
    left = sum(operation.returned is not None for operation in operations)  # answered, and not in the order
    state, done, tried = start, 0, 0
    seen: set[tuple[int, Hashable]] = {(0, start)}
    stack: list[tuple[_Node, Hashable]] = []
    longest: list[int] = []
    against = -1
    node = head.after  # while anything is left, an answer is met before the list ends
    while left:
        if node.is_answer:  # its operation has to come before, and nothing that may be next leads there
            if len(stack) >= len(longest):
                longest, against = [ask.number for ask, _ in stack], node.number
            if not stack:
                return Broken(key, tuple(operations[i] for i in longest), operations[against], tried)
            node, state = stack.pop()
            done &= ~(1 << node.number)
            left += node.match is not None
            _put_back(node)
            node = node.after
            continue
        tried += 1
        if tried > steps_most:
            return TooLarge(key, len(operations), tried)
        operation = operations[node.number]
        try:
            after, result = model(state, operation.what, operation.argument)
        except UnknownOperation:
            return Unreadable(operation, "the model knows no such operation")
        fits = operation.returned is None or _same(result, operation.result)
        place = (done | 1 << node.number, after)
        if fits and place not in seen:
            seen.add(place)
            stack.append((node, state))
            state, done = after, place[0]
            left -= node.match is not None
            _lift(node)
            node = head.after
        else:
            node = node.after
    return Linearizable({key: tuple(operations[ask.number] for ask, _ in stack)}, tried)


def _same(one: Any, other: Any) -> bool:
    """Tell whether two answers are one; True is not 1 here."""
    return one == other and isinstance(one, bool) == isinstance(other, bool)


def _lift(ask: _Node) -> None:
    """Take an operation's ask and answer out of the list; they keep their neighbours."""
    for node in (ask, ask.match):
        if node is not None:
            node.before.after = node.after
            if node.after is not None:
                node.after.before = node.before


def _put_back(ask: _Node) -> None:
    """Undo the last `_lift`."""
    for node in (ask.match, ask):
        if node is not None:
            node.before.after = node
            if node.after is not None:
                node.after.before = node
