"""Calls of the system that are made again where they fail for a moment."""

import errno
from collections.abc import Callable, Iterable
from typing import TypeVar

from fennelwind.loop.scheduler import Loop

Result = TypeVar("Result")

# What accept(2), open(2), pipe(2) and socket(2) tell of a shortage that may be over in a moment.
SHORTAGES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
PASSING = SHORTAGES | {errno.EAGAIN, errno.EINTR, errno.EIO}


def passes(exc: OSError) -> bool:
    """Tell whether the call may succeed when it is made again."""
    return exc.errno in PASSING


def retried(
    loop: Loop,
    call: Callable[[], Result],
    pauses_ms: Iterable[float],
    may_pass: Callable[[OSError], bool] = passes,
) -> Result:
    """Make the call; after each failure that may pass, wait for the next pause (ms) and make it again.

    Raises the `OSError` that does not pass, or that is left when there is no further pause.
    """
    for pause in pauses_ms:
        try:
            return call()
        except OSError as exc:
            if not may_pass(exc):
                raise
        loop.sleep(pause)
    return call()
