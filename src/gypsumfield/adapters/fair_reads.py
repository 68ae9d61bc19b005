"""Reads another party's bytes in turns, so that no peer keeps the host to itself.

gevent switches greenlets only when one waits, and a read does not wait while data is
there. A peer that sends without a pause would hold up all other requests and timers.
"""

import io
from typing import Any

import gevent

# A read of this many bytes takes a few milliseconds to process, even in chunks of one
# byte.
TURN_BYTES = 16_384
# Each read also costs the work of this many bytes.
MIN_READ_BYTES = 1_024


class ReadTurn:
    """Gives way to the other greenlets after each `TURN_BYTES` that were read."""

    def __init__(self) -> None:
        self._read_bytes = 0

    def record(self, size_bytes: int) -> None:
        """Record one read and give way if the turn is over."""
        self._read_bytes += max(size_bytes, MIN_READ_BYTES)
        if self._read_bytes >= TURN_BYTES:
            self._read_bytes = 0
            gevent.sleep(0)


class FairSocket:
    """Socket of a backend server's answer that is read in turns.

    Attributes:
        sock: The socket.
    """

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self._turn = ReadTurn()

    def recv(self, size_bytes: int) -> bytes:
        """Wait for data and return it; empty at the end."""
        data = bytes(self.sock.recv(min(size_bytes, TURN_BYTES)))
        self._turn.record(len(data))
        return data

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()


def open_fair_file(sock: Any) -> io.BufferedReader:
    """Return a buffered file that reads a caller's socket in turns."""
    return io.BufferedReader(_FairFile(sock))


class _FairFile(io.RawIOBase):
    def __init__(self, sock: Any) -> None:
        self._file = sock.makefile("rb", buffering=0)
        self._turn = ReadTurn()

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        size_bytes: int | None = self._file.readinto(buffer)
        self._turn.record(size_bytes or 0)
        return size_bytes

    def close(self) -> None:
        if not self.closed:
            self._file.close()
        super().close()
