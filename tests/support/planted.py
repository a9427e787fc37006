"""Defects planted on purpose, and how soon plays find them: a proof that can't fail proves nothing.

A defect is a list of changes to the program that hold for a while: `Line`, or `mock.patch.object`.
"""

import inspect
import textwrap
from collections.abc import Callable, Iterable
from contextlib import AbstractContextManager, ExitStack, contextmanager
from functools import partial
from types import CodeType
from unittest.mock import patch

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.internal.cache import LRUCache
from hypothesis.internal.conjecture import providers
from hypothesis.internal.constants_ast import Constants
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

WHOLE: dict[Callable, tuple[CodeType, str]] = {}  # functions as they are in the program
ROUND = 50  # examples of a model that are drawn from one seed


class Line(AbstractContextManager):
    """Lines of a function are others for a while. One that is not there exactly once is an error.

    The function stays the same object, so the change holds wherever it was imported to.
    """

    def __init__(self, function: Callable, *texts: str) -> None:
        """Take the function, then each text that goes and the one that comes in its place."""
        self.function = function = inspect.unwrap(function)
        if function not in WHOLE:  # it may be asked for again while a line of it is another
            WHOLE[function] = function.__code__, textwrap.dedent(inspect.getsource(function))
        self.before, source = WHOLE[function]
        for old, new in zip(texts[::2], texts[1::2], strict=True):
            assert source.count(old) == 1, f"{old!r} is not one place of {function.__qualname__}"
            source = source.replace(old, new)
        free = ", ".join(self.before.co_freevars)
        found: dict[str, Callable] = {}
        whole = f"def around({free}):\n{textwrap.indent(source, ' ')}\n return {function.__name__}"
        exec(whole, dict(function.__globals__), found)  # noqa: S102 - a line of our own
        made = found["around"](*[None] * len(self.before.co_freevars))
        self.after = inspect.unwrap(made).__code__

    def __enter__(self) -> None:
        self.function.__code__ = self.after

    def __exit__(self, *_: object) -> None:
        self.function.__code__ = self.before


@contextmanager
def planted(changes: Iterable[AbstractContextManager]):
    """Have changes in the program for a while."""
    with ExitStack() as stack:
        for change in changes:
            stack.enter_context(change)
        yield


def broken(
    plays: Iterable[Callable[[], object]], kinds: type[Exception] = Exception
) -> tuple[int, str] | None:
    """Return how many plays it took until one broke, and by what; None: none did."""
    for number, play in enumerate(plays, 1):
        try:
            play()
        except kinds as exc:  # a program that falls over itself was found as well
            return number, f"{type(exc).__name__}: {exc}"
    return None


def by_model(model: type[RuleBasedStateMachine], most: int, steps: int = 40) -> tuple[int, str] | None:
    """Return how many examples it took until a model disagreed with what is under test, and how.

    They are drawn in rounds, each from its number, so that more examples are the same ones and others.
    Hypothesis draws constants that it finds in the modules which happen to be loaded, so examples would
    differ with what ran before: it gets none here, and the same examples come each time.
    """
    examples = [0]

    class Counted(model):
        def __init__(self) -> None:
            examples[0] += 1
            super().__init__()

    def play(number: int) -> None:
        run_state_machine_as_test(
            seed(number)(Counted),
            settings=settings(
                max_examples=ROUND,
                stateful_step_count=steps,
                deadline=None,
                database=None,
                phases=(Phase.generate,),
                suppress_health_check=list(HealthCheck),
                report_multiple_bugs=False,
            ),
        )

    with (
        patch.object(providers, "_get_local_constants", Constants),
        patch.object(providers, "CONSTANTS_CACHE", LRUCache(1024)),
    ):
        found = broken(partial(play, number) for number in range(-(-most // ROUND)))
    return found and (examples[0], found[1])


def row(*cells: object) -> None:
    """Print a row of a table."""
    print(
        "| " + " | ".join((str(cell).splitlines() or [""])[0].replace("|", " ") for cell in cells) + " |",
        flush=True,
    )
