"""Items of the platform's store by key, across restorations of the store.

A restored store comes back from a copy: its revisions go back, are given out again, and
what was written since the copy is lost until its writer writes it again. The store
counts its restorations as eras. An item's ``revision`` here orders all writes: by the
era in which it was read, then by the store's own revision.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.model import Publication

# More than a store's revisions in one era; keeps both numbers readable in logs.
ERA_FACTOR = 10**12
# Deletions are recorded for this time, so that an older item from a peer does not
# restore a deleted key. No answer is in transit for longer than this.
TOMBSTONE_LIFETIME_MS = 60_000.0
# Operators and servers write again within this time what a restored store has lost.
RESTORED_GRACE_MS = 5_000.0
# Values that no host uses are kept up to this size: a newer program version of a peer
# may use them. Longer ones would make views too large; what stands for them is no
# registration of a server.
MAX_UNUSED_VALUE_BYTES = 4_096
DISCARDED_VALUE = b""


class StoreItem(NamedTuple):
    """Key, revision and value of one item; a value of None is a deletion."""

    key: str
    revision: int
    value: bytes | None


class WatchedChanges(NamedTuple):
    """Answer of the store to a watch.

    Attributes:
        items: The changes in order, without those that are no items.
        revision: Revision from which to continue.
        event_count: Number of changes, including those that are no items.
    """

    items: list[StoreItem]
    revision: int
    event_count: int


class Decoders(NamedTuple):
    """Decoders of published keys and values, from the platform's adapter.

    Attributes:
        is_configuration: Whether a key holds the configuration.
        is_server: Whether a key holds the registration of a server.
        server_id: Returns the id of the server whose registration a key holds.
        evacuated_zone: Returns the zone of an evacuation's key, empty for others.
        publication: Decodes a configuration; raises `ConfigurationError`.
        server: Decodes a registration from its key, value and revision; raises
            `ConfigurationError`.
    """

    is_configuration: Callable[[str], bool]
    is_server: Callable[[str], bool]
    server_id: Callable[[str], str]
    evacuated_zone: Callable[[str], str]
    publication: Callable[[bytes], Publication]
    server: Callable[[str, bytes, int], BackendServer]


class Resolution(Enum):
    """What happens to an item that was read from a restored store.

    Attributes:
        ADOPT: It replaces the item of the earlier era.
        KEEP: The item of the earlier era stays.
        HOLD: The item of the earlier era stays for `RESTORED_GRACE_MS`.
    """

    ADOPT = "adopt"
    KEEP = "keep"
    HOLD = "hold"


class Outcome(Enum):
    """What became of an item: stored, older than the recorded one, or kept out."""

    STORED = "stored"
    OLDER = "older"
    KEPT_OUT = "kept out"


# Takes the recorded item and the one of another era.
Resolve = Callable[[StoreItem, StoreItem], Resolution]


def combine_revision(era: int, revision: int) -> int:
    """Return a number that orders revisions of all eras."""
    return era * ERA_FACTOR + revision


def era_of(revision: int) -> int:
    """Return the era of a combined revision."""
    return revision // ERA_FACTOR


def store_revision_of(revision: int) -> int:
    """Return the store's own number of a combined revision."""
    return revision % ERA_FACTOR


class PublishedItems:
    """The latest item of each key, including recent deletions.

    Args:
        is_kept_across_eras: Whether an item of an era before the current one may be
            stored under a new key.

    Attributes:
        revision: Revision up to which the items are complete.
    """

    def __init__(self, is_kept_across_eras: Callable[[str], bool]) -> None:
        self.revision = 0
        self._is_kept_across_eras = is_kept_across_eras
        self._items: dict[str, StoreItem] = {}
        self._deleted_ms: dict[str, float] = {}
        # Items of a restored store that replace earlier ones later, and when.
        self._held: dict[str, tuple[StoreItem, float]] = {}

    def find(self, key: str) -> StoreItem | None:
        """Return the item of a key, or None."""
        return self._items.get(key)

    def after(self, revision: int) -> list[StoreItem]:
        """Return the items changed after ``revision``, including deletions."""
        return [item for item in self._items.values() if item.revision > revision]

    def missing(self, keys: Collection[str], revision: int) -> list[StoreItem]:
        """Return deletions of the items that a listing of ``revision`` lacks."""
        return [
            StoreItem(item.key, revision, None)
            for item in self._items.values()
            if item.value is not None
            and item.key not in keys
            and item.revision <= revision
        ]

    def store_if_newer(
        self, item: StoreItem, now_ms: float, resolve: Resolve
    ) -> Outcome:
        """Store an item unless a newer one is recorded.

        Args:
            item: The item.
            now_ms: Monotonic time.
            resolve: Resolves a conflict with an item of another era.
        """
        current = self._items.get(item.key)
        if current is None:
            is_old_deletion = item.value is None and item.revision <= self.revision
            is_lost = era_of(item.revision) < era_of(self.revision)
            if is_old_deletion or (is_lost and not self._is_kept_across_eras(item.key)):
                return Outcome.OLDER
        elif era_of(item.revision) == era_of(current.revision):
            if item.revision <= current.revision:
                return Outcome.OLDER
        else:
            resolution = resolve(current, item)
            if resolution is Resolution.HOLD:
                self._held[item.key] = (item, now_ms + RESTORED_GRACE_MS)
            if resolution is not Resolution.ADOPT:
                return Outcome.KEPT_OUT
        self._put(item, now_ms)
        return Outcome.STORED

    def discard_unused_value(self, item: StoreItem) -> None:
        """Drop the value of an item that no host uses, unless it is short."""
        if item.value is not None and len(item.value) > MAX_UNUSED_VALUE_BYTES:
            self._items[item.key] = item._replace(value=DISCARDED_VALUE)

    def release_held(self, now_ms: float) -> list[StoreItem]:
        """Store the held items whose time has come, and return them."""
        due = [item for item, due_ms in self._held.values() if due_ms <= now_ms]
        for item in due:
            self._put(item, now_ms)
        return due

    def discard_deletions(self, now_ms: float) -> None:
        """Remove deletions older than `TOMBSTONE_LIFETIME_MS`."""
        for key, since_ms in list(self._deleted_ms.items()):
            if now_ms - since_ms > TOMBSTONE_LIFETIME_MS:
                del self._deleted_ms[key]
                self._items.pop(key, None)

    def _put(self, item: StoreItem, now_ms: float) -> None:
        self._held.pop(item.key, None)
        self._items[item.key] = item
        if item.value is None:
            self._deleted_ms[item.key] = now_ms
        else:
            self._deleted_ms.pop(item.key, None)


def keys_of(items: Iterable[StoreItem]) -> set[str]:
    """Return the keys of items."""
    return {item.key for item in items}
