"""Resume cursors: sealed, bound to one account, without state on any host.

A cursor is ``SEAL.SEQUENCE.TAG``. The seal is made once for a stream and hides
where the generation runs; the tag authenticates the sequence number and costs
one short hash an event. The seal names its key, so that keys can rotate.
"""

import base64
import hashlib
import hmac
import os
from collections.abc import Callable
from collections.abc import Mapping

import msgspec
from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from gypsumfield.configuration import CursorKey
from gypsumfield.exceptions import CursorError

NONCE_BYTES = 12
TAG_BYTES = 9
CURSOR_LIMIT_CHARACTERS = 2_048
_MESSAGE = "the resume cursor is not valid for this account"


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """Where a generation runs and for whom.

    Attributes:
        account: Client account the generation runs for.
        service: Name of the service.
        generation_id: Id of the generation on its engine.
        backend_server: Host id of the engine.
        request_id: Request that started it.
        is_chat: Whether the caller uses the chat shape.
    """

    account: str
    service: str
    generation_id: str
    backend_server: str
    request_id: str
    is_chat: bool


CursorWriter = Callable[[int], str]


def open_writer_if_any(
    origin: StreamOrigin, keys: Mapping[str, CursorKey]
) -> CursorWriter:
    """Return `open_writer`'s function, or one of empty cursors without a key.

    An operator who publishes no cursor key loses resumption, not service.
    """
    try:
        return open_writer(origin, keys)
    except CursorError:
        return lambda _sequence: ""


def open_writer(origin: StreamOrigin, keys: Mapping[str, CursorKey]) -> CursorWriter:
    """Return a function from sequence number to cursor for one stream.

    Raises:
        CursorError: No published cursor key is current.
    """
    name, key = _current_key(keys)
    nonce = os.urandom(NONCE_BYTES)
    sealed = AESGCM(bytes.fromhex(key.secret)).encrypt(
        nonce, msgspec.msgpack.encode(origin), name.encode()
    )
    seal = f"{_to_text(name.encode())}.{_to_text(nonce + sealed)}"
    tag_key = _tag_key(key, seal)
    return lambda sequence: f"{seal}.{sequence}.{_tag(tag_key, sequence)}"


def read_cursor(
    cursor: str, keys: Mapping[str, CursorKey], account: str
) -> tuple[StreamOrigin, int]:
    """Return the origin and the sequence number of a cursor.

    Raises:
        CursorError: The cursor is malformed, not authentic, made with a key
            that is no longer published, or belongs to another account.
    """
    try:
        name_text, sealed_text, sequence_text, tag = _split(cursor)
        name = _from_text(name_text).decode()
        sealed = _from_text(sealed_text)
        sequence = int(sequence_text)
    except ValueError as error:
        raise CursorError(_MESSAGE) from error
    key = keys.get(name)
    if key is None:
        raise CursorError(_MESSAGE)
    tag_key = _tag_key(key, f"{name_text}.{sealed_text}")
    if not hmac.compare_digest(tag, _tag(tag_key, sequence)):
        raise CursorError(_MESSAGE)
    origin = _unseal(key, name, sealed)
    if not hmac.compare_digest(origin.account.encode(), account.encode()):
        raise CursorError(_MESSAGE)
    return origin, sequence


def _current_key(keys: Mapping[str, CursorKey]) -> tuple[str, CursorKey]:
    for name in sorted(keys):
        if keys[name].is_current:
            return name, keys[name]
    raise CursorError("no cursor key is published as current")


def _split(cursor: str) -> tuple[str, str, str, str]:
    if len(cursor) > CURSOR_LIMIT_CHARACTERS:
        raise ValueError("cursor too long")
    name, seal, sequence, tag = cursor.split(".")
    if not (sequence.isascii() and sequence.isdigit()):
        raise ValueError("sequence is no number")
    if not tag.isascii():
        raise ValueError("tag is no text")
    return name, seal, sequence, tag


def _unseal(key: CursorKey, name: str, sealed: bytes) -> StreamOrigin:
    nonce = sealed[:NONCE_BYTES]
    try:
        plain = AESGCM(bytes.fromhex(key.secret)).decrypt(
            nonce, sealed[NONCE_BYTES:], name.encode()
        )
        return msgspec.msgpack.decode(plain, type=StreamOrigin)
    except (InvalidTag, ValueError, msgspec.MsgspecError) as error:
        raise CursorError(_MESSAGE) from error


def _tag_key(key: CursorKey, seal: str) -> bytes:
    secret = bytes.fromhex(key.secret)
    return hashlib.blake2b(seal.encode(), key=secret, digest_size=32).digest()


def _tag(tag_key: bytes, sequence: int) -> str:
    message = str(sequence).encode()
    digest = hashlib.blake2b(message, key=tag_key, digest_size=TAG_BYTES).digest()
    return _to_text(digest)


def _to_text(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _from_text(text: str) -> bytes:
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
