"""Log writer that never blocks; lines that do not fit its buffer are dropped."""

import os

PENDING_LIMIT_BYTES = 262_144
DROPPED_LINE = b'{"event":"log_lines_dropped","line_count":%d}\n'


class BoundedWriter:
    """Writes to a file descriptor without waiting for its reader.

    Attributes:
        dropped_count: Lines that were dropped since the start.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped_count = 0
        self._unreported_count = 0
        self._descriptor = descriptor
        self._pending = bytearray()
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> int:
        """Write a line, or buffer it until a later write when the pipe is full.

        When the buffer is full as well, the line is dropped. The number of dropped
        lines is logged in a line of its own before the next line that is accepted.

        Returns:
            Number of bytes accepted; 0 when the line was dropped.
        """
        if len(self._pending) + len(line) > PENDING_LIMIT_BYTES:
            self.dropped_count += 1
            self._unreported_count += 1
            return 0
        if self._unreported_count:
            self._pending += DROPPED_LINE % self._unreported_count
            self._unreported_count = 0
        self._pending += line
        self.flush()
        return len(line)

    def flush(self) -> None:
        """Write the buffered bytes, as far as the pipe accepts them."""
        while self._pending:
            try:
                written_bytes = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            del self._pending[:written_bytes]
