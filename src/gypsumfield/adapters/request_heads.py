"""Reads and checks the heads of callers' requests."""

from typing import Any

import msgspec

HEADER_COUNT_LIMIT = 100

_TOKEN_CHARACTERS = frozenset(
    b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
)


class BadRequestError(ValueError):
    """The request line or the header block is malformed or ambiguous."""


class HeadTooLargeError(BadRequestError):
    """The header block exceeds its limit in bytes or in headers."""


def read_header_block(stream: Any, limit_bytes: int) -> bytes:
    """Read a header block, with the empty line at its end."""
    block = bytearray()
    while True:
        line = stream.readline(limit_bytes + 1)
        block += line
        if len(block) > limit_bytes:
            raise HeadTooLargeError("the header block is too large")
        if not line:
            raise BadRequestError("the header block is incomplete")
        if not line.endswith(b"\r\n"):
            raise BadRequestError("a header line does not end in CR LF")
        if line == b"\r\n":
            return bytes(block)


def check_header_block(block: bytes) -> None:
    """Raise `BadRequestError` for a block that two parsers could read differently."""
    header_lines = block.split(b"\n")[:-2]
    if len(header_lines) > HEADER_COUNT_LIMIT:
        raise HeadTooLargeError("the header block is too large")
    length_count = 0
    encodings = []
    for line in header_lines:
        name, value = _split_header(line)
        if name == b"content-length":
            length_count += 1
            _check_content_length(value)
        elif name == b"transfer-encoding":
            encodings.append(value.lower())
    if length_count > 1 or (length_count and encodings):
        raise BadRequestError("the body's length is stated twice")
    if encodings not in ([], [b"chunked"]):
        raise BadRequestError("the transfer encoding is not supported")


def _split_header(line: bytes) -> tuple[bytes, bytes]:
    line = line.removesuffix(b"\r")
    name, colon, value = line.partition(b":")
    if not colon or not name or not _TOKEN_CHARACTERS.issuperset(name):
        raise BadRequestError("a header line is malformed")
    if any(byte < 0x20 and byte != 0x09 for byte in value):
        raise BadRequestError("a header value holds control characters")
    return name.lower(), value.strip(b" \t")


def _check_content_length(value: bytes) -> None:
    if not value.isdigit():
        raise BadRequestError("the content length is no number")


def encode_error_response(status: str, reason: str) -> bytes:
    """Return the whole answer to a malformed request."""
    body = msgspec.json.encode(
        {
            "error": {
                "code": "bad_request",
                "message": reason,
                "run": "not-run",
                "request_id": "",
            }
        }
    )
    head = (
        f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body
