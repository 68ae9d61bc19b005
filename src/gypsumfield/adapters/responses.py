"""Parses one answer of a backend server as it arrives."""

from collections.abc import Callable
from typing import Any

from geventhttpclient.response import HTTPParseError
from geventhttpclient.response import HTTPSocketResponse

from gypsumfield.adapters.fair_reads import FairSocket
from gypsumfield.adapters.fair_reads import TURN_BYTES

STATUSES_WITHOUT_BODY = frozenset({204, 304})
FIRST_FINAL_STATUS = 200
# The parser takes any three digits, and servers in trouble have sent 000.
HTTP_STATUSES = range(100, 600)
# Maximum bytes of headers, interim answers, chunk sizes and trailers that may arrive
# without a byte of the body. Servers commonly limit their headers to an eighth of this.
FRAMING_LIMIT_BYTES = 131_072


class _TrailingBytesError(Exception):
    """Bytes follow a complete answer on its connection."""


class Response(HTTPSocketResponse):
    """Response that retains its connection until the echoed request id is checked."""

    _sock: Any
    idle_sock: Any = None
    has_trailing_bytes = False
    final_status = 0
    _framing_bytes = 0

    def __init__(
        self, sock: Any, method: str, record_framing: Callable[[int], None]
    ) -> None:
        """Read the headers.

        Args:
            sock: Connected socket.
            method: Method of the request.
            record_framing: Takes the bytes that arrived since the last byte of a
                body; raises `HeldMemoryError` if they are too many for the host.
        """
        self._record_framing = record_framing
        super().__init__(FairSocket(sock), method=method)

    def feed(self, data: str | bytes) -> None:
        """Parse data; bytes after a complete answer only prevent connection reuse.

        Raises:
            HTTPParseError: The data isn't HTTP, or has too many bytes of framing.
        """
        body_bytes = len(self._body_buffer)
        try:
            super().feed(data)
        except HTTPParseError:
            if not self.has_final_answer:
                raise
            self.has_trailing_bytes = True
        except _TrailingBytesError:
            self.has_trailing_bytes = True
        if len(self._body_buffer) > body_bytes:
            if self._framing_bytes:
                self._framing_bytes = 0
                self._record_framing(0)
            return
        self._framing_bytes += len(data)
        self._record_framing(self._framing_bytes)
        if self._framing_bytes > FRAMING_LIMIT_BYTES and not self.has_final_answer:
            raise HTTPParseError(f"{self._framing_bytes} bytes without an answer")

    @property
    def has_final_answer(self) -> bool:
        """Whether a complete final answer (not an interim 1xx answer) was read."""
        return bool(self.message_complete and self.final_status)

    def _on_message_begin(self) -> None:
        if self.has_final_answer:
            raise _TrailingBytesError
        super()._on_message_begin()

    def _on_headers_complete(self) -> Any:
        status = int(self.get_code())
        if status not in HTTP_STATUSES:
            raise HTTPParseError(f"status {status} is none of HTTP")
        if status >= FIRST_FINAL_STATUS:
            self.final_status = status
        return super()._on_headers_complete()

    def release(self) -> None:
        """Keep the connection if it may be used again, else close it."""
        sock = self._sock
        self._sock = None
        if sock is None:
            return
        if self.should_close():
            sock.close()
        else:
            self.idle_sock = sock.sock

    def read_available(self) -> bytes:
        """Wait for body bytes and return them; empty at the end of the answer."""
        while not self._body_buffer and not self.message_complete:
            self.feed(self._sock.recv(TURN_BYTES))
        chunk = bytes(self._body_buffer)
        self._body_buffer.clear()
        return chunk

    @property
    def has_end_marker(self) -> bool:
        """Whether the end of the answer is marked, not just by a close."""
        return (
            "content-length" in self
            or self._is_chunked()
            or self.method == "HEAD"
            or self.final_status in STATUSES_WITHOUT_BODY
        )

    def _is_chunked(self) -> bool:
        # Only the last of several codings delimits the body; without chunks it is a
        # close that ends it.
        codings = self.get("transfer-encoding") or ""
        last = codings if isinstance(codings, str) else codings[-1]
        return last.rpartition(",")[2].strip().lower() == "chunked"
