"""Encrypted resume cursors, each bound to one account; no host stores them.

A cursor is ``SEAL.SEQUENCE.TAG``. The seal is ``KEYNAME.CIPHERTEXT``: the name of
the cursor key, so that keys can be rotated, and the encrypted `StreamOrigin`. It is
made once for each stream and hides which engine runs the generation. The tag
authenticates seal and sequence number, at the cost of one short hash per event.
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
_INVALID_CURSOR_MESSAGE = "the resume cursor is not valid for this account"


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """Engine, account and ids of a generation, as sealed in its cursors.

    Attributes:
        account: Client account the generation runs for.
        service: Name of the service.
        generation_id: Id of the generation on its engine.
        backend_server: Host id of the engine.
        request_id: Request that started it.
        is_chat: Whether the events have the form of chat completions.
    """

    account: str
    service: str
    generation_id: str
    backend_server: str
    request_id: str
    is_chat: bool


CursorWriter = Callable[[int], str]


def make_cursor_writer_if_possible(
    origin: StreamOrigin, keys: Mapping[str, CursorKey]
) -> CursorWriter:
    """Like `make_cursor_writer`; the cursors are empty when no key is current.

    Without a published cursor key streams are still served, but can't be resumed.
    """
    try:
        return make_cursor_writer(origin, keys)
    except CursorError:
        return lambda _sequence: ""


def make_cursor_writer(
    origin: StreamOrigin, keys: Mapping[str, CursorKey]
) -> CursorWriter:
    """Return a function that returns the cursor of a stream for a sequence number.

    Raises:
        CursorError: No published cursor key is marked as current.
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
        raise CursorError(_INVALID_CURSOR_MESSAGE) from error
    key = keys.get(name)
    if key is None:
        raise CursorError(_INVALID_CURSOR_MESSAGE)
    tag_key = _tag_key(key, f"{name_text}.{sealed_text}")
    if not hmac.compare_digest(tag, _tag(tag_key, sequence)):
        raise CursorError(_INVALID_CURSOR_MESSAGE)
    origin = _unseal(key, name, sealed)
    if not hmac.compare_digest(origin.account.encode(), account.encode()):
        raise CursorError(_INVALID_CURSOR_MESSAGE)
    return origin, sequence


def _current_key(keys: Mapping[str, CursorKey]) -> tuple[str, CursorKey]:
    for name in sorted(keys):
        if keys[name].is_current:
            return name, keys[name]
    raise CursorError("no cursor key is published as current")


def _split(cursor: str) -> tuple[str, str, str, str]:
    if len(cursor) > CURSOR_LIMIT_CHARACTERS:
        raise ValueError("the cursor is too long")
    name, seal, sequence, tag = cursor.split(".")
    if not (sequence.isascii() and sequence.isdigit()):
        raise ValueError("the sequence number is not a decimal number")
    if not tag.isascii():
        raise ValueError("the tag is not ASCII text")
    return name, seal, sequence, tag


def _unseal(key: CursorKey, name: str, sealed: bytes) -> StreamOrigin:
    nonce = sealed[:NONCE_BYTES]
    try:
        plain = AESGCM(bytes.fromhex(key.secret)).decrypt(
            nonce, sealed[NONCE_BYTES:], name.encode()
        )
        return msgspec.msgpack.decode(plain, type=StreamOrigin)
    except (InvalidTag, ValueError, msgspec.MsgspecError) as error:
        raise CursorError(_INVALID_CURSOR_MESSAGE) from error


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
