"""All stand-ins of a small fleet in one process: platform, engines, ledgers."""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

import gevent
import msgspec

from gypsumfield.clock import MS_PER_S
from gypsumfield.platform_api import Member
from gypsumfield.standins.engine import EngineSettings
from gypsumfield.standins.engine import EngineStandin
from gypsumfield.standins.engine_model import EngineModelSettings
from gypsumfield.standins.plain import PlainStandin
from gypsumfield.standins.platform import PlatformSettings
from gypsumfield.standins.platform import PlatformStandin
from gypsumfield.standins.sample import MODEL_SERVICE
from gypsumfield.standins.sample import PLAIN_SERVICE
from gypsumfield.standins.sample import sample_values
from gypsumfield.standins.sample import zone_names

# An engine that restarts is cold again for this long.
COLD_START_MS = 5_000.0


class FleetPlan(NamedTuple):
    """Size of the fleet.

    Attributes:
        zone_count: Availability zones.
        engines_per_zone: Engines in each zone.
        ledgers_per_zone: Ledgers in each zone.
        seed: Seed of keys, secrets and output lengths.
        platform_port: Port of the platform; 0 lets the system choose.
        engine: Size and speed of every engine.
        membership_lag_ms: How long the platform takes to see a changed boot.
        values: Published values that replace or join the sample's.
    """

    zone_count: int = 4
    engines_per_zone: int = 2
    ledgers_per_zone: int = 1
    seed: int = 0
    platform_port: int = 0
    engine: EngineModelSettings = EngineModelSettings(cold_duration_ms=COLD_START_MS)
    membership_lag_ms: float = 2_000.0
    values: dict[str, Any] = {}


class BackendStandin(NamedTuple):
    """One backend server of the fleet."""

    host_id: str
    availability_zone: str
    service: str
    standin: EngineStandin | PlainStandin

    def as_member(self) -> Member:
        """Return what the platform's list says of it."""
        return Member(
            host_id=self.host_id,
            role="backend",
            availability_zone=self.availability_zone,
            address=self.standin.address,
            boot_id=self.standin.boot_id,
            services=(self.service,),
        )


class StandinFleet:
    """The stand-ins, and the membership list that the platform publishes."""

    def __init__(self, plan: FleetPlan) -> None:
        self._plan = plan
        self.zones = zone_names(plan.zone_count)
        self.platform = PlatformStandin(
            PlatformSettings(
                listen_port=plan.platform_port,
                values=sample_values(self.zones, plan.seed) | plan.values,
            )
        )
        self.backends = [
            backend for zone in self.zones for backend in self._build_zone(zone)
        ]
        self._entry_members: tuple[Member, ...] = ()
        self._refresher: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start every stand-in and publish the backend servers."""
        self.platform.start()
        for backend in self.backends:
            backend.standin.start()
            if isinstance(backend.standin, EngineStandin):
                # The fleet stands for one that has served for a while.
                backend.standin.end_cold_start()
        self.publish_members()
        self._refresher = gevent.spawn(self._refresh_members)

    def stop(self) -> None:
        """Stop every stand-in."""
        if self._refresher is not None:
            self._refresher.kill()
        for backend in self.backends:
            backend.standin.stop()
        self.platform.stop()

    def set_entry_members(self, members: Iterable[Member]) -> None:
        """Publish these entry hosts beside the backend servers."""
        self._entry_members = tuple(members)
        self.publish_members()

    def publish_members(self) -> None:
        """Publish all hosts as live, over what was published before."""
        backends = (backend.as_member() for backend in self.backends)
        self.platform.state.put_members((*self._entry_members, *backends))

    def _build_zone(self, zone: str) -> list[BackendStandin]:
        plan = self._plan
        settings = EngineSettings(engine=plan.engine)
        engines = [
            BackendStandin(
                f"engine-{zone}-{number}", zone, MODEL_SERVICE, EngineStandin(settings)
            )
            for number in range(1, plan.engines_per_zone + 1)
        ]
        ledgers = [
            BackendStandin(
                f"ledger-{zone}-{number}", zone, PLAIN_SERVICE, PlainStandin()
            )
            for number in range(1, plan.ledgers_per_zone + 1)
        ]
        return engines + ledgers

    def _refresh_members(self) -> None:
        """See restarts late; leave all else to whoever published the list."""
        while True:
            gevent.sleep(self._plan.membership_lag_ms / MS_PER_S)
            boot_ids = {
                backend.host_id: backend.standin.boot_id for backend in self.backends
            }
            published = self.platform.state.members.hosts
            seen = tuple(
                msgspec.structs.replace(
                    host, boot_id=boot_ids.get(host.host_id, host.boot_id)
                )
                for host in published
            )
            if seen != published:
                self.platform.state.put_members(seen)
