"""Registry of the streams that run on this host."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumfield.gateway.part_guard import PartGuard
    from gypsumfield.gateway.streams import Stream


class StreamRegistry:
    """The streams that run now; they can be looked up by their engine."""

    def __init__(self) -> None:
        self._streams: set[Stream] = set()

    def add(self, stream: Stream) -> None:
        """Add a stream that runs; adding it again has no effect."""
        self._streams.add(stream)

    def discard(self, stream: Stream) -> None:
        """Remove a stream that has ended; unknown streams are ignored."""
        self._streams.discard(stream)

    def on_server(self, server_id: str) -> list[Stream]:
        """Return the streams that run on one engine."""
        return [
            stream for stream in self._streams if stream.server.server_id == server_id
        ]

    def streams(self) -> list[Stream]:
        """Return all streams, in no particular order."""
        return list(self._streams)

    def stop_condemned(self, guard: PartGuard) -> None:
        """Take the streams off their engines that would crash these."""
        for stream in self.streams():
            stream.stop_if_condemned(guard)

    def server_ids(self) -> set[str]:
        """Return the ids of the engines that run streams of this host."""
        return {stream.server.server_id for stream in self._streams}
