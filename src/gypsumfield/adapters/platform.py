"""Client of the platform's read-only HTTP service."""

import uuid
from typing import TypeVar

import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from gypsumfield.clock import MS_PER_S
from gypsumfield.configuration import ConfigurationDelta
from gypsumfield.decoding import decode
from gypsumfield.exceptions import InvalidDataError
from gypsumfield.exceptions import PlatformError
from gypsumfield.platform_api import MemberList

ANSWER_MARGIN_MS = 1_000.0
CONNECT_TIMEOUT_MS = 1_000.0
STATUS_OK = 200

AnswerT = TypeVar("AnswerT")


class PlatformClient:
    """Client that reads published values and the member list.

    Attributes:
        call_count: Calls since the process started.
    """

    def __init__(self, url: str) -> None:
        self.call_count = 0
        self._url = url

    def fetch_values(self, after_revision: int, wait_ms: float) -> ConfigurationDelta:
        """Return the changes after a revision; waits up to ``wait_ms`` for a change.

        Raises:
            PlatformError: The service did not answer, or its answer is invalid.
        """
        target = f"/v1/values?after_revision={after_revision}&wait_ms={wait_ms:.0f}"
        return self._get(target, ConfigurationDelta, wait_ms)

    def fetch_members(self) -> MemberList:
        """Return the member list, which may be out of date.

        Raises:
            PlatformError: The service did not answer, or its answer is invalid.
        """
        return self._get("/v1/members", MemberList, 0.0)

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
    try:
        return decode(msgspec.json.Decoder(answer_type), body)
    except InvalidDataError as error:
        raise PlatformError(
            f"invalid answer of the platform to {target}: {error}"
        ) from error
