"""Reads the body of a caller's request, within bounds of what is kept beside it."""

import re
from collections.abc import Callable

import gevent
from gevent.pywsgi import Input

# A body is read from the buffer of its connection, so that a caller who sends slowly
# takes no further memory.
PIECE_BYTES = 8_192
# Bytes of a chunked body that are kept here before they are returned and counted.
CHUNKED_READ_BYTES = 2_048
# Size lines without extensions are shorter: 16 digits and the line end.
SIZE_LINE_BYTES = 18
# Extensions and trailers of one body, together; as for the head of a request.
FRAMING_LIMIT_BYTES = 16_384
# Rest of a body that is read so that the connection can be used again; above it, or
# if it comes slowly, the connection is closed.
DISCARD_LIMIT_BYTES = 65_536
DISCARD_LIMIT_S = 1.0

_HEX_DIGITS = b"0123456789abcdefABCDEF"
# Largest small chunk, and the pattern of its size line.
_SMALL_CHUNK_BYTES = 255
_SMALL_CHUNK = re.compile(rb"([0-9a-fA-F]{1,2})\r\n")


class BadChunkError(OSError):
    """The chunks of a body are malformed, or incomplete."""


class CallerInput(Input):  # type: ignore[misc]
    """Body of one request; ``read`` returns what has arrived.

    Args:
        source: Input that was built for the request.
        record_progress: Called when bytes of the body have arrived.
        end: Called when the body is complete.
    """

    chunk_length: int
    _chunked_input_error: bool

    def __init__(
        self,
        source: Input,
        record_progress: Callable[[], None],
        end: Callable[[], None],
    ) -> None:
        super().__init__(
            source.rfile, source.content_length, source.socket, source.chunked_input
        )
        self._record_progress = record_progress
        self._end = end
        self._framing_bytes = 0

    @property
    def is_complete(self) -> bool:
        """Whether the body was read to its end."""
        if self.chunked_input:
            return bool(self.chunk_length == 0)
        return bool(self.position >= (self.content_length or 0))

    @property
    def can_discard(self) -> bool:
        """Whether the rest of the body is known to be short."""
        if self.is_complete:
            return True
        if self.chunked_input or self.socket is not None:
            # The caller waits for leave to send the body if the socket is kept.
            return False
        rest_bytes = (self.content_length or 0) - self.position
        return bool(rest_bytes <= DISCARD_LIMIT_BYTES)

    def _discard(self) -> None:
        """Read the rest of the body; its `is_complete` stays false if that fails."""
        if not self.can_discard:
            return
        with gevent.Timeout(DISCARD_LIMIT_S, exception=False):
            while self._do_read(PIECE_BYTES):
                continue

    def _do_read(self, length: int | None = None, use_readline: bool = False) -> bytes:
        left = (self.content_length or 0) - self.position
        wanted = left if length is None else min(length, left)
        if wanted <= 0:
            return b""
        self._send_100_continue()
        if use_readline:
            data = bytes(self.rfile.readline(wanted))
        elif length is None:
            data = bytes(self.rfile.read(wanted))
        else:
            data = self._read_arrived(wanted)
        if not data:
            raise OSError("the body ends early")
        self.position += len(data)
        self._record_progress()
        if self.is_complete:
            self._end()
        return data

    def _chunked_read(
        self, length: int | None = None, use_readline: bool = False
    ) -> bytes:
        if length == 0 or self.is_complete:
            return b""
        self._send_100_continue()
        if length is not None:
            length = min(length, CHUNKED_READ_BYTES)
        data = bytearray()
        while self.chunk_length != 0 and (length is None or len(data) < length):
            if self.chunk_length < 0:
                if use_readline or not self._take_small_chunks(data, length):
                    self._begin_chunk()
                continue
            left = self.chunk_length - self.position
            wanted = left if length is None else min(left, length - len(data))
            if wanted == left <= CHUNKED_READ_BYTES:
                data += self._read_rest_of_chunk(left)
            else:
                data += self._read_piece(wanted)
            if use_readline and data.endswith(b"\n"):
                break
        if not self.is_complete:
            self._record_progress()
        return bytes(data)

    def _take_small_chunks(self, data: bytearray, length: int | None) -> bool:
        """Take chunks that are in the buffer as a whole; a caller may send many."""
        buffered = self.rfile.peek(1)
        taken = 0
        limit_bytes = CHUNKED_READ_BYTES if length is None else length
        while len(data) + _SMALL_CHUNK_BYTES <= limit_bytes:
            line = _SMALL_CHUNK.match(buffered, taken)
            if line is None:
                break
            begin = line.end()
            end = begin + int(line[1], 16)
            if end == begin or buffered[end : end + 2] != b"\r\n":
                break
            data += buffered[begin:end]
            taken = end + 2
        if taken:
            self.rfile.read(taken)
        return taken > 0

    def _read_rest_of_chunk(self, size_bytes: int) -> bytes:
        data = bytes(self.rfile.read(size_bytes + 2))
        if len(data) != size_bytes + 2 or not data.endswith(b"\r\n"):
            raise self._fail("a chunk ends early, or not in CR LF")
        self.chunk_length = -1
        return data[:-2]

    def _read_piece(self, size_bytes: int) -> bytes:
        piece = self._read_arrived(size_bytes)
        if not piece:
            raise self._fail("a chunk ends early")
        self.position += len(piece)
        return piece

    def _begin_chunk(self) -> None:
        line = self._read_line()
        size = line[:-2]
        if len(line) > SIZE_LINE_BYTES or b";" in size:
            self._framing_bytes += len(line)
            self._check_framing()
            size = size.partition(b";")[0].rstrip(b" \t")
        if not 0 < len(size) <= 16 or size.strip(_HEX_DIGITS):
            raise self._fail("a chunk size is no number")
        self.position = 0
        size_bytes = int(size, 16)
        if not size_bytes:
            self._read_trailers()
            self._end()
        self.chunk_length = size_bytes

    def _read_trailers(self) -> None:
        while (line := self._read_line()) != b"\r\n":
            self._framing_bytes += len(line)
            self._check_framing()
            name, colon, _ = line.partition(b":")
            if not colon or not name or b" " in name:
                raise self._fail("a trailer is malformed")

    def _read_line(self) -> bytes:
        line = bytes(self.rfile.readline(FRAMING_LIMIT_BYTES))
        if not line.endswith(b"\r\n"):
            raise self._fail("a line of a chunk does not end in CR LF")
        return line

    def _check_framing(self) -> None:
        if self._framing_bytes > FRAMING_LIMIT_BYTES:
            raise self._fail("extensions and trailers are too long")

    def _read_arrived(self, size_bytes: int) -> bytes:
        # `read1` of an empty buffer would allocate the whole size before it waits.
        self.rfile.peek(1)
        return bytes(self.rfile.read1(min(size_bytes, PIECE_BYTES)))

    def _fail(self, message: str) -> BadChunkError:
        self._chunked_input_error = True
        return BadChunkError(message)
