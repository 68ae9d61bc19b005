"""Which host of the fleet watches the store, and which one keeps count of an engine.

Load answered: fleets of a hundred hosts, where everybody watching the store and
everybody telling everybody of every run costs more than it is worth. Roles follow
from the hosts that are heard and carry no right: when two hosts take the same role
for a while, only a few messages are sent twice.
"""

from collections.abc import Mapping

from gypsumfield.decisions.ownership import owner_of
from gypsumfield.decisions.ownership import rank_hosts

# Up to this size every host is told of every run at once.
SMALL_FLEET_HOSTS = 12
# Two watchers in a zone, so that the loss of one delays no change.
WATCHERS_PER_ZONE = 2
# Each call to the store is paid for: with many hosts in a zone the loss of its
# watcher is rare beside the changes, and is made good within two seconds.
WATCHERS_PER_LARGE_ZONE = 1


def is_large_fleet(host_count: int) -> bool:
    """Return whether news between hosts is too old to place by it alone.

    A large fleet compares a few random engines and reserves memory at the engine
    before each stream; a small one hears of every run within 20 ms, where asking
    costs more time than it saves.
    """
    return host_count > SMALL_FLEET_HOSTS


def is_store_watcher(host_id: str, zones: Mapping[str, str]) -> bool:
    """Return whether a host watches the store for its zone.

    Args:
        host_id: The host.
        zones: Availability zone by host, for all hosts that are heard.
    """
    zone = zones[host_id]
    hosts = [other for other, at in zones.items() if at == zone]
    is_large = is_large_fleet(len(zones))
    count = WATCHERS_PER_LARGE_ZONE if is_large else WATCHERS_PER_ZONE
    return host_id in rank_hosts(f"store watch {zone}", hosts)[:count]


def counting_host(server_id: str, zone: str, zones: Mapping[str, str]) -> str:
    """Return the host that keeps count of an engine's runs.

    Args:
        server_id: The engine.
        zone: Its availability zone; its own hosts go first.
        zones: Availability zone by host, for all hosts that are heard.
    """
    near = [host for host, at in zones.items() if at == zone]
    return owner_of(server_id, near or zones) or ""


def is_near(host_id: str, other: str, zones: Mapping[str, str]) -> bool:
    """Return whether two hosts tell each other news at once."""
    if not is_large_fleet(len(zones)):
        return True
    return zones.get(host_id) == zones.get(other)
