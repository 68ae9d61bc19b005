"""Streams that run now, by engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumfield.gateway.streams import Stream


class StreamRegistry:
    """Streams that run now, by engine."""

    def __init__(self) -> None:
        self._streams: set[Stream] = set()

    def add(self, stream: Stream) -> None:
        """Note a stream that runs."""
        self._streams.add(stream)

    def discard(self, stream: Stream) -> None:
        """Note that a stream has ended."""
        self._streams.discard(stream)

    def on_server(self, server_id: str) -> list[Stream]:
        """Return the streams of one engine."""
        return [each for each in self._streams if each.server.server_id == server_id]

    def streams(self) -> list[Stream]:
        """Return all streams."""
        return list(self._streams)

    def server_ids(self) -> set[str]:
        """Return the engines that run streams of this host."""
        return {stream.server.server_id for stream in self._streams}
