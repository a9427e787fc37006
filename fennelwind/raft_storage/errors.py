"""What a member's folder can be found to be, each with what an operator can do."""

from fennelwind.errors import FennelwindError

JOIN_ANEW = (
    "Stop the member, move the folder away and keep it, and start the member with an empty one: it "
    "joins anew and gets all from the others. Do so with one member at a time, while a majority of "
    "the others is well."
)


class StoreError(FennelwindError):
    """The folder can't be used as it is."""

    code = "store-error"
    advice = "Read the text; the folder was not changed."


class WrongFleetError(StoreError):
    """The folder is a member's of another fleet."""

    code = "store-other-fleet"
    advice = (
        "The folder named in the settings belongs to another fleet. Name this member's own, or an empty one."
    )


class WrongMemberError(StoreError):
    """The folder is another member's."""

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
    """There is a log, but nothing that says whose it is."""

    code = "store-meta-missing"
    advice = "The file `meta` was taken away. " + JOIN_ANEW


class MetaDamagedError(StoreError):
    """What says whose folder it is can't be read."""

    code = "store-meta-damaged"
    advice = "The file `meta` was changed from outside or the disk is bad. " + JOIN_ANEW


class SegmentMissingError(StoreError):
    """A part of the log is not there."""

    code = "store-segment-missing"
    advice = "A file of the log was taken away. Put it back if you have it. Otherwise: " + JOIN_ANEW


class LogDamagedError(StoreError):
    """What was acknowledged can't be read any more; nothing of the log was dropped for it."""

    code = "store-log-damaged"
    advice = "The disk changed or lost what it had taken: look at its state first. " + JOIN_ANEW


class SnapshotDamagedError(StoreError):
    """No snapshot that the log can be read behind is whole."""

    code = "store-snapshot-damaged"
    advice = "The disk changed or lost what it had taken: look at its state first. " + JOIN_ANEW


class WriteTooLargeError(StoreError):
    """More than the folder takes at once; nothing was written."""

    code = "store-write-too-large"
    advice = "The record's state has outgrown its bound. Look which machine holds so much state."


class InvalidWriteError(StoreError):
    """A write that does not fit what is there: a fault of the program, not of the disk."""

    code = "store-write-refused"
    advice = "This is a fault of the program; keep the log and the folder and report it. Restart the member."


class StoreStoppedError(StoreError):
    """An earlier write failed; nothing is written until the folder was read anew."""

    code = "store-stopped"
    advice = "Nothing to do: the member reads its folder anew. The error before this one says what failed."


class InsufficientSpaceError(StoreError):
    """There is not yet room enough to write again."""

    code = "store-no-room"
    advice = "Make room on the disk that holds the folder; the member comes back by itself."
