"""Hosts on a `FakeNetwork` that can be paused, killed and replaced."""

from collections.abc import Callable
from collections.abc import Iterable

from fake_network import FakeNetwork
from gypsumfield.decisions.ownership import ZoneView

HOLD_DOWN_MS = 3_000.0
TICK_MS = 100.0
UNREACHABLE_AFTER_MS = 500.0
LIST_LAG_MS = 1_000.0
PLATFORM = "platform"


class FakeHost:
    """One boot of one entry host; ``backlog`` holds its calls during a pause."""

    def __init__(self, fleet: "FakeFleet", host_id: str, boot_id: str):
        self.fleet = fleet
        self.network = fleet.network
        self.host_id = host_id
        self.zone = zone_of(host_id)
        self.boot_id = boot_id
        self.is_running = True
        self.backlog: list[Callable[[], None]] | None = None
        self.last_contact_ms = {host_id: fleet.network.now_ms}
        self.listed: frozenset[str] = frozenset()
        self.ever_seen: set[str] = set()
        self.list_contact_ms = float("-inf")

    def run(self, function: Callable[[], None]) -> None:
        """Run ``function`` now, or when the process resumes if it is paused."""
        if not self.is_running:
            return
        if self.backlog is not None:
            self.backlog.append(function)
        else:
            function()

    def later(self, delay_ms: float, function: Callable[[], None]) -> None:
        self.network.call_at(self.network.now_ms + delay_ms, lambda: self.run(function))


class FakeFleet:
    """Hosts, a platform list that lags, and which hosts reach each other.

    A host removes another one only when a recent list lacks it and it is
    unreachable. A host is confirmed by a recent list that contains it, or by all
    peers of its zone; if it has no record of a peer there, by a host of another
    zone that it reaches.
    """

    hold_down_ms = HOLD_DOWN_MS

    def __init__(self, seed: int = 0):
        self.network = FakeNetwork(seed)
        self.hosts: dict[str, FakeHost] = {}
        self._boots = 0
        self._seen_ms: dict[str, float] = {}

    def next_boot_id(self, host_id: str) -> str:
        """Return the name of a new boot, and end the previous boot of the host."""
        if host_id in self.hosts:
            self.hosts[host_id].is_running = False
        self._boots += 1
        return f"{host_id}/{self._boots}"

    def kill_host(self, host_id: str) -> None:
        self.hosts.pop(host_id).is_running = False
        self.network.detach(host_id)

    def pause_host(self, host_id: str) -> None:
        host = self.hosts[host_id]
        host.backlog = host.backlog if host.backlog is not None else []

    def wake_host(self, host_id: str) -> None:
        host = self.hosts[host_id]
        backlog, host.backlog = host.backlog or [], None
        for function in backlog:
            host.run(function)

    def update_reachability(self, host: FakeHost) -> None:
        """Record which peers a host reaches, and the platform's list if it reaches it.

        Called by the host at every tick.
        """
        now_ms = self.network.now_ms
        for other in self.hosts.values():
            is_responsive = other.backlog is None
            if is_responsive and self.network.is_connected(host.host_id, other.host_id):
                host.last_contact_ms[other.host_id] = now_ms
        if not self.network.is_connected(host.host_id, PLATFORM):
            return
        self._seen_ms[host.host_id] = now_ms
        host.list_contact_ms = now_ms
        host.listed = frozenset(
            name
            for name, seen_ms in self._seen_ms.items()
            if now_ms - seen_ms < LIST_LAG_MS
        )

    def reachable_hosts(self, host: FakeHost, zone: str) -> frozenset[str]:
        now_ms = self.network.now_ms
        return frozenset(
            name
            for name, last_contact_ms in host.last_contact_ms.items()
            if zone_of(name) == zone and now_ms - last_contact_ms < UNREACHABLE_AFTER_MS
        )

    def zone_view(self, host: FakeHost) -> ZoneView:
        """Return the view of its zone that the host derives from its records."""
        return self.view_of_zones(host, [host.zone])

    def view_of_zones(self, host: FakeHost, zones: Iterable[str]) -> ZoneView:
        now_ms = self.network.now_ms
        has_list = now_ms - host.list_contact_ms < UNREACHABLE_AFTER_MS
        if has_list:
            for name in host.last_contact_ms.keys() - host.listed - {host.host_id}:
                if now_ms - host.last_contact_ms[name] >= UNREACHABLE_AFTER_MS:
                    del host.last_contact_ms[name]
        host.ever_seen |= {*host.last_contact_ms, *host.listed}
        recorded = {*host.last_contact_ms, *host.listed}
        if not has_list:
            # A host that an earlier list lacked may be back, unreachable for this one.
            recorded |= host.ever_seen
        peers = frozenset(name for name in recorded if zone_of(name) in zones)
        reachable = frozenset().union(
            *(self.reachable_hosts(host, zone) for zone in zones)
        )
        is_listed = has_list and host.host_id in host.listed
        if peers <= {host.host_id}:
            # A host without peers in its zone can only be confirmed by another zone.
            is_confirmed_by_host = any(
                zone_of(name) not in zones
                and now_ms - last_contact_ms < UNREACHABLE_AFTER_MS
                for name, last_contact_ms in host.last_contact_ms.items()
            )
        else:
            is_confirmed_by_host = peers <= reachable
        is_confirmed = is_listed or is_confirmed_by_host
        return ZoneView(peers, is_confirmed=is_confirmed)


def zone_of(host_id: str) -> str:
    return host_id.split("-")[0]
