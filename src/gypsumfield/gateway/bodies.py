"""Bodies of callers' requests and of the answers to them."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import gevent

from gypsumfield.adapters.body_buffer import BodyBuffer
from gypsumfield.clock import MS_PER_S
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import HeldMemoryError
from gypsumfield.exceptions import Refusal
from gypsumfield.exceptions import RefusedError
from gypsumfield.gateway.forwarding import ForwardedStream
from gypsumfield.gateway.streams import Stream
from gypsumfield.held_memory import HeldPart
from gypsumfield.held_memory import Hold

BODY_CHUNK_BYTES = 16_384
# Longest time to receive a request body.
BODY_TIMEOUT_MS = 10_000.0
MEMORY_FULL_CODE = "memory_full"
# Other hosts have memory; this one has some again when the answers it holds are sent.
MEMORY_RETRY_AFTER_MS = 500.0

OpenStream = Stream | ForwardedStream


class HeldAnswer:
    """Answer body whose request is released when it has been sent or has failed."""

    def __init__(self, body: Iterable[bytes], hold: Hold) -> None:
        self._body = body
        self._hold = hold

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._body)

    def close(self) -> None:
        """Close the body and release what its request holds."""
        try:
            if isinstance(self._body, StreamBody):
                self._body.close()
        finally:
            self._hold.release()


class StreamBody:
    """Answer body of a stream; ends without the end marker if the stream breaks."""

    def __init__(self, stream: OpenStream, end: Callable[[], None]) -> None:
        self._stream = stream
        self._end = end

    def __iter__(self) -> Iterator[bytes]:
        try:
            yield from self._stream.events()
        except (BackendError, RefusedError) as error:
            self._stream.log_broken_stream(error)
            # The WSGI server leaves out the end marker and closes the connection.
            raise ConnectionResetError(104, "the stream broke") from error

    def close(self) -> None:
        """End the stream, its deadline and the watch on its caller."""
        self._end()


def read_body(environ: dict[str, Any], limit_bytes: int, hold: Hold) -> bytes:
    """Read the body of a caller's request.

    Args:
        environ: WSGI environment.
        limit_bytes: Largest body that is accepted.
        hold: Counts the bytes.

    Raises:
        RefusedError: The body is too large, too late or malformed, or this host has no
            memory for it.
    """
    length = environ.get("CONTENT_LENGTH") or "0"
    if int(length) > limit_bytes:
        raise RefusedError(Refusal(413, "body_too_large", "the body is too large"))
    body = BodyBuffer(int(length))
    timeout = gevent.Timeout(BODY_TIMEOUT_MS / MS_PER_S)
    try:
        with timeout:
            while chunk := environ["wsgi.input"].read(BODY_CHUNK_BYTES):
                body.append(chunk)
                if len(body) > limit_bytes:
                    raise RefusedError(
                        Refusal(413, "body_too_large", "the body is too large")
                    )
                hold.resize(HeldPart.REQUEST, len(body))
    except HeldMemoryError as error:
        # The refusal waits for its caller, who may read it late.
        body.clear()
        raise RefusedError(
            Refusal(
                503, MEMORY_FULL_CODE, str(error), retry_after_ms=MEMORY_RETRY_AFTER_MS
            )
        ) from error
    except gevent.Timeout as expired:
        if expired is not timeout:
            raise
        raise RefusedError(
            Refusal(408, "body_late", "the body took too long")
        ) from expired
    except (OSError, ValueError) as error:
        raise RefusedError(
            Refusal(400, "bad_body", "the body is malformed or incomplete")
        ) from error
    return body.take()
