"""Log destination that never blocks: what a full pipe does not take is dropped."""

import os

PENDING_LIMIT_BYTES = 262_144
DROPPED_LINE = b'{"event":"log_lines_dropped","line_count":%d}\n'


class BoundedWriter:
    """Writes to a file descriptor without waiting for its reader.

    Attributes:
        dropped_count: Lines that were dropped.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped_count = 0
        self._untold_count = 0
        self._descriptor = descriptor
        self._pending = bytearray()
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> int:
        """Write a line, or keep it until the next one when the pipe is full.

        What had to be dropped is told by a line of its own once there is room.
        """
        if len(self._pending) + len(line) > PENDING_LIMIT_BYTES:
            self.dropped_count += 1
            self._untold_count += 1
            return 0
        if self._untold_count:
            self._pending += DROPPED_LINE % self._untold_count
            self._untold_count = 0
        self._pending += line
        self.flush()
        return len(line)

    def flush(self) -> None:
        """Write what is pending, as far as the pipe takes it."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            del self._pending[:written]
