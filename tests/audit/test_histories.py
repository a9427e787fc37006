"""The checker of histories: on right and wrong ones, and against trying all orders."""

from itertools import permutations
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fennelwind.audit.linearizability import (
    Broken,
    Linearizable,
    Operation,
    TooLarge,
    Unreadable,
    check,
    dictionary,
)


def ops(*rows, key="x"):
    """Operations from (invoked, returned, what, argument, result)."""
    return [Operation(f"c{i}", key, *row) for i, row in enumerate(rows)]


RIGHT = {
    "nothing": [],
    "one after another": ops((0, 1, "put", 5, None), (2, 3, "get", None, 5)),
    "a read beside a write sees it": ops((0, 9, "put", 5, None), (1, 2, "get", None, 5)),
    "or does not see it": ops((0, 9, "put", 5, None), (1, 2, "get", None, None)),
    "two writes at once, either is last": ops(
        (0, 5, "put", 1, None), (0, 5, "put", 2, None), (6, 7, "get", None, 1)
    ),
    "an unknown write that was done late": ops(
        (0, None, "put", 5, None), (1, 2, "get", None, None), (3, 4, "get", None, 5)
    ),
    "an unknown write that was never done": ops((0, None, "put", 5, None), (1, 2, "get", None, None)),
    "only one of two swaps is done": ops(
        (0, 5, "swap", (None, 1), True), (0, 5, "swap", (None, 2), False), (6, 7, "get", None, 1)
    ),
    "touching at one moment is at once": ops((0, 1, "put", 5, None), (1, 2, "get", None, None)),
    "a delete between": ops(
        (0, 1, "put", 5, None), (2, 3, "delete", None, True), (4, 5, "delete", None, False)
    ),
    "sums": ops((0, 9, "add", 2, 5), (0, 9, "add", 3, 3), (10, 11, "get", None, 5)),
}
WRONG = {
    "a read of what was never put": ops((0, 1, "get", None, 5)),
    "a stale read": ops((0, 1, "put", 5, None), (2, 3, "put", 6, None), (4, 5, "get", None, 5)),
    "a lost write": ops((0, 1, "put", 5, None), (2, 3, "get", None, None)),
    "new, then old": ops((0, 9, "put", 5, None), (1, 2, "get", None, 5), (3, 4, "get", None, None)),
    "an unknown write seen, then unseen": ops(
        (0, None, "put", 5, None), (1, 2, "get", None, 5), (3, 4, "get", None, None)
    ),
    "an unknown write seen before it was asked": ops((0, 1, "get", None, 5), (2, None, "put", 5, None)),
    "two swaps of the same are both done": ops(
        (0, 5, "swap", (None, 1), True), (0, 5, "swap", (None, 2), True)
    ),
    "one command done twice": ops((0, 1, "add", 2, 2), (2, 3, "add", 2, 6)),
    "one lease, two holders": ops(
        (0, 1, "swap", (None, "a"), True),
        (0, 2, "swap", (None, "b"), False),
        (3, 4, "swap", (None, "b"), True),
    ),
}


@pytest.mark.parametrize("history", RIGHT.values(), ids=RIGHT)
def test_right_histories_pass(history):
    assert isinstance(check(history), Linearizable)


@pytest.mark.parametrize("history", WRONG.values(), ids=WRONG)
def test_wrong_histories_are_found(history):
    answer = check(history)
    assert isinstance(answer, Broken) and answer.against in history and answer.against not in answer.order


def test_keys_are_checked_apart_and_the_broken_one_is_named():
    right = [*RIGHT["a delete between"], *ops((0, 1, "put", 7, None), key="y")]
    answer = check(right)
    assert set(answer.orders) == {"x", "y"}
    assert check([*right, *ops((2, 3, "get", None, 8), key="z")]).key == "z"


def test_what_is_no_history_is_said_to_be_none():
    assert isinstance(check(ops((2, 1, "get", None, None))), Unreadable)
    assert isinstance(check(ops((0, 1, "frob", None, None))), Unreadable)


def valid(order, history, state=None):
    """Tell whether this order explains all answers and keeps to the times."""
    for i, one in enumerate(order):
        if any(later.returned is not None and later.returned < one.invoked for later in order[i + 1 :]):
            return False
        state, result = dictionary(state, one.what, one.argument)
        if one.returned is not None and (type(result), result) != (type(one.result), one.result):
            return False  # a swap that answers 0 in place of False is wrong, though 0 == False in Python
    return all(one in order for one in history if one.returned is not None)


row = st.tuples(
    st.integers(0, 6),
    st.none() | st.integers(0, 4),
    st.sampled_from([("get", None), ("put", 1), ("put", 2), ("add", 1), ("swap", (1, 2)), ("delete", None)]),
    st.sampled_from([None, 0, 1, 2, 3, True, False]),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(row, max_size=5))
def test_the_answer_is_that_of_trying_all_orders(rows):
    history = ops(
        *((at, None if took is None else at + took, *what, result) for at, took, what, result in rows)
    )
    by_force = any(
        valid(order, history) for size in range(len(history) + 1) for order in permutations(history, size)
    )
    answer = check(history)
    assert isinstance(answer, Linearizable if by_force else Broken)
    if by_force and history:
        assert valid(answer.orders["x"], history)


def played(seed, count, clients=5, unknown=0.05, keys=3):
    """A history of a dictionary that does each operation at one moment of its time, on which all agree."""
    random, states, found = Random(seed), {}, []
    free = dict.fromkeys(range(clients), 0.0)
    moments = []
    for _ in range(count):
        who = min(free, key=free.get)
        invoked = free[who] + random.uniform(0, 2)
        moment, returned = invoked + random.uniform(0, 3), invoked + 3 + random.uniform(0, 3)
        free[who] = returned
        key = f"k{random.randrange(keys)}"
        what, argument = random.choice(
            [
                ("get", None),
                ("put", random.randrange(4)),
                ("add", 1),
                ("swap", (random.randrange(4), random.randrange(4))),
                ("delete", None),
            ]
        )
        moments.append((moment, invoked, returned, f"c{who}", key, what, argument))
    for _, invoked, returned, who, key, what, argument in sorted(moments, key=lambda m: m[0]):
        is_unknown = random.random() < unknown
        if not is_unknown or random.random() < 0.5:
            states[key], result = dictionary(states.get(key), what, argument)
        found.append(
            Operation(
                who,
                key,
                invoked,
                None if is_unknown else returned,
                what,
                argument,
                None if is_unknown else result,
            )
        )
    return found


def test_long_histories_of_a_right_dictionary_pass_and_one_wrong_answer_is_found():
    broken = 0
    for seed in range(12):
        history = played(seed, 300)
        assert isinstance(check(history), Linearizable), seed
        at = next(i for i in range(150, 300) if history[i].what == "get" and history[i].returned is not None)
        told = history[at]
        history[at] = Operation(told.client, told.key, told.invoked, told.returned, "get", None, 99)
        answer = check(history)
        broken += isinstance(answer, Broken) and answer.key == told.key
    assert broken == 12


def test_what_is_not_found_out_within_the_bound_is_said_to_be_too_large():
    history = ops(*((0, None, "add", 1, None) for _ in range(14)), (1, 2, "get", None, -1))
    assert check(history, steps_most=500) == TooLarge("x", 15, 501)
