"""What the project adds to the published service, in `TStatus.infoMessages`: optional on both sides.

A hint is a message `fennelwind-NAME key=number ...`. Messages of other forms are other people's and are
ignored, as are hints that can't be read: a figure that is absent is normal, one that is wrong must do no
harm.

- `fennelwind-load`: an engine's load figures, by the names of the settings' `report_fields`
- `fennelwind-cost work_ms=N memory_mb=N`: what an answered query needed
- `fennelwind-note sort=N value=N`: word on a running query; sort 1 share done, 2 MB spilled, 3 it waits
- `fennelwind-not-run`: the statement was turned away and never ran
- `fennelwind-refused retry_after_ms=N`: the controller refused; a further try is harmless, after that time
- `fennelwind-failed`: the controller gave up; whether the statement ran is not known
- `fennelwind-fenced`: the engine has seen a newer fence of the task; the statement never ran
"""

from collections.abc import Iterable

PREFIX = "fennelwind-"
LOAD, COST, NOTE, NOT_RUN, REFUSED, FAILED = "load", "cost", "note", "not-run", "refused", "failed"
FENCED = "fenced"
LONGEST = 1000  # letters of a hint; longer ones are not looked into
FINITE = 1e15  # figures beyond it are nonsense


def write(name: str, **figures: float) -> str:
    """Return a hint's text."""
    return " ".join([PREFIX + name, *(f"{key}={value:.6g}" for key, value in figures.items())])


def others(messages: Iterable[str] | None) -> list[str]:
    """Return the messages that are no hints, such as an engine's own words to its client."""
    return [message for message in messages or () if not message.startswith(PREFIX)]


def read(messages: Iterable[str] | None) -> dict[str, dict[str, float]]:
    """Return the hints among messages: name -> figures; the last of a name holds."""
    found: dict[str, dict[str, float]] = {}
    for message in messages or ():
        if message.startswith(PREFIX) and len(message) <= LONGEST:
            name, *parts = message[len(PREFIX) :].split(" ")
            found[name] = figures = {}
            for part in parts:
                key, _, text = part.partition("=")
                try:
                    value = float(text)
                except ValueError:
                    continue
                if -FINITE < value < FINITE:
                    figures[key] = value
    return found
