"""Lists and watches items in the platform's store."""

import base64
import binascii
import json
import re
from collections.abc import Callable
from typing import Annotated
from typing import NamedTuple
from typing import TypeVar
from urllib.parse import quote

import msgspec

from gypsumfield.aborts import AbortHandle
from gypsumfield.adapters.backends import Exchange
from gypsumfield.adapters.backends import ExchangeTimeouts
from gypsumfield.adapters.backends import TOO_LARGE_CODE
from gypsumfield.adapters.connections import ConnectionPool
from gypsumfield.adapters.outgoing_requests import OutgoingRequest
from gypsumfield.decoding import BYTES_AS_SURROGATES
from gypsumfield.decoding import decode
from gypsumfield.decoding import Decoder
from gypsumfield.decoding import MAX_NAME_LENGTH
from gypsumfield.decoding import Name
from gypsumfield.decoding import unescape_surrogates
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import HistoryGoneError
from gypsumfield.exceptions import InvalidDataError
from gypsumfield.exceptions import PlatformError
from gypsumfield.gateway.published_items import combine_revision
from gypsumfield.gateway.published_items import ERA_FACTOR
from gypsumfield.gateway.published_items import era_of
from gypsumfield.gateway.published_items import store_revision_of
from gypsumfield.gateway.published_items import StoreItem
from gypsumfield.gateway.published_items import WatchedChanges

# A listing takes a few round trips; after this time the store counts as unreachable.
CALL_TIMEOUT_MS = 1_500.0
CONNECT_TIMEOUT_MS = 1_000.0
# Maximum time to transfer a page of 1 MB over the slowest links.
TRANSFER_TIMEOUT_MS = 4_000.0
ANSWER_LIMIT_BYTES = 16 * 1_048_576
HISTORY_GONE_STATUS = 410
OK_STATUS = 200
# The store does not use request ids and ignores this header.
_ID_HEADER = "X-Call-Id"
# Rises by one each time the store has been restored from a copy.
ERA_HEADER = "Store-Era"
# Combined revisions fit into 64 bits.
_ERA_PATTERN = re.compile("[0-9]{1,6}")


class Listing(NamedTuple):
    """All items whose key begins with a prefix.

    Attributes:
        items: The items. They are read in pages and aren't a consistent snapshot.
        revision: Revision at which the first page was read; a watch from this
            revision misses no change.
    """

    items: list[StoreItem]
    revision: int


StoreRevision = Annotated[int, msgspec.Meta(ge=0, lt=ERA_FACTOR)]


class _WireItem(msgspec.Struct):
    key: Name
    revision: StoreRevision
    value: str = ""
    deleted: bool = False


class _WirePage(msgspec.Struct):
    at: StoreRevision
    entries: list[msgspec.Raw] = []
    has_more: bool = False


class _WireEvents(msgspec.Struct):
    at: StoreRevision
    events: list[msgspec.Raw] = []


_PAGE_DECODER = msgspec.json.Decoder(_WirePage)
_EVENTS_DECODER = msgspec.json.Decoder(_WireEvents)
_ITEM_DECODER = msgspec.json.Decoder(_WireItem)
_AnswerT = TypeVar("_AnswerT")


class StoreClient:
    """Client that reads the platform's store.

    Its revisions combine the store's era with the store's own revision.

    Args:
        address: ``IP:PORT`` of the store.
        record_invalid_item: Called with the reason for each entry that is no item.

    Attributes:
        era: Highest era that an answer has named, or 0.
    """

    def __init__(
        self,
        address: str,
        record_invalid_item: Callable[[str], None] = lambda _reason: None,
    ) -> None:
        self._record_invalid_item = record_invalid_item
        self._address = address
        self.era = 0
        self._pool = ConnectionPool()

    def list_items(self, prefix: str) -> Listing:
        """Read all items whose key begins with ``prefix``.

        Raises:
            PlatformError: The store did not answer, or its answer is invalid.
        """
        items: list[StoreItem] = []
        first_revision = None
        first_era = 0
        positions: list[str] = []
        while True:
            target = f"/-/kv-range?path_prefix={quote(prefix, safe='')}"
            if positions:
                position = quote(positions[-1], safe="", errors=BYTES_AS_SURROGATES)
                target += f"&after={position}"
            page = _decode(_PAGE_DECODER, self._call(target, CALL_TIMEOUT_MS))
            if first_revision is None:
                first_era = self.era
                first_revision = combine_revision(first_era, page.at)
            if self.era != first_era:
                raise PlatformError("store: it was restored during a listing")
            items.extend(self._valid_items(page.entries))
            if not page.has_more or not page.entries:
                return Listing(items, first_revision)
            positions.append(_next_position(page.entries, positions))

    def watch(self, prefix: str, after_revision: int, wait_ms: int) -> WatchedChanges:
        """Wait for changes after a revision (long poll).

        Args:
            prefix: Prefix of the watched keys.
            after_revision: Last revision that was received.
            wait_ms: Maximum time that the store waits for a change.

        Raises:
            HistoryGoneError: The store has discarded the changes after this
                revision, it was restored since, or they exceed the limit of an answer.
            PlatformError: The store did not answer, or its answer is invalid or of
                an earlier era.
        """
        target = (
            f"/-/kv-watch?path_prefix={quote(prefix, safe='')}"
            f"&after={store_revision_of(after_revision)}&wait_ms={wait_ms}"
        )
        self.era = max(self.era, era_of(after_revision))
        try:
            body = self._call(target, wait_ms + CALL_TIMEOUT_MS)
        except PlatformError as error:
            cause = error.__cause__
            if isinstance(cause, BackendError) and cause.code == TOO_LARGE_CODE:
                # The same watch would fail again; a listing has pages.
                raise HistoryGoneError(str(error)) from cause
            raise
        if self.era > era_of(after_revision):
            # The new history may already have passed the revision, without a 410.
            raise HistoryGoneError("the store was restored from a copy")
        events = _decode(_EVENTS_DECODER, body)
        return WatchedChanges(
            self._valid_items(events.events),
            combine_revision(self.era, events.at),
            len(events.events),
        )

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()

    def _valid_items(self, entries: list[msgspec.Raw]) -> list[StoreItem]:
        """Return the items of an answer; others than items are left out."""
        items = []
        for entry in entries:
            try:
                items.append(_convert_item(decode(_ITEM_DECODER, entry), self.era))
            except InvalidDataError as error:
                key = _written_key(entry)[:MAX_NAME_LENGTH]
                self._record_invalid_item(f"{key!r}: {error}")
        return items

    def _call(self, target: str, timeout_ms: float) -> bytes:
        request = OutgoingRequest(
            self._address, "GET", target, {}, b"", "", _ID_HEADER, must_echo_id=False
        )
        timeouts = ExchangeTimeouts(
            CONNECT_TIMEOUT_MS,
            timeout_ms,
            timeout_ms,
            total_ms=timeout_ms + TRANSFER_TIMEOUT_MS,
        )
        exchange = Exchange(request, timeouts, AbortHandle(), self._pool)
        try:
            status = exchange.open(lambda: "")
            body = exchange.read_body(ANSWER_LIMIT_BYTES, True)
            era = _decode_era(exchange.header_items())
        except BackendError as error:
            exchange.close()
            raise PlatformError(f"store: {error}") from error
        exchange.finish()
        if era < self.era and status in (OK_STATUS, HISTORY_GONE_STATUS):
            raise PlatformError(f"store: the answer is of the earlier era {era}")
        self.era = max(self.era, era)
        if status == HISTORY_GONE_STATUS:
            raise HistoryGoneError(
                "the store has discarded the changes after this revision"
            )
        if status != OK_STATUS:
            raise PlatformError(f"store: unexpected status {status}")
        return body


def _next_position(entries: list[msgspec.Raw], used: list[str]) -> str:
    """Return the key after which the next page of a listing begins.

    It is the last key as the store wrote it, whether or not its entry can be used.

    Raises:
        PlatformError: No entry has a key after which no page began yet.
    """
    for entry in reversed(entries):
        key = _written_key(entry)
        if key and key not in used:
            return key
    raise PlatformError("store: a page of the listing has no next one")


def _written_key(entry: msgspec.Raw) -> str:
    """Return the key of an entry of an answer, or empty if it has none."""
    try:
        fields = json.loads(bytes(entry).decode("utf-8", BYTES_AS_SURROGATES))
    except (ValueError, RecursionError):
        return ""
    key = fields.get("key") if isinstance(fields, dict) else None
    return key if isinstance(key, str) else ""


def _decode_era(headers: list[tuple[str, str]]) -> int:
    values = {name.lower(): value.strip() for name, value in headers}
    text = values.get(ERA_HEADER.lower(), "")
    return int(text) if _ERA_PATTERN.fullmatch(text) else 0


def _decode(decoder: Decoder[_AnswerT], body: bytes) -> _AnswerT:
    try:
        try:
            return decode(decoder, body)
        except InvalidDataError:
            # A key with an escaped lone surrogate makes the whole answer malformed.
            return decode(decoder, unescape_surrogates(body, BYTES_AS_SURROGATES))
    except InvalidDataError as error:
        raise PlatformError(f"store: the answer is invalid: {error}") from error


def _convert_item(wire: _WireItem, era: int) -> StoreItem:
    revision = combine_revision(era, wire.revision)
    if wire.deleted:
        return StoreItem(wire.key, revision, None)
    try:
        value = base64.b64decode(wire.value, validate=True)
    except (binascii.Error, ValueError):
        # A damaged value must not look like a deletion. Decoding the empty value
        # fails with an error that names the key.
        value = b""
    return StoreItem(wire.key, revision, value)
