"""Which host of the fleet watches the store, and which one keeps count of an engine.

Load answered: fleets of a hundred hosts, where everybody watching the store and
everybody telling everybody of every run costs more than it is worth. Roles follow
from the hosts that are heard and carry no right: when two hosts take the same role
for a while, only a few messages are sent twice.
"""

import functools
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from gypsumfield.decisions.ownership import owner_of
from gypsumfield.decisions.ownership import rank_hosts
from gypsumfield.decisions.ownership import score_of

# Up to this size every host is told of every run at once.
SMALL_FLEET_HOSTS = 12
# Two watchers in a zone, so that the loss of one delays no change.
WATCHERS_PER_ZONE = 2


def is_large_fleet(host_count: int) -> bool:
    """Return whether news between hosts is too old to place by it alone.

    A large fleet compares a few random engines and reserves memory at the engine
    before each stream; a small one hears of every run within 20 ms, where asking
    costs more time than it saves.
    """
    return host_count > SMALL_FLEET_HOSTS


def is_store_watcher(host_id: str, zones: Mapping[str, str]) -> bool:
    """Return whether a host of a small fleet watches the store for its zone.

    Args:
        host_id: The host.
        zones: Availability zone by host, for all hosts that are heard.
    """
    zone = zones[host_id]
    hosts = [other for other, at in zones.items() if at == zone]
    return host_id in rank_hosts(f"store watch {zone}", hosts)[:WATCHERS_PER_ZONE]


def select_counting_host(server_id: str, zone: str, zones: Mapping[str, str]) -> str:
    """Return the host of a small fleet that keeps count of an engine's runs.

    Args:
        server_id: The engine.
        zone: Its availability zone; its own hosts go first.
        zones: Availability zone by host, for all hosts that are heard.
    """
    near = [host for host, at in zones.items() if at == zone]
    return owner_of(server_id, near or zones) or ""


# The first delegate of a zone speaks for it, the second stands by.
DELEGATES_PER_ZONE = 2
# Zones whose delegates watch the store; the other zones hear from these.
WATCHING_ZONES = 2


class HostRank(NamedTuple):
    """What decides which host speaks for its zone.

    Attributes:
        host_id: The host.
        availability_zone: Its zone.
        capacity: What it can carry beside its calls; hosts with more go first.
    """

    host_id: str
    availability_zone: str
    capacity: int


def rank_delegates(hosts: Iterable[HostRank]) -> list[str]:
    """Return the hosts of one zone in the order in which they speak for it.

    A host need not know all others: who outranks whom follows from the two alone.
    """
    ranked = sorted(hosts, key=_delegate_key, reverse=True)
    return [host.host_id for host in ranked]


# The same hosts are ranked again whenever one of them comes or goes.
@functools.lru_cache(maxsize=2_048)
def _delegate_key(host: HostRank) -> tuple[int, tuple[int, str]]:
    return host.capacity, score_of(f"delegate {host.availability_zone}", host.host_id)


def select_watching_zones(zones: Iterable[str]) -> list[str]:
    """Return the zones whose delegates watch the store, of those that are heard."""
    return rank_hosts("store watch", zones)[:WATCHING_ZONES]


def lowest_cold_score(
    server_id: str, hosts: Collection[str], bound_per_s: int
) -> tuple[int, str] | None:
    """Return the lowest score with which a host may send to a cold server.

    Half of the bound is given out, one request a second to each host, so that two
    delegates that do not know of each other stay inside it together.

    Args:
        server_id: The cold server.
        hosts: Hosts of its zone.
        bound_per_s: Requests a second that the server bears from all hosts.

    Returns:
        The score, or None when the server bears too little.
    """
    taker_count = min(len(hosts), bound_per_s // 2)
    if taker_count < 1:
        return None
    return sorted((score_of(server_id, host) for host in hosts), reverse=True)[
        taker_count - 1
    ]


# While nobody tells a large fleet of changes, each host tries the store itself in one
# of so many slots in turn: together they find a host that is served, and a store that
# is away is not asked by everybody.
STORE_SLOTS = 16
STORE_SLOT_MS = 400.0


def is_store_slot(host_id: str, now_ms: float) -> bool:
    """Return whether a host without word of changes tries the store now.

    Clocks of hosts differ, which spreads them as well as equal ones would.
    """
    own_slot = score_of("store slot", host_id)[0] % STORE_SLOTS
    return int(now_ms / STORE_SLOT_MS) % STORE_SLOTS == own_slot
