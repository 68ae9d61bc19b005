"""Pulls published items from a peer that is ahead of this host."""

import random
from collections.abc import Callable
from typing import NamedTuple

import gevent

from gypsumfield.aborts import AbortHandle
from gypsumfield.adapters.backends import Exchange
from gypsumfield.adapters.backends import ExchangeTimeouts
from gypsumfield.adapters.outgoing_requests import OutgoingRequest
from gypsumfield.clock import Clock
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import InvalidDataError
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.events import PullFailed
from gypsumfield.gateway.events import ViewPulled
from gypsumfield.gateway.host_updates import decode_view
from gypsumfield.gateway.host_updates import encode_view
from gypsumfield.gateway.host_updates import MAX_VIEW_BYTES
from gypsumfield.gateway.host_updates import View
from gypsumfield.gateway.host_updates import WireItem
from gypsumfield.gateway.part_guard import PartGuard
from gypsumfield.gateway.published_items import era_of
from gypsumfield.gateway.published_items import StoreItem
from gypsumfield.interfaces import EmitEvent

# A watch delivers within a few ms; a peer that is ahead for longer shows that the watch
# of this host is late or broken.
LAG_TOLERANCE_MS = 250.0
# A large configuration takes a second or two on the smallest links.
PULL_TIMEOUTS = ExchangeTimeouts(
    connect_ms=300, answer_ms=1_000, body_idle_ms=1_000, total_ms=4_000
)
# Hosts of a large fleet's zone pull from the same delegate: spread over this time,
# their pulls don't saturate its link.
LARGE_FLEET_PULL_SPREAD_MS = 150.0
VIEW_PATH = "/view"
_ID_HEADER = "X-Call-Id"


class PullDependencies(NamedTuple):
    """Dependencies of `ViewPull`.

    Attributes:
        catalogue: The published view.
        part_guard: Evidence on prompts, which a host needs before its first request.
        peer_port: Port on which hosts serve their view.
        on_pulled: Called after each pull, because this host's watch was behind a peer.
        is_large_fleet: Whether many hosts pull from the same one.
        rng: Spreads the pulls of a large fleet.
        clock: Monotonic clock, also used to sleep.
        emit: Writes an event to the log.
    """

    catalogue: Catalogue
    part_guard: PartGuard
    peer_port: int
    on_pulled: Callable[[], None]
    is_large_fleet: Callable[[], bool]
    rng: random.Random
    clock: Clock
    emit: EmitEvent


class ViewPull:
    """Compares the revision of this host with its peers' and pulls what is missing."""

    def __init__(self, deps: PullDependencies) -> None:
        self._deps = deps
        self._highest_peer_revision = 0
        self._behind_since_ms: float | None = None
        self._is_pulling = False

    def pull_if_behind(
        self, host_id: str, ip: str, revision: int, is_relying_on_peers: bool
    ) -> None:
        """Pull the view of a peer that is ahead, at once or after the tolerance.

        Args:
            host_id: The peer.
            ip: Its address.
            revision: Revision up to which its view is complete.
            is_relying_on_peers: Whether this host receives changes only from its peers.
        """
        catalogue = self._deps.catalogue
        now_ms = self._deps.clock.monotonic_ms()
        self._highest_peer_revision = max(self._highest_peer_revision, revision)
        if catalogue.revision >= self._highest_peer_revision:
            self._behind_since_ms = None
            return
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        must_pull = is_relying_on_peers or catalogue.publication is None
        is_late = now_ms - self._behind_since_ms >= LAG_TOLERANCE_MS
        is_ahead = revision > catalogue.revision
        if is_ahead and (must_pull or is_late) and not self._is_pulling:
            self._is_pulling = True
            is_restored = era_of(revision) > era_of(catalogue.revision)
            gevent.spawn(self._pull, host_id, ip, 0 if is_restored else None)

    def encode_view(self, after_revision: int) -> bytes:
        """Return the items that changed after a revision, encoded for a peer."""
        catalogue = self._deps.catalogue
        items = [WireItem(*item) for item in catalogue.items_after(after_revision)]
        guard = self._deps.part_guard
        changed, unchanged = guard.evidence.to_pass_on(self._deps.clock.monotonic_ms())
        parts = guard.wire_parts([*changed, *unchanged])
        return encode_view(View(catalogue.revision, items, parts))

    def _pull(self, host_id: str, ip: str, after_revision: int | None) -> None:
        """Pull what is missing, or all that changed after a revision, from a peer."""
        if self._deps.is_large_fleet():
            spread_ms = self._deps.rng.uniform(0.0, LARGE_FLEET_PULL_SPREAD_MS)
            self._deps.clock.sleep_ms(spread_ms)
        try:
            if after_revision is None:
                after_revision = self._deps.catalogue.revision
            view = self._fetch(ip, after_revision)
        except (BackendError, InvalidDataError) as error:
            # The next update starts another attempt, with this or another peer.
            self._deps.emit(PullFailed(peer=host_id, reason=str(error)))
            return
        finally:
            self._is_pulling = False
        items = [StoreItem(item.key, item.revision, item.value) for item in view.items]
        self._deps.emit(
            ViewPulled(peer=host_id, item_count=len(items), revision=view.revision)
        )
        self._deps.part_guard.store_parts(view.parts, f"peer {host_id}")
        catalogue, source = self._deps.catalogue, f"peer {host_id}"
        apply = catalogue.apply if after_revision else catalogue.replace
        apply(items, view.revision, source)
        self._deps.on_pulled()

    def _fetch(self, ip: str, after_revision: int) -> View:
        target = f"{VIEW_PATH}?after={after_revision}"
        address = f"{ip}:{self._deps.peer_port}"
        request = OutgoingRequest(
            address, "GET", target, {}, b"", "", _ID_HEADER, must_echo_id=False
        )
        exchange = Exchange(request, PULL_TIMEOUTS, AbortHandle())
        try:
            exchange.open(lambda: "")
            return decode_view(exchange.read_body(MAX_VIEW_BYTES))
        finally:
            exchange.close()
