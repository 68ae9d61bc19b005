"""Roles of the hosts of a fleet: store watchers, run counters and delegates.

They limit messages in fleets of a hundred hosts, where it would cost too much if every
host watched the store and sent every run to every other host. Each host derives the
roles from the hosts that it receives messages from. A role grants no exclusive right:
when two hosts have the same role for a while, a few messages are sent twice.
"""

import functools
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from gypsumfield.decisions.ownership import owner_of
from gypsumfield.decisions.ownership import rank_hosts
from gypsumfield.decisions.ownership import score_of

# Up to this size every host immediately receives an update of every run.
SMALL_FLEET_HOSTS = 12
# Two watchers in a zone, so that the loss of one host delays no change.
WATCHERS_PER_ZONE = 2


def is_large_fleet(host_count: int) -> bool:
    """Return whether updates between hosts are too old to base placement on them alone.

    Hosts of a large fleet compare a few random engines and reserve memory at the
    engine before each stream. In a small fleet every host learns of every run within
    20 ms; a reservation there would cost more time than it saves.
    """
    return host_count > SMALL_FLEET_HOSTS


def is_store_watcher(host_id: str, zones: Mapping[str, str]) -> bool:
    """Return whether a host of a small fleet watches the store for its zone.

    Args:
        host_id: Id of the host.
        zones: Availability zone by host id, for all responsive hosts.
    """
    zone = zones[host_id]
    hosts = [host for host, host_zone in zones.items() if host_zone == zone]
    return host_id in rank_hosts(f"store watch {zone}", hosts)[:WATCHERS_PER_ZONE]


def select_counting_host(server_id: str, zone: str, zones: Mapping[str, str]) -> str:
    """Return the host of a small fleet that counts the runs of an engine.

    Args:
        server_id: Backend server id of the engine.
        zone: Availability zone of the engine; the hosts of this zone are preferred.
        zones: Availability zone by host id, for all responsive hosts.
    """
    local_hosts = [host for host, host_zone in zones.items() if host_zone == zone]
    return owner_of(server_id, local_hosts or zones) or ""


# The first delegate of a zone represents it, the second one is its standby.
DELEGATES_PER_ZONE = 2
# Number of zones whose delegates watch the store and send changes to other zones.
WATCHING_ZONE_COUNT = 2


class HostRank(NamedTuple):
    """Values by which the hosts of a zone are ranked as its delegates.

    Attributes:
        host_id: Id of the host.
        availability_zone: Zone of the host.
        capacity: Capacity for work other than serving calls: the smaller of its
            processor share, in hundredths of a standard core, and its link rate in
            Mbit/s. Hosts with more of it rank first.
    """

    host_id: str
    availability_zone: str
    capacity: int


def rank_delegates(hosts: Iterable[HostRank]) -> list[str]:
    """Return the ids of one zone's hosts, the best delegate first.

    The order of two hosts depends on these two alone, so hosts with records of
    different hosts still agree on the order of the hosts that they both know.
    """
    ranked = sorted(hosts, key=_delegate_key, reverse=True)
    return [host.host_id for host in ranked]


# The same hosts are ranked again whenever a host joins or leaves.
@functools.lru_cache(maxsize=2_048)
def _delegate_key(host: HostRank) -> tuple[int, tuple[int, str]]:
    return host.capacity, score_of(f"delegate {host.availability_zone}", host.host_id)


def select_watching_zones(zones: Iterable[str]) -> list[str]:
    """Return the zones whose delegates watch the store, out of the zones given."""
    return rank_hosts("store watch", zones)[:WATCHING_ZONE_COUNT]


def lowest_cold_score(
    server_id: str, hosts: Collection[str], bound_per_s: int
) -> tuple[int, str] | None:
    """Return the lowest score with which a host may send to a cold server.

    Only half of the bound is distributed, one request per second to each host. Two
    delegates that have no record of each other thus stay within the bound together.

    Args:
        server_id: Id of the cold server.
        hosts: Hosts of its zone.
        bound_per_s: Requests per second that the server accepts from all hosts.

    Returns:
        The score, or None when the bound is too small for one host.
    """
    sender_count = min(len(hosts), bound_per_s // 2)
    if sender_count < 1:
        return None
    return sorted((score_of(server_id, host) for host in hosts), reverse=True)[
        sender_count - 1
    ]


# While no host of a large fleet sends changes, each host tries to reach the store only
# in its own time slot, one of this many. Together the hosts find one that the store
# answers, and an unreachable store does not get requests from every host at once.
STORE_SLOTS = 16
STORE_SLOT_MS = 400.0


def is_store_slot(host_id: str, now_ms: float) -> bool:
    """Return whether a host that receives no changes may try the store now.

    Clocks need not agree: clocks that differ spread the hosts just as well.
    """
    host_slot = score_of("store slot", host_id)[0] % STORE_SLOTS
    return int(now_ms / STORE_SLOT_MS) % STORE_SLOTS == host_slot
