"""Adapter to the platform's read-only service."""

import uuid
from typing import TypeVar

import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from gypsumfield.clock import MS_PER_S
from gypsumfield.configuration import ConfigurationDelta
from gypsumfield.exceptions import PlatformError
from gypsumfield.platform_api import MemberList

ANSWER_MARGIN_MS = 1_000.0
CONNECT_TIMEOUT_MS = 1_000.0
STATUS_OK = 200

AnswerT = TypeVar("AnswerT")


class PlatformClient:
    """Reads published values and the member list; counts its calls.

    Attributes:
        call_count: Calls made since the process started.
    """

    def __init__(self, url: str) -> None:
        self.call_count = 0
        self._url = url

    def fetch_values(self, after_revision: int, wait_ms: float) -> ConfigurationDelta:
        """Return the changes after a revision, waiting for one up to ``wait_ms``.

        Raises:
            PlatformError: The service did not answer as it should.
        """
        target = f"/v1/values?after_revision={after_revision}&wait_ms={wait_ms:.0f}"
        return self._get(target, ConfigurationDelta, wait_ms)

    def fetch_members(self) -> MemberList:
        """Return the member list, which lags behind reality.

        Raises:
            PlatformError: The service did not answer as it should.
        """
        return self._get("/v1/members", MemberList, 0.0)

    def _get(self, target: str, wanted: type[AnswerT], wait_ms: float) -> AnswerT:
        self.call_count += 1
        # A fresh connection: reads are rare and long, and a pooled connection
        # that a restarted platform closed would cost a try.
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
            raise PlatformError(f"platform {self._url}{target} answered {status}")
        return _decode(body, wanted, target)


def _decode(body: bytes, wanted: type[AnswerT], target: str) -> AnswerT:
    try:
        return msgspec.json.decode(body, type=wanted)
    except msgspec.MsgspecError as error:
        raise PlatformError(f"platform answer to {target}: {error}") from error
