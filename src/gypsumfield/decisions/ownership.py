"""Which entry host owns a resource of its zone, and since when it may act.

Rendezvous hashing names one owner among the entry hosts of a zone. Hosts see
different memberships for a while, so a host acts as owner only after the
hold-down: every earlier owner has noticed by then that it was replaced, and
every lease that it granted has run out.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

HOLD_DOWN_MS = 6_000.0
PAUSE_LIMIT_MS = 2_000.0


class ZoneView(NamedTuple):
    """Entry hosts of one zone, as membership sees them now.

    Attributes:
        hosts: Every host that may be alive, this one included. A host joins
            this view as soon as anybody hears of it.
        is_confirmed: Whether no other host can have dropped this one; false
            on a host that is cut off from the platform and from a peer.
    """

    hosts: frozenset[str]
    is_confirmed: bool = True


def owner_of(resource: str, hosts: Iterable[str]) -> str | None:
    """Return the owner of ``resource`` among ``hosts``, or None without hosts."""
    return max(hosts, key=lambda host: _score(resource, host), default=None)


def rank_hosts(resource: str, hosts: Iterable[str]) -> list[str]:
    """Return ``hosts`` in the order in which they would own ``resource``."""
    return sorted(hosts, key=lambda host: _score(resource, host), reverse=True)


def _score(resource: str, host: str) -> tuple[int, str]:
    # The name breaks a tie, so that every host breaks it alike.
    return xxhash.xxh3_64_intdigest(f"{resource}\0{host}".encode()), host


class Ownership:
    """Decides which resources one host may act for.

    A host that starts, that was paused or that was unconfirmed waits out the
    hold-down as if it were new.

    Args:
        host_id: The host that asks.
        now_ms: Monotonic time of its start.
        hold_down_ms: Wait before ownership grows.

    Attributes:
        unchanged_since_ms: Since when this host has owned the same resources.
    """

    def __init__(
        self, host_id: str, now_ms: float, hold_down_ms: float = HOLD_DOWN_MS
    ) -> None:
        self.host_id = host_id
        self.unchanged_since_ms = now_ms
        self._hold_down_ms = hold_down_ms
        self._hosts: frozenset[str] = frozenset({host_id})
        self._departed_at_ms: dict[str, float] = {}
        self._updated_at_ms = now_ms
        self._ready_at_ms = now_ms + hold_down_ms

    def update(self, view: ZoneView, now_ms: float) -> bool:
        """Take over a new view; to be called at every tick of the control loop.

        Returns:
            Whether the host starts anew, so that its holdings are void.
        """
        starts_anew = not view.is_confirmed or self.is_paused(now_ms)
        if starts_anew:
            self._ready_at_ms = now_ms + self._hold_down_ms
        rivals_before = self._rivals()
        for host in self._hosts - view.hosts:
            self._departed_at_ms[host] = now_ms
        for host in view.hosts:
            self._departed_at_ms.pop(host, None)
        self._forget_departed(now_ms)
        self._hosts = view.hosts
        was_ready = self._updated_at_ms >= self._ready_at_ms
        is_ready = now_ms >= self._ready_at_ms
        if not is_ready or not was_ready or self._rivals() != rivals_before:
            self.unchanged_since_ms = now_ms
        self._updated_at_ms = now_ms
        return starts_anew

    def is_paused(self, now_ms: float) -> bool:
        """Return whether the last update is too old to be relied on."""
        return now_ms - self._updated_at_ms > PAUSE_LIMIT_MS

    def owns(self, resource: str, now_ms: float) -> bool:
        """Return whether this host may act as owner of ``resource`` now."""
        if self._updated_at_ms < self._ready_at_ms or self.is_paused(now_ms):
            return False
        return owner_of(resource, self._rivals()) == self.host_id

    def current_owner(self, resource: str) -> str | None:
        """Return the host to ask for ``resource``; it may still be waiting."""
        return owner_of(resource, self._hosts)

    def wait_ms(self, resource: str, now_ms: float) -> float:
        """Return how long this host must still wait to own ``resource``.

        The answer is an estimate for a refused caller; 0 when nothing but the
        order of the hosts keeps this one from owning it.
        """
        waits = [self._ready_at_ms - now_ms]
        own_score = _score(resource, self.host_id)
        for host, departed_at_ms in self._departed_at_ms.items():
            if _score(resource, host) > own_score:
                waits.append(departed_at_ms + self._hold_down_ms - now_ms)
        return max(0.0, *waits)

    def _rivals(self) -> frozenset[str]:
        return self._hosts.union(self._departed_at_ms)

    def _forget_departed(self, now_ms: float) -> None:
        self._departed_at_ms = {
            host: departed_at_ms
            for host, departed_at_ms in self._departed_at_ms.items()
            if now_ms - departed_at_ms < self._hold_down_ms
        }
