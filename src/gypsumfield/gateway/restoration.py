"""Decides what a host adopts of a store that was restored from a copy.

The copy lacks what was written after it. A host keeps what it knows of that until it is
written again: a newer version of the configuration, the end of a server or its later
start, an evacuation. The latter are adopted as they are in the store when they are not
written again in time.
"""

from collections.abc import Callable

from gypsumfield.exceptions import ConfigurationError
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.model import Publication
from gypsumfield.gateway.model import ServerRecord
from gypsumfield.gateway.published_items import Decoders
from gypsumfield.gateway.published_items import era_of
from gypsumfield.gateway.published_items import Resolution
from gypsumfield.gateway.published_items import StoreItem


def is_of_other_era(server: BackendServer, other: BackendServer) -> bool:
    """Return whether two registrations were read in different eras of the store."""
    return era_of(server.revision) != era_of(other.revision)


def resolve_configuration(
    current: StoreItem,
    item: StoreItem,
    publication: Publication | None,
    in_force: Publication | None,
) -> Resolution:
    """Decide between the configuration in force and one of another era.

    Args:
        current: The item that this host has.
        item: The item of another era.
        publication: What it holds; None if it is invalid or an older version.
        in_force: The configuration in force, or None.
    """
    if publication is None:
        return Resolution.KEEP
    is_newer = in_force is None or publication.version > in_force.version
    if is_newer or item.revision > current.revision:
        return Resolution.ADOPT
    return Resolution.KEEP


def resolve_copied_item(
    current: StoreItem,
    item: StoreItem,
    decoders: Decoders,
    find_server: Callable[[str], ServerRecord | None],
) -> Resolution:
    """Decide between an item of this host and one that may come from the copy.

    Args:
        current: The item that this host has, of an earlier era.
        item: The item of the restored store, which is no configuration.
        decoders: Decoders of published items.
        find_server: Returns the record of a server, by its id.
    """
    if decoders.is_server(item.key):
        is_lost = item.value is not None and _is_over(
            current, item, decoders, find_server
        )
    else:
        is_lost = item.value is None and current.value is not None
    return Resolution.HOLD if is_lost else Resolution.ADOPT


def _is_over(
    current: StoreItem,
    item: StoreItem,
    decoders: Decoders,
    find_server: Callable[[str], ServerRecord | None],
) -> bool:
    """Return whether a registration is of a start that this host knows to be over."""
    try:
        server = decoders.server(item.key, item.value or b"", item.revision)
    except ConfigurationError:
        return False
    record = find_server(server.server_id)
    if record is None:
        return False
    known_wall_ms = record.server.started_wall_ms
    is_deleted = current.value is None and server.started_wall_ms == known_wall_ms
    return server.started_wall_ms < known_wall_ms or is_deleted
