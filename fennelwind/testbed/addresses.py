"""Where everybody is: each party has a host of its own in 127.0.0.0/8, and a relay between each two.

The second octet tells the sort of host; a rig's ports follow from its base port, so that several rigs can
run at once. Without relays (virtual days) a party is reached at its own address.
"""

from dataclasses import dataclass

from fennelwind.loop import Address

CONTROLLER, EXECUTOR, CHANNEL, CLIENTS = 20, 24, 23, 28  # own hosts
TO_EXECUTOR, TO_CHANNEL, TO_CONTROLLER, TO_PEER = 100, 101, 110, 102  # relays' hosts
PORTS = 3  # that a rig uses on each host: clients or calls, datagrams, the channel's second address


@dataclass(slots=True, frozen=True)
class Addresses:
    """The addresses of one rig."""

    port: int
    relayed: bool

    def controller(self, number: int) -> Address:
        """Where a controller listens for clients."""
        return Address(f"127.{CONTROLLER}.0.{number + 1}", self.port)

    def peer(self, number: int) -> Address:
        """Where a controller listens for datagrams."""
        return Address(f"127.{CONTROLLER}.0.{number + 1}", self.port + 1)

    def executor(self, slot: int) -> Address:
        """Where the executor in a slot listens."""
        return Address(f"127.{EXECUTOR}.0.{slot + 1}", self.port)

    def channel(self, second: bool) -> Address:
        """Where the command channel listens."""
        return Address(f"127.{CHANNEL}.0.1", self.port + 2 * second)

    def clients(self, zone: int) -> str:
        """Return the host of a zone's clients."""
        return f"127.{CLIENTS}.0.{zone + 1}"

    def executor_for(self, controller: int, slot: int) -> Address:
        """Where a controller finds the executor in a slot."""
        if not self.relayed:
            return self.executor(slot)
        return Address(f"127.{TO_EXECUTOR}.{controller + 1}.{slot + 1}", self.port)

    def channel_for(self, controller: int, second: bool) -> Address:
        """Where a controller finds the command channel."""
        if not self.relayed:
            return self.channel(second)
        return Address(f"127.{TO_CHANNEL}.{controller + 1}.1", self.port + 2 * second)

    def controller_for(self, zone: int, number: int) -> Address:
        """Where the clients of a zone find a controller."""
        if not self.relayed:
            return self.controller(number)
        return Address(f"127.{TO_CONTROLLER}.{zone + 1}.{number + 1}", self.port)

    def peer_for(self, number: int) -> Address:
        """Where the others send a controller's datagrams."""
        return Address(f"127.{TO_PEER}.0.{number + 1}", self.port + 1) if self.relayed else self.peer(number)

    def peers_all(self) -> Address:
        """Where a datagram for every controller is sent."""
        return Address(f"127.{TO_PEER}.1.1", self.port + 1)

    def number_of(self, host: str) -> int:
        """Return the number of the controller at a host; -1 if there is none."""
        parts = host.split(".")
        return int(parts[3]) - 1 if len(parts) == 4 and parts[1] == str(CONTROLLER) else -1
