"""Decodes data from outside the process into types with bounded values."""

import ipaddress
import json
import re
from typing import Annotated
from typing import Protocol
from typing import TypeVar

import msgspec

from gypsumfield.exceptions import InvalidDataError

MAX_NAME_LENGTH = 200
MAX_INT64 = (1 << 63) - 1
# More than any count, and exact in a float.
MAX_COUNT = 10**12
MAX_DURATION_MS = 1e12
MAX_PORT = 65_535
_PRINTABLE = r"\A[!-~]+\Z"
_PORT = re.compile(r"[0-9]{1,5}")
# Deeper than any document of the users; decoders fail some hundred levels later.
MAX_NESTING = 64
_STRING_OR_BRACKET = re.compile(rb'"(?:[^"\\]|\\.)*+"|[][{}]', re.DOTALL)
# Some text is bytes at its origin; a lone surrogate stands for a byte that is no
# character.
BYTES_AS_SURROGATES = "surrogateescape"

Name = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH, pattern=_PRINTABLE)
]
Timestamp = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT64)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
DurationMs = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_DURATION_MS)]

_DataT = TypeVar("_DataT", covariant=True)


class Decoder(Protocol[_DataT]):
    """A decoder of `msgspec`, for JSON or MessagePack."""

    def decode(self, buf: bytes, /) -> _DataT:
        """Return the decoded data."""


def decode(decoder: Decoder[_DataT], data: bytes) -> _DataT:
    """Decode data that may contain anything.

    Raises:
        InvalidDataError: The data are malformed, nested too deeply or out of bounds.
    """
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError) as error:
        raise InvalidDataError(str(error) or type(error).__name__) from error


def unescape_surrogates(data: bytes, errors: str) -> bytes:
    """Return JSON without escaped lone surrogates, which no decoder accepts.

    Args:
        data: JSON whose strings may hold them, or bytes that are no UTF-8.
        errors: What becomes of them: the name of an error handler of the codecs.

    Raises:
        InvalidDataError: The data are no JSON.
    """
    try:
        document = json.loads(data.decode("utf-8", BYTES_AS_SURROGATES))
        text = json.dumps(document, ensure_ascii=False)
    except (ValueError, RecursionError) as error:
        raise InvalidDataError(str(error) or type(error).__name__) from error
    try:
        return text.encode("utf-8", errors)
    except UnicodeEncodeError:
        return text.encode("utf-8", "surrogatepass")


def cut_nesting(data: bytes) -> bytes:
    """Return JSON with null for what is nested deeper than `MAX_NESTING`."""
    kept = bytearray()
    kept_to = depth = 0
    for token in _STRING_OR_BRACKET.finditer(data):
        if token[0] in (b"[", b"{"):
            depth += 1
            if depth == MAX_NESTING + 1:
                kept += data[kept_to : token.start()] + b"null"
        elif token[0] in (b"]", b"}"):
            depth -= 1
            if depth == MAX_NESTING:
                kept_to = token.end()
    return bytes(kept + data[kept_to:])


def check_name(text: str) -> str:
    """Return a name of printable characters without blanks.

    Raises:
        InvalidDataError: The name is empty, too long or has other characters.
    """
    if len(text) > MAX_NAME_LENGTH or not re.fullmatch(_PRINTABLE, text):
        raise InvalidDataError(f"no name: {text[:MAX_NAME_LENGTH]!r}")
    return text


def check_address(address: str) -> str:
    """Return an address as it was published, after a check of its IP and its port.

    Raises:
        InvalidDataError: The IP address or the port is invalid.
    """
    ip, _, port = address.rpartition(":")
    if not _PORT.fullmatch(port) or not 1 <= int(port) <= MAX_PORT:
        raise InvalidDataError(f"address: no port: {port[:MAX_NAME_LENGTH]!r}")
    try:
        ipaddress.ip_address(ip)
    except ValueError as error:
        raise InvalidDataError(f"address: {str(error)[:MAX_NAME_LENGTH]}") from error
    return address
