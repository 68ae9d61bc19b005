"""Decodes data from outside the process into types with bounded values."""

import ipaddress
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
