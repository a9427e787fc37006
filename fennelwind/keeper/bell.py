"""Wakes the one task that serves a queue."""

from contextlib import suppress

from fennelwind.loop import Channel, ChannelFull, Loop


class Bell:
    """Rung as often as one likes; a wait ends at once if it was rung since the last one."""

    def __init__(self, loop: Loop) -> None:
        self._channel = Channel(loop, 1)

    def ring(self) -> None:
        """Wake who waits, or who waits next."""
        with suppress(ChannelFull):
            self._channel.offer(None)

    def wait(self) -> None:
        """Wait until it is rung."""
        self._channel.get()
