"""Client of the platform's published store: list and watch."""

import base64
import binascii
from typing import NamedTuple
from typing import TypeVar
from urllib.parse import quote

import msgspec

from gypsumfield.aborts import AbortHandle
from gypsumfield.adapters.backends import Exchange
from gypsumfield.adapters.backends import ExchangeTimeouts
from gypsumfield.adapters.backends import OutgoingRequest
from gypsumfield.adapters.connections import ConnectionPool
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import HistoryGoneError
from gypsumfield.exceptions import PlatformError
from gypsumfield.gateway.catalogue import StoreItem

# A listing is a few round trips; above this the store counts as silent.
CALL_TIMEOUT_MS = 1_500.0
CONNECT_TIMEOUT_MS = 1_000.0
# A page of 1 MB takes so long on the smallest links, at most.
TRANSFER_MS = 4_000.0
ANSWER_LIMIT_BYTES = 16 * 1_048_576
HISTORY_GONE_STATUS = 410
OK_STATUS = 200
# The store has no request ids; this header is one it ignores.
_ID_HEADER = "X-Call-Id"


class Listing(NamedTuple):
    """All items below a prefix.

    Attributes:
        items: The items; together no snapshot.
        revision: Revision of the store when the first page was read; a watch
            from it misses nothing.
    """

    items: list[StoreItem]
    revision: int


class _WireItem(msgspec.Struct):
    key: str
    revision: int
    value: str = ""
    deleted: bool = False


class _WirePage(msgspec.Struct):
    at: int
    entries: list[_WireItem] = []
    has_more: bool = False


class _WireEvents(msgspec.Struct):
    at: int
    events: list[_WireItem] = []


_PAGE = msgspec.json.Decoder(_WirePage)
_EVENTS = msgspec.json.Decoder(_WireEvents)
_AnswerT = TypeVar("_AnswerT")


class StoreClient:
    """Reads the published store.

    Args:
        address: ``IP:PORT`` of the store.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = ConnectionPool()

    def list_items(self, prefix: str) -> Listing:
        """Read all items whose key begins with ``prefix``.

        Raises:
            PlatformError: The store did not answer, or not in its proper form.
        """
        items: list[StoreItem] = []
        first_revision = None
        after = ""
        while True:
            target = f"/-/kv-range?path_prefix={quote(prefix, safe='')}"
            if after:
                target += f"&after={quote(after, safe='')}"
            page = _decode(_PAGE, self._call(target, CALL_TIMEOUT_MS))
            if first_revision is None:
                first_revision = page.at
            items.extend(_item(entry) for entry in page.entries)
            if not page.has_more or not page.entries:
                return Listing(items, first_revision)
            after = page.entries[-1].key

    def watch(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> tuple[list[StoreItem], int]:
        """Wait for changes after a revision.

        Args:
            prefix: Beginning of the keys.
            after_revision: Revision that is already known.
            wait_ms: Longest wait of the store.

        Returns:
            The changes in order, and the revision to go on from.

        Raises:
            HistoryGoneError: The store no longer knows this history.
            PlatformError: The store did not answer, or not in its proper form.
        """
        target = (
            f"/-/kv-watch?path_prefix={quote(prefix, safe='')}"
            f"&after={after_revision}&wait_ms={wait_ms}"
        )
        events = _decode(_EVENTS, self._call(target, wait_ms + CALL_TIMEOUT_MS))
        return [_item(event) for event in events.events], events.at

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()

    def _call(self, target: str, timeout_ms: float) -> bytes:
        request = OutgoingRequest(
            self._address, "GET", target, {}, b"", "", _ID_HEADER, must_echo_id=False
        )
        timeouts = ExchangeTimeouts(
            CONNECT_TIMEOUT_MS,
            timeout_ms,
            timeout_ms,
            total_ms=timeout_ms + TRANSFER_MS,
        )
        exchange = Exchange(request, timeouts, AbortHandle(), self._pool)
        try:
            status = exchange.open(lambda: "")
            body = exchange.read_body(ANSWER_LIMIT_BYTES)
        except BackendError as error:
            exchange.close()
            raise PlatformError(f"store: {error}") from error
        exchange.finish()
        if status == HISTORY_GONE_STATUS:
            raise HistoryGoneError("the store dropped its history")
        if status != OK_STATUS:
            raise PlatformError(f"store: status {status}")
        return body


def _decode(decoder: msgspec.json.Decoder[_AnswerT], body: bytes) -> _AnswerT:
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise PlatformError(f"store: an answer cannot be read: {error}") from error


def _item(wire: _WireItem) -> StoreItem:
    if wire.deleted:
        return StoreItem(wire.key, wire.revision, None)
    try:
        value = base64.b64decode(wire.value, validate=True)
    except (binascii.Error, ValueError):
        # A damaged value is no deletion; decoding it fails with its key named.
        value = b""
    return StoreItem(wire.key, wire.revision, value)
