"""Errors between controllers and the Raft group, as operators see them."""

from fennelwind.errors import FennelwindError


class ClusterError(FennelwindError):
    """Base class of the errors of the Raft group's clients and members."""

    code = "council-error"
    advice = "Compare the logs of the members and of this controller at the same time of day."


class ClusterUnavailableError(ClusterError):
    """No member answered in time; queries continue meanwhile. `again_ms` is the time until a retry."""

    code = "council-lost"
    advice = (
        "Check that a majority of the members run and reach one another, and that this controller "
        "reaches the addresses of its settings. Queries continue meanwhile; leased tasks and schema "
        "changes wait."
    )


class NoLeaderError(ClusterUnavailableError):
    """Members answer, but none leads: no majority of them can reach one another and write to disk."""

    code = "council-no-leader"
    advice = (
        "A majority of the members must run, reach one another and be able to write. Look for members "
        "that are down, full disks and cut links; a leader is then elected automatically."
    )


class OutcomeUnknownError(ClusterError):
    """A command was sent and its outcome is unknown; it is never applied twice."""

    code = "council-outcome-unknown"
    advice = "Read the current replicated state, and repeat the request if it is still needed."


class CommandRejectedError(ClusterError):
    """The replicated state rejected a command, which changed nothing. `refusal` is the reason."""

    code = "council-command-refused"
    advice = (
        "NO_MACHINE: members of an older version do not know the command yet; finish the upgrade. "
        "TOO_LARGE: split it into several. UNREADABLE: an incompatible version, or a defect."
    )


class ClientOverloadedError(ClusterError):
    """The maximum number of commands or watches wait on this controller; this one was not sent."""

    code = "council-asker-full"
    advice = "Send fewer at once, or wait: throughput is limited by the syncs of the members' disks."


class FleetMismatchError(ClusterError):
    """The peer belongs to a fleet of another name; nothing was sent to it."""

    code = "council-fleet-mismatch"
    advice = "Give both the same fleet name in their settings, or correct the addresses."


class ProtocolMismatchError(ClusterError):
    """The peer uses another version of the Raft group's protocol."""

    code = "council-protocol-mismatch"
    advice = "Upgrade the older one. Versions that are one release apart are compatible."


class MemberNameMismatchError(ClusterError):
    """A member other than the one in the settings answers at the address."""

    code = "council-name-mismatch"
    advice = "Correct the members' names and addresses; each name has one address on all controllers."


class LogTooNewError(ClusterError):
    """The log is of a level that this version does not support."""

    code = "council-record-too-new"
    advice = "Start the version that the other members run. The level of a log is never lowered."


class InvalidFrameError(ClusterError):
    """Received bytes that are no valid frame of the protocol, or a frame above the size limit."""

    code = "council-frame-refused"
    advice = "Another program connects to the members' port. Let only controllers of the fleet reach it."


class AddressInUseError(ClusterError):
    """This member can't listen on its address."""

    code = "council-address-taken"
    advice = "Stop the program that listens there, or give the member another address in all settings."
