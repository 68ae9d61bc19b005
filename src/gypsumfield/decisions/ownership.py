"""Ownership of resources by entry hosts of a zone, and when an owner may act.

Rendezvous hashing assigns each resource to one of the entry hosts of a zone.
After a membership change hosts have different views for a while, so a new owner
acts only after the hold-down: by then every earlier owner has noticed that it
was replaced, and every lease that it granted has expired.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

HOLD_DOWN_MS = 10_000.0
PAUSE_LIMIT_MS = 2_000.0
MIN_PAUSE_LIMIT_MS = 1_000.0
RELEASE_WAIT_MS = 3_000.0


class ZoneView(NamedTuple):
    """Entry hosts of one zone in the current membership.

    Attributes:
        hosts: Every host that may be alive, this one included. A host joins
            this view with the first report of it.
        is_confirmed: Whether no other host can have removed this one from its
            view; false on a host that reaches neither the platform nor enough
            peers.
    """

    hosts: frozenset[str]
    is_confirmed: bool = True


def owner_of(resource: str, hosts: Iterable[str]) -> str | None:
    """Return the owner of ``resource`` among ``hosts``, or None if there are none."""
    return max(hosts, key=lambda host: score_of(resource, host), default=None)


def rank_hosts(resource: str, hosts: Iterable[str]) -> list[str]:
    """Return ``hosts`` by descending score: the first one owns ``resource``."""
    return sorted(hosts, key=lambda host: score_of(resource, host), reverse=True)


def score_of(resource: str, host: str) -> tuple[int, str]:
    """Return the rendezvous score; the host with the highest score is the owner."""
    # The name breaks ties in the same way on every host.
    return xxhash.xxh3_64_intdigest(f"{resource}\0{host}".encode()), host


class Ownership:
    """Decides for which resources one host may act as owner.

    A host that was paused or unconfirmed waits for the hold-down like one that
    has just started.

    Args:
        host_id: Id of this host.
        now_ms: Monotonic time of its start.
        hold_down_ms: Wait before this host may act for further resources.
        release_wait_ms: Wait after another host has retired; at least the
            duration of a lease, and shorter than the hold-down.

    Attributes:
        unchanged_since_ms: Since when this host has owned the same resources.
        is_retired: Whether this host has released all its resources for good.
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
        # A host must notice its own pause well before others may take over.
        self._pause_limit_ms = min(
            PAUSE_LIMIT_MS, max(hold_down_ms / 2, MIN_PAUSE_LIMIT_MS)
        )
        self._release_wait_ms = release_wait_ms
        self._release_end_ms = (release_wait_ms + hold_down_ms) / 2
        self._hosts: frozenset[str] = frozenset({host_id})
        self._departed_at_ms: dict[str, float] = {}
        self._released_at_ms: dict[str, float] = {}
        self._candidates = self._hosts
        self._best_scores: dict[str, tuple[int, str]] = {}
        self._updated_at_ms = now_ms
        self._ready_at_ms = now_ms + hold_down_ms

    def retire(self) -> None:
        """Release all resources for good, because this host is about to stop."""
        self.is_retired = True

    def record_release(self, host: str, now_ms: float) -> None:
        """Record that a host has announced its own retirement.

        Its successors need not wait for the hold-down, only until the leases
        that it granted have been reported to them. Some time later the
        host counts again, because a new boot of it may own resources by then.
        """
        self._released_at_ms[host] = now_ms

    def update(self, view: ZoneView, now_ms: float) -> bool:
        """Adopt a new view; to be called at every tick of the control loop.

        Returns:
            Whether this host waits for the hold-down again, so that whatever it
            held as owner is void.
        """
        must_restart = not view.is_confirmed or self.is_paused(now_ms)
        if must_restart:
            self._ready_at_ms = now_ms + self._hold_down_ms
        self._update_hosts(view.hosts, now_ms)
        was_ready = self._updated_at_ms >= self._ready_at_ms
        is_ready = now_ms >= self._ready_at_ms
        previous_candidates, self._candidates = (
            self._candidates,
            self._find_candidates(now_ms),
        )
        if not is_ready or not was_ready or self._candidates != previous_candidates:
            self.unchanged_since_ms = now_ms
            self._update_best_scores(
                self._candidates - previous_candidates,
                previous_candidates - self._candidates,
            )
        self._updated_at_ms = now_ms
        return must_restart

    def _update_hosts(self, hosts: frozenset[str], now_ms: float) -> None:
        for host in self._hosts - hosts:
            if not self._is_released(host, now_ms):
                self._departed_at_ms[host] = now_ms
        for host in hosts:
            self._departed_at_ms.pop(host, None)
        self._expire_departed(now_ms)
        self._hosts = hosts

    def _find_candidates(self, now_ms: float) -> frozenset[str]:
        released = frozenset(
            host for host in self._released_at_ms if self._is_released(host, now_ms)
        )
        superseded = frozenset(
            host
            for host in released
            if now_ms - self._released_at_ms[host] >= self._release_wait_ms
        )
        return (self._hosts | released).union(self._departed_at_ms) - superseded

    def _is_released(self, host: str, now_ms: float) -> bool:
        released_at_ms = self._released_at_ms.get(host)
        if released_at_ms is None:
            return False
        return now_ms - released_at_ms < self._release_end_ms

    def is_paused(self, now_ms: float) -> bool:
        """Return whether the last update is too old, as after a process pause."""
        return now_ms - self._updated_at_ms > self._pause_limit_ms

    def owns(self, resource: str, now_ms: float) -> bool:
        """Return whether this host may act as owner of ``resource`` now."""
        if self._updated_at_ms < self._ready_at_ms or self.is_paused(now_ms):
            return False
        if self.is_retired:
            return False
        best_score = self._best_scores.get(resource)
        if best_score is None:
            best_score = max(score_of(resource, host) for host in self._candidates)
            self._best_scores[resource] = best_score
        return best_score[1] == self.host_id

    def current_owner(self, resource: str) -> str | None:
        """Return the owner of ``resource``, which may still be in its hold-down."""
        return owner_of(resource, self._hosts)

    def wait_ms(self, resource: str, now_ms: float) -> float:
        """Return how long this host must still wait to own ``resource``.

        The time is an estimate for a refused caller. It is 0 when this host does
        not own the resource only because another host has a higher score.
        """
        waits = [self._ready_at_ms - now_ms]
        own_score = score_of(resource, self.host_id)
        for host, departed_at_ms in self._departed_at_ms.items():
            if score_of(resource, host) > own_score:
                waits.append(departed_at_ms + self._hold_down_ms - now_ms)
        return max(0.0, *waits)

    def _update_best_scores(
        self, joined: frozenset[str], departed: frozenset[str]
    ) -> None:
        """Recompute only the scores that joined or departed hosts can change."""
        for resource, best_score in list(self._best_scores.items()):
            if best_score[1] in departed:
                del self._best_scores[resource]
            elif joined:
                scores = (score_of(resource, host) for host in joined)
                self._best_scores[resource] = max(best_score, *scores)

    def _expire_departed(self, now_ms: float) -> None:
        self._departed_at_ms = {
            host: departed_at_ms
            for host, departed_at_ms in self._departed_at_ms.items()
            if now_ms - departed_at_ms < self._hold_down_ms
        }
