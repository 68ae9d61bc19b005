"""Which entry host owns a resource of its zone, and since when it may act.

Rendezvous hashing names one owner among the entry hosts of a zone. Hosts see
different memberships for a while, so a host acts as owner only after the
hold-down: every earlier owner has noticed by then that it was replaced, and
every lease that it granted has run out.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

HOLD_DOWN_MS = 10_000.0
PAUSE_LIMIT_MS = 2_000.0
SHORTEST_PAUSE_LIMIT_MS = 1_000.0
RELEASE_WAIT_MS = 3_000.0


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
    return max(hosts, key=lambda host: score_of(resource, host), default=None)


def rank_hosts(resource: str, hosts: Iterable[str]) -> list[str]:
    """Return ``hosts`` in the order in which they would own ``resource``."""
    return sorted(hosts, key=lambda host: score_of(resource, host), reverse=True)


def score_of(resource: str, host: str) -> tuple[int, str]:
    """Return how well a host suits a resource; the best of some hosts owns it."""
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
        release_wait_ms: Wait after a host has retired; at least a lease, and
            shorter than the hold-down.

    Attributes:
        unchanged_since_ms: Since when this host has owned the same resources.
        is_retired: Whether this host has given everything up for good.
    """

    def __init__(
        self,
        host_id: str,
        now_ms: float,
        hold_down_ms: float = HOLD_DOWN_MS,
        release_wait_ms: float = RELEASE_WAIT_MS,
    ) -> None:
        self.host_id = host_id
        self.unchanged_since_ms = now_ms
        self.is_retired = False
        self._hold_down_ms = hold_down_ms
        # A pause must be noticed well before others may have taken over.
        self._pause_limit_ms = min(
            PAUSE_LIMIT_MS, max(hold_down_ms / 2, SHORTEST_PAUSE_LIMIT_MS)
        )
        self._release_wait_ms = release_wait_ms
        self._release_end_ms = (release_wait_ms + hold_down_ms) / 2
        self._hosts: frozenset[str] = frozenset({host_id})
        self._departed_at_ms: dict[str, float] = {}
        self._released_at_ms: dict[str, float] = {}
        self._rivals = self._hosts
        self._best: dict[str, tuple[int, str]] = {}
        self._updated_at_ms = now_ms
        self._ready_at_ms = now_ms + hold_down_ms

    def retire(self) -> None:
        """Own nothing any more, because this host is about to stop."""
        self.is_retired = True

    def record_release(self, host: str, now_ms: float) -> None:
        """Learn from a host itself that it has retired.

        The others need not wait out the hold-down for it, but only until the
        leases that it granted are reported to its successors. Later it counts
        again: a new boot of it may own something by then.
        """
        self._released_at_ms[host] = now_ms

    def update(self, view: ZoneView, now_ms: float) -> bool:
        """Take over a new view; to be called at every tick of the control loop.

        Returns:
            Whether the host starts anew, so that its holdings are void.
        """
        starts_anew = not view.is_confirmed or self.is_paused(now_ms)
        if starts_anew:
            self._ready_at_ms = now_ms + self._hold_down_ms
        self._follow_hosts(view.hosts, now_ms)
        was_ready = self._updated_at_ms >= self._ready_at_ms
        is_ready = now_ms >= self._ready_at_ms
        rivals_before, self._rivals = self._rivals, self._find_rivals(now_ms)
        if not is_ready or not was_ready or self._rivals != rivals_before:
            self.unchanged_since_ms = now_ms
            self._follow_rivals(
                self._rivals - rivals_before, rivals_before - self._rivals
            )
        self._updated_at_ms = now_ms
        return starts_anew

    def _follow_hosts(self, hosts: frozenset[str], now_ms: float) -> None:
        for host in self._hosts - hosts:
            if not self._is_released(host, now_ms):
                self._departed_at_ms[host] = now_ms
        for host in hosts:
            self._departed_at_ms.pop(host, None)
        self._forget_departed(now_ms)
        self._hosts = hosts

    def _find_rivals(self, now_ms: float) -> frozenset[str]:
        released = frozenset(
            host for host in self._released_at_ms if self._is_released(host, now_ms)
        )
        waited = frozenset(
            host
            for host in released
            if now_ms - self._released_at_ms[host] >= self._release_wait_ms
        )
        return (self._hosts | released).union(self._departed_at_ms) - waited

    def _is_released(self, host: str, now_ms: float) -> bool:
        released_at_ms = self._released_at_ms.get(host)
        if released_at_ms is None:
            return False
        return now_ms - released_at_ms < self._release_end_ms

    def is_paused(self, now_ms: float) -> bool:
        """Return whether the last update is too old to be relied on."""
        return now_ms - self._updated_at_ms > self._pause_limit_ms

    def owns(self, resource: str, now_ms: float) -> bool:
        """Return whether this host may act as owner of ``resource`` now."""
        if self._updated_at_ms < self._ready_at_ms or self.is_paused(now_ms):
            return False
        if self.is_retired:
            return False
        best = self._best.get(resource)
        if best is None:
            best = max(score_of(resource, host) for host in self._rivals)
            self._best[resource] = best
        return best[1] == self.host_id

    def current_owner(self, resource: str) -> str | None:
        """Return the host to ask for ``resource``; it may still be waiting."""
        return owner_of(resource, self._hosts)

    def wait_ms(self, resource: str, now_ms: float) -> float:
        """Return how long this host must still wait to own ``resource``.

        The answer is an estimate for a refused caller; 0 when nothing but the
        order of the hosts keeps this one from owning it.
        """
        waits = [self._ready_at_ms - now_ms]
        own_score = score_of(resource, self.host_id)
        for host, departed_at_ms in self._departed_at_ms.items():
            if score_of(resource, host) > own_score:
                waits.append(departed_at_ms + self._hold_down_ms - now_ms)
        return max(0.0, *waits)

    def _follow_rivals(self, joined: frozenset[str], gone: frozenset[str]) -> None:
        """Judge again only what a host that joined or went can have changed."""
        for resource, best in list(self._best.items()):
            if best[1] in gone:
                del self._best[resource]
            elif joined:
                scores = (score_of(resource, host) for host in joined)
                self._best[resource] = max(best, *scores)

    def _forget_departed(self, now_ms: float) -> None:
        self._departed_at_ms = {
            host: departed_at_ms
            for host, departed_at_ms in self._departed_at_ms.items()
            if now_ms - departed_at_ms < self._hold_down_ms
        }
