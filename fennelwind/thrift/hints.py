"""Hints: fennelwind's extension of HiveServer2, sent in `TStatus.infoMessages`; optional for both sides.

A hint is a message `fennelwind-NAME key=number ...`. Messages of any other form are ignored, and so are hints
that can't be parsed: a missing number is normal, and an invalid one must have no effect.

- `fennelwind-load`: an engine's load figures, by the names of the settings' `report_fields`
- `fennelwind-cost work_ms=N memory_mb=N`: what an answered query needed
- `fennelwind-note sort=N value=N`: progress of a running query; sort 1: share done, 2: MB spilled, 3: waiting
- `fennelwind-not-run`: the engine rejected the statement, which never ran
- `fennelwind-refused retry_after_ms=N`: the controller rejected the query; retrying after that time is safe
- `fennelwind-failed`: the controller gave up; it is unknown whether the statement ran
- `fennelwind-fenced`: the engine has seen a newer fencing token of the task; the statement never ran
"""

from collections.abc import Iterable

PREFIX = "fennelwind-"
LOAD, COST, NOTE, NOT_RUN, REFUSED, FAILED = "load", "cost", "note", "not-run", "refused", "failed"
FENCED = "fenced"
MAX_HINT_CHARACTERS = 1000  # characters of a hint; longer hints are ignored
MAX_FIGURE = 1e15  # larger numbers are invalid


def write(name: str, **figures: float) -> str:
    """Return a hint's text."""
    return " ".join([PREFIX + name, *(f"{key}={value:.6g}" for key, value in figures.items())])


def others(messages: Iterable[str] | None) -> list[str]:
    """Return the messages that are not hints, such as an engine's messages to its client."""
    return [message for message in messages or () if not message.startswith(PREFIX)]


def read(messages: Iterable[str] | None) -> dict[str, dict[str, float]]:
    """Return the hints among messages: name -> figures. If a name occurs twice, the last hint applies."""
    found: dict[str, dict[str, float]] = {}
    for message in messages or ():
        if message.startswith(PREFIX) and len(message) <= MAX_HINT_CHARACTERS:
            name, *parts = message[len(PREFIX) :].split(" ")
            found[name] = figures = {}
            for part in parts:
                key, _, text = part.partition("=")
                try:
                    value = float(text)
                except ValueError:
                    continue
                if -MAX_FIGURE < value < MAX_FIGURE:
                    figures[key] = value
    return found
