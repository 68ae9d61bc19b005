"""Client of the platform's read-only HTTP service."""

import uuid
from typing import Any
from typing import TypeVar

import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from gypsumfield.clock import MS_PER_S
from gypsumfield.configuration import ConfigurationDelta
from gypsumfield.decoding import cut_nesting
from gypsumfield.decoding import decode
from gypsumfield.decoding import MAX_NAME_LENGTH
from gypsumfield.decoding import unescape_surrogates
from gypsumfield.exceptions import InvalidDataError
from gypsumfield.exceptions import PlatformError
from gypsumfield.interfaces import ignore_invalid_host
from gypsumfield.interfaces import RecordInvalidHost
from gypsumfield.platform_api import Member
from gypsumfield.platform_api import MemberList

ANSWER_MARGIN_MS = 1_000.0
CONNECT_TIMEOUT_MS = 1_000.0
STATUS_OK = 200

# Stands for a value that cannot be decoded; no type of a value accepts it.
UNREADABLE_VALUE = "unreadable"
# Invalid hosts of one list that are logged.
_INVALID_HOST_LIMIT = 16

AnswerT = TypeVar("AnswerT")


class _WireDelta(msgspec.Struct):
    revision: int
    values: dict[str, msgspec.Raw]
    key_revisions: dict[str, int] = {}


class _WireMemberList(msgspec.Struct):
    version: int
    hosts: tuple[msgspec.Raw, ...]


class _WireHostId(msgspec.Struct):
    host_id: str = ""


_HOST_ID_DECODER = msgspec.json.Decoder(_WireHostId)
_MEMBER_DECODER = msgspec.json.Decoder(Member)
_VALUE_DECODER = msgspec.json.Decoder(Any)


class PlatformClient:
    """Client that reads published values and the member list.

    Args:
        url: URL of the service.
        record_invalid_host: Called with the id, if it can be read, and the reason for
            each entry of the member list that is no host; again only after a list
            without it.

    Attributes:
        call_count: Calls since the process started.
    """

    def __init__(
        self,
        url: str,
        record_invalid_host: RecordInvalidHost = ignore_invalid_host,
    ) -> None:
        self.call_count = 0
        self._url = url
        self._record_invalid_host = record_invalid_host
        self._invalid_hosts: list[tuple[str, str]] = []

    def fetch_values(self, after_revision: int, wait_ms: float) -> ConfigurationDelta:
        """Return the changes after a revision; waits up to ``wait_ms`` for a change.

        A value that cannot be decoded is returned as `UNREADABLE_VALUE`.

        Raises:
            PlatformError: The service did not answer, or its answer is invalid.
        """
        target = f"/v1/values?after_revision={after_revision}&wait_ms={wait_ms:.0f}"
        delta = self._get(target, _WireDelta, wait_ms)
        values = {key: _decode_value(raw) for key, raw in delta.values.items()}
        return ConfigurationDelta(delta.revision, values, delta.key_revisions)

    def fetch_members(self) -> MemberList:
        """Return the member list, which may be out of date, with its valid entries.

        Raises:
            PlatformError: The service did not answer, or its answer is invalid.
        """
        listed = self._get("/v1/members", _WireMemberList, 0.0)
        hosts = []
        invalid_hosts = []
        for raw in listed.hosts:
            try:
                hosts.append(decode(_MEMBER_DECODER, raw))
            except InvalidDataError as error:
                invalid_hosts.append((_host_id(raw), str(error)))
        for invalid_host in invalid_hosts[:_INVALID_HOST_LIMIT]:
            if invalid_host not in self._invalid_hosts:
                self._record_invalid_host(*invalid_host)
        self._invalid_hosts = invalid_hosts
        return MemberList(listed.version, tuple(hosts))

    def _get(self, target: str, answer_type: type[AnswerT], wait_ms: float) -> AnswerT:
        self.call_count += 1
        # A new connection for each call: calls are rare and long, and a call on a
        # pooled connection that a restarted platform has closed would fail.
        client = HTTPClient.from_url(
            self._url,
            connection_timeout=CONNECT_TIMEOUT_MS / MS_PER_S,
            network_timeout=(wait_ms + ANSWER_MARGIN_MS) / MS_PER_S,
        )
        try:
            response = client.get(target, headers={"X-Request-Id": uuid.uuid4().hex})
            body = response.read()
            status = response.status_code
        except (OSError, HTTPParseError) as error:
            raise PlatformError(f"platform {self._url}: {error}") from error
        finally:
            client.close()
        if status != STATUS_OK:
            raise PlatformError(
                f"platform {self._url}{target} answered with status {status}"
            )
        return _decode(body, answer_type, target)


def _decode(body: bytes, answer_type: type[AnswerT], target: str) -> AnswerT:
    decoder = msgspec.json.Decoder(answer_type)
    try:
        try:
            return decode(decoder, body)
        except InvalidDataError as error:
            # One key or one value can make the whole answer malformed.
            is_too_deep = isinstance(error.__cause__, RecursionError)
            text = cut_nesting(body) if is_too_deep else body
            return decode(decoder, unescape_surrogates(text, "replace"))
    except InvalidDataError as error:
        raise PlatformError(
            f"invalid answer of the platform to {target}: {error}"
        ) from error


def _decode_value(raw: msgspec.Raw) -> Any:
    try:
        value = decode(_VALUE_DECODER, raw)
        # Peers receive it in this encoding, which has no integers above 64 bits.
        msgspec.msgpack.encode(value)
    except (InvalidDataError, OverflowError):
        return UNREADABLE_VALUE
    return value


def _host_id(raw: msgspec.Raw) -> str:
    """Return the id in an entry of the member list, or empty if it has none."""
    try:
        return decode(_HOST_ID_DECODER, raw).host_id[:MAX_NAME_LENGTH]
    except InvalidDataError:
        return ""
