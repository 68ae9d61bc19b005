"""Complete small fleet of stand-ins and entry hosts in one process."""

from collections.abc import Callable
from functools import partial
from typing import Any
from typing import NamedTuple

import msgspec
from geventhttpclient import HTTPClient

from gypsumfield.adapters.logs import open_event_log
from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.composition import build_entry_host
from gypsumfield.entry_host import EntryHost
from gypsumfield.exceptions import GypsumfieldError
from gypsumfield.interfaces import discard_event
from gypsumfield.interfaces import EmitEvent
from gypsumfield.platform_api import Member
from gypsumfield.settings import EntrySettings
from gypsumfield.standins.fleet import FleetPlan
from gypsumfield.standins.fleet import StandinFleet
from gypsumfield.standins.sample_configuration import sample_accounts
from gypsumfield.standins.sample_configuration import SampleAccount
from gypsumfield.standins.sample_configuration import SERVICE_KINDS
from gypsumfield.standins.sample_configuration import zone_names

READY_TIMEOUT_MS = 20_000.0
READY_CHECK_INTERVAL_MS = 20.0
NO_LOG = ""
# A share is a sum of many fractions, so all shares add up only approximately to 1.
MIN_SHARE_SUM = 0.999
# Shorter than the defaults, so that the fleet is ready sooner.
HOLD_DOWN_MS = 3_000.0
LEASE_MS = 900.0


class LocalPlan(NamedTuple):
    """Options of a local fleet.

    Attributes:
        entry_host_count: Number of entry hosts, assigned to the zones in turn.
        stand_ins: Options of the stand-ins behind the entry hosts.
        first_entry_port: Port of the first entry host. The other hosts use the
            next higher ports. 0 lets the system choose all ports.
        log_path: File for the JSON lines of all entry hosts. ``-`` is standard
            error, and an empty string turns the log off.
        drain_notice_ms: Time for which a draining host accepts new connections.
    """

    entry_host_count: int = 4
    stand_ins: FleetPlan = FleetPlan()
    first_entry_port: int = 0
    log_path: str = NO_LOG
    drain_notice_ms: float = 200.0


class EntryHostEntry(msgspec.Struct, frozen=True):
    """One entry host in the ready line."""

    host_id: str
    availability_zone: str
    url: str


class BackendServerEntry(msgspec.Struct, frozen=True):
    """One backend server in the ready line."""

    host_id: str
    availability_zone: str
    url: str
    service: str


class LocalReadyLine(msgspec.Struct, frozen=True):
    """Line that the local program prints when every entry host is ready."""

    ready: bool
    platform: str
    entry_hosts: list[EntryHostEntry]
    backend_servers: list[BackendServerEntry]
    client_accounts: dict[str, SampleAccount]
    services: dict[str, str]


class _StartedHost(NamedTuple):
    settings: EntrySettings
    host: EntryHost
    url: str


class LocalFleet:
    """Stand-ins and entry hosts that are started and stopped together.

    Args:
        plan: Options of the fleet.
        clock: Clock of all entry hosts.
    """

    def __init__(self, plan: LocalPlan, clock: Clock) -> None:
        self._plan = plan
        self._clock = clock
        self.stand_ins = StandinFleet(_mark_zones_without_hosts(plan))
        self._hosts: list[_StartedHost] = []

    def start(self) -> LocalReadyLine:
        """Start the stand-ins and entry hosts and wait until every host is ready.

        Returns:
            Addresses and accounts of the fleet.

        Raises:
            GypsumfieldError: A host was not ready, or the shares were incomplete, after
                `READY_TIMEOUT_MS`.
        """
        self.stand_ins.start()
        for number in range(self._plan.entry_host_count):
            self._hosts.append(self._start_host(number))
        self.stand_ins.set_entry_members(map(_to_member, self._hosts))
        for started in self._hosts:
            self._wait_until(partial(self._is_ready, started))
        self._wait_until(self._are_shares_complete)
        self._wait_for_burst_tokens()
        return self._ready_line()

    @property
    def entry_hosts(self) -> list[EntryHost]:
        """The entry hosts. The caller must drain them before `stop`."""
        return [started.host for started in self._hosts]

    def stop(self) -> None:
        """Stop the stand-ins, after the entry hosts were drained."""
        self.stand_ins.stop()

    def _start_host(self, number: int) -> _StartedHost:
        plan = self._plan
        zones = self.stand_ins.zones
        zone = zones[number % len(zones)]
        settings = EntrySettings(
            host_id=f"entry-{zone}-{number // len(zones) + 1}",
            availability_zone=zone,
            platform_url=self.stand_ins.platform.url,
            listen_port=plan.first_entry_port + number if plan.first_entry_port else 0,
            log_path=plan.log_path,
            drain_notice_ms=plan.drain_notice_ms,
            hold_down_ms=HOLD_DOWN_MS,
            lease_ms=LEASE_MS,
            seed=plan.stand_ins.seed * 1_000 + number,
        )
        host = build_entry_host(settings, self._clock, self._open_log(settings))
        return _StartedHost(settings, host, host.start())

    def _open_log(self, settings: EntrySettings) -> EmitEvent:
        if not settings.log_path:
            return discard_event
        return open_event_log(
            settings.host_id,
            settings.availability_zone,
            settings.log_path,
            self._clock,
        )

    def _wait_until(self, condition: Callable[[], bool]) -> None:
        deadline_ms = self._clock.monotonic_ms() + READY_TIMEOUT_MS
        while not condition():
            if self._clock.monotonic_ms() > deadline_ms:
                raise GypsumfieldError("timeout: the entry hosts are not ready")
            self._clock.sleep_ms(READY_CHECK_INTERVAL_MS)

    def _is_ready(self, started: _StartedHost) -> bool:
        """Return whether a host is ready and has all other hosts in its member list."""
        client = HTTPClient.from_url(started.url)
        try:
            if client.get("/readyz").status_code != 200:
                return False
        finally:
            client.close()
        zones = self._read_status(started)["members"].values()
        members = {host for zone in zones for host in zone}
        return all(other.settings.host_id in members for other in self._hosts)

    def _are_shares_complete(self) -> bool:
        """Return whether all hosts together hold the whole rate of every account."""
        shares = [self._read_status(started)["shares"] for started in self._hosts]
        return all(
            sum(host_shares[account] for host_shares in shares) > MIN_SHARE_SUM
            for account in sample_accounts(self._plan.stand_ins.seed)
        )

    def _read_status(self, started: _StartedHost) -> Any:
        client = HTTPClient.from_url(started.url)
        try:
            return msgspec.json.decode(client.get("/statusz").read())
        finally:
            client.close()

    def _wait_for_burst_tokens(self) -> None:
        """Wait until each account can use its burst; token buckets start empty."""
        accounts = sample_accounts(self._plan.stand_ins.seed).values()
        refill_s = max(account.burst / account.rate_per_s for account in accounts)
        self._clock.sleep_ms(refill_s * MS_PER_S)

    def _ready_line(self) -> LocalReadyLine:
        return LocalReadyLine(
            ready=True,
            platform=self.stand_ins.platform.url,
            entry_hosts=[
                EntryHostEntry(
                    started.settings.host_id,
                    started.settings.availability_zone,
                    started.url,
                )
                for started in self._hosts
            ],
            backend_servers=[
                BackendServerEntry(
                    backend.host_id,
                    backend.availability_zone,
                    backend.standin.url,
                    backend.service,
                )
                for backend in self.stand_ins.backends
            ],
            client_accounts=sample_accounts(self._plan.stand_ins.seed),
            services=SERVICE_KINDS,
        )


def _mark_zones_without_hosts(plan: LocalPlan) -> FleetPlan:
    """Return the plan of the stand-ins, with zones without entry hosts marked."""
    zones_without_hosts = zone_names(plan.stand_ins.zone_count)[plan.entry_host_count :]
    values = {
        f"availability_zones/{zone}": {"status": "in", "has_entry_hosts": False}
        for zone in zones_without_hosts
    }
    return plan.stand_ins._replace(values=plan.stand_ins.values | values)


def _to_member(started: _StartedHost) -> Member:
    return Member(
        host_id=started.settings.host_id,
        role="entry",
        availability_zone=started.settings.availability_zone,
        address=started.url.removeprefix("http://"),
        boot_id=started.host.identity.boot_id,
        control_address=started.host.identity.control_address,
    )
