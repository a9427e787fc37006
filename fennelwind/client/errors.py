"""The errors of PEP 249, and which of them a status is."""

from typing import Any

from fennelwind.thrift import hints


class Warning(Exception):  # noqa: A001 - the specification's name
    """Something that its user should know."""


class Error(Exception):
    """Anything that went wrong; `sql_state` and `code` are the server's, if it told any."""

    def __init__(self, text: str, sql_state: str = "", code: int = 0) -> None:
        super().__init__(text)
        self.sql_state, self.code = sql_state, code


class InterfaceError(Error):
    """The client was used in a way that can't work."""


class DatabaseError(Error):
    """The server said no."""


class DataError(DatabaseError):
    """A value can't be processed."""


class OperationalError(DatabaseError):
    """It did not work, and not for the statement's sake."""


class RefusedError(OperationalError):
    """The statement never ran or did no harm; a further try is harmless after `retry_after_ms`."""

    retry_after_ms = 0.0


class FailedError(OperationalError):
    """Whether the statement ran is not known."""


class CancelledError(OperationalError):
    """The statement was cancelled."""


class IntegrityError(DatabaseError):
    """The statement broke a constraint."""


class InternalError(DatabaseError):
    """The server is in a state that it should not be in."""


class ProgrammingError(DatabaseError):
    """The statement is at fault."""


class NotSupportedError(DatabaseError):
    """It is not served."""


BY_CLASS = {
    "22": DataError,
    "23": IntegrityError,
    "42": ProgrammingError,
    "3D": ProgrammingError,
    "3F": ProgrammingError,
    "07": ProgrammingError,
    "21": ProgrammingError,
    "0A": NotSupportedError,
    "XX": InternalError,
}


def error_of(status: Any) -> DatabaseError:
    """Return the error that a status (`TStatus`, or an operation's) tells of."""
    told = hints.read(status.infoMessages)
    state, code = status.sqlState or "", status.errorCode or 0
    text = status.errorMessage or "no reason was told"
    if hints.REFUSED in told:
        error = RefusedError(text, state, code)
        error.retry_after_ms = told[hints.REFUSED].get("retry_after_ms", 0.0)
        return error
    if hints.FAILED in told:
        return FailedError(text, state, code)
    kind = CancelledError if state == "HY008" else BY_CLASS.get(state[:2], OperationalError)
    return kind(text, state, code)
