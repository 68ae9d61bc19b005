"""Collects the bytes of a body in blocks of similar size."""

from gypsumfield.adapters.allocator import LARGE_BLOCK_BYTES

# Many short bodies that each grow in one piece would fragment the heap of the process:
# with 400 of 100 kB, it took 66 MB instead of 61. Long ones have their own pages, and
# joining blocks would need twice their size.
BLOCK_BYTES = 16_384
LONG_BODY_BYTES = LARGE_BLOCK_BYTES


class BodyBuffer:
    """Bytes of a body that arrive in pieces of any size.

    Args:
        expected_bytes: Length of the body if it is known, else 0.
    """

    def __init__(self, expected_bytes: int) -> None:
        self._is_long = expected_bytes >= LONG_BODY_BYTES
        self._blocks: list[bytes] = []
        self._block = bytearray()
        self._block_bytes = 0

    def __len__(self) -> int:
        return self._block_bytes + len(self._block)

    def append(self, data: bytes) -> None:
        """Add bytes at the end."""
        self._block += data
        if not self._is_long and len(self._block) >= BLOCK_BYTES:
            self._blocks.append(bytes(self._block))
            self._block_bytes += len(self._block)
            self._block = bytearray()

    def take(self) -> bytes:
        """Return all bytes; the buffer is then empty."""
        body = b"".join([*self._blocks, self._block])
        self.clear()
        return body

    def clear(self) -> None:
        """Free all bytes."""
        self._blocks = []
        self._block = bytearray()
        self._block_bytes = 0
