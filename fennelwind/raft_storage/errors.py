"""Errors of a member's folder, each with advice for an operator."""

from fennelwind.errors import FennelwindError

REJOIN_ADVICE = (
    "Stop the member, move the folder away and keep it, and start the member with an empty one: it "
    "joins again and gets everything from the others. Do so with one member at a time, while a majority "
    "of the others is healthy."
)


class StoreError(FennelwindError):
    """The folder can't be used as it is."""

    code = "store-error"
    advice = "Read the message; the folder was not changed."


class WrongFleetError(StoreError):
    """The folder belongs to a member of another fleet."""

    code = "store-other-fleet"
    advice = (
        "The folder named in the settings belongs to another fleet. Name this member's own, or an empty one."
    )


class WrongMemberError(StoreError):
    """The folder belongs to another member."""

    code = "store-other-member"
    advice = (
        "The folder named in the settings is another member's. Name this member's own, or an empty "
        "one. Never copy a member's folder to another: both would vote as one."
    )


class NewerFormatError(StoreError):
    """The folder was written by a newer version."""

    code = "store-newer-format"
    advice = (
        "Start the version that wrote the folder, or a later one; or let the member join with an empty "
        "folder."
    )


class MetaMissingError(StoreError):
    """There is a log, but no `meta` file that identifies its owner."""

    code = "store-meta-missing"
    advice = "The file `meta` was removed. " + REJOIN_ADVICE


class MetaDamagedError(StoreError):
    """The `meta` file, which identifies the folder's owner, can't be read."""

    code = "store-meta-damaged"
    advice = "The file `meta` was changed by another program or the disk is faulty. " + REJOIN_ADVICE


class SegmentMissingError(StoreError):
    """A segment of the log is missing."""

    code = "store-segment-missing"
    advice = "A file of the log was removed. Restore it if you have it. Otherwise: " + REJOIN_ADVICE


class LogDamagedError(StoreError):
    """Acknowledged entries can't be read any more; nothing was removed from the log."""

    code = "store-log-damaged"
    advice = "The disk changed or lost data that it had stored: check its health first. " + REJOIN_ADVICE


class SnapshotDamagedError(StoreError):
    """There is no intact snapshot that the log continues."""

    code = "store-snapshot-damaged"
    advice = "The disk changed or lost data that it had stored: check its health first. " + REJOIN_ADVICE


class WriteTooLargeError(StoreError):
    """The write exceeds a size limit; nothing was written."""

    code = "store-write-too-large"
    advice = "The replicated state exceeds its size limit. Find out which state machine holds so much state."


class InvalidWriteError(StoreError):
    """A write that does not fit the log: a fault of the program, not of the disk."""

    code = "store-write-refused"
    advice = "This is a fault of the program; keep the log and the folder and report it. Restart the member."


class StoreStoppedError(StoreError):
    """An earlier write failed; nothing is written until the folder has been read again."""

    code = "store-stopped"
    advice = "Nothing to do: the member reads its folder again. The error before this one says what failed."


class InsufficientSpaceError(StoreError):
    """There is not yet enough free space to write again."""

    code = "store-no-room"
    advice = "Free space on the disk that holds the folder; the member then resumes by itself."
