"""What goes wrong between controllers and the council, as operators meet it."""

from fennelwind.errors import FennelwindError


class ClusterError(FennelwindError):
    """The root of what the council's carriers raise."""

    code = "council-error"
    advice = "Look into the logs of the members and of this controller, by the same time of day."


class ClusterUnavailableError(ClusterError):
    """No member answered in time. `again_ms` is a time to come back; queries go on as without a council."""

    code = "council-lost"
    advice = (
        "Look whether a majority of the members run and can reach one another, and whether this "
        "controller reaches the addresses of its settings. Queries go on meanwhile; tasks of the fleet "
        "and changes of schemas wait."
    )


class NoLeaderError(ClusterUnavailableError):
    """Members answer, but none leads: no majority of them can reach one another or write."""

    code = "council-no-leader"
    advice = (
        "A majority of the members has to run, reach one another and be able to write. Look for "
        "members that are down, for full disks and for cut links; a leader is elected by itself then."
    )


class OutcomeUnknownError(ClusterError):
    """A command was sent and nobody could say in time whether it was done; it is never done twice."""

    code = "council-outcome-unknown"
    advice = "Look at what the record says now, and ask anew for what is still wanted."


class CommandRejectedError(ClusterError):
    """The record refused a command, which changed nothing. `refusal` names why."""

    code = "council-command-refused"
    advice = (
        "NO_MACHINE: members of an older version do not know the command yet, finish the upgrade. "
        "TOO_LARGE: cut it into several. UNREADABLE: a version that never met this one, or a defect."
    )


class ClientOverloadedError(ClusterError):
    """As many commands wait here as may; this one was not sent."""

    code = "council-asker-full"
    advice = "Ask less at once, or wait: the record takes as many as its disks can sync."


class FleetMismatchError(ClusterError):
    """The other side belongs to a fleet of another name; nothing was told to it."""

    code = "council-fleet-mismatch"
    advice = "Give both the same fleet name in their settings, or the right addresses."


class ProtocolMismatchError(ClusterError):
    """The other side speaks another version of the members' protocol."""

    code = "council-protocol-mismatch"
    advice = "Upgrade the older one. Versions that are one release apart understand each other."


class MemberNameMismatchError(ClusterError):
    """Another member answers at the address than the settings say."""

    code = "council-name-mismatch"
    advice = "Put the members' names and addresses right; each name has one address on all controllers."


class LogTooNewError(ClusterError):
    """The record uses commands that this version does not know."""

    code = "council-record-too-new"
    advice = "Start the version that the other members run. A level that was raised is never lowered."


class InvalidFrameError(ClusterError):
    """Bytes that are no frame of the protocol, or a frame beyond its bound."""

    code = "council-frame-refused"
    advice = "Something else speaks to the members' port. Let only controllers of the fleet reach it."


class AddressInUseError(ClusterError):
    """The members' port can't be listened at."""

    code = "council-address-taken"
    advice = "End what listens there, or give the member another address in all settings."
