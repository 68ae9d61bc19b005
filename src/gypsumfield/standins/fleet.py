"""Stand-ins of a small fleet in one process: platform, engines and ledgers."""

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
from gypsumfield.standins.sample_configuration import MODEL_SERVICE
from gypsumfield.standins.sample_configuration import PLAIN_SERVICE
from gypsumfield.standins.sample_configuration import sample_values
from gypsumfield.standins.sample_configuration import zone_names

# How long an engine is cold after a restart.
COLD_START_MS = 5_000.0


class FleetPlan(NamedTuple):
    """Size and settings of a stand-in fleet.

    Attributes:
        zone_count: Number of availability zones.
        engines_per_zone: Number of engines in each zone.
        ledgers_per_zone: Number of ledgers (plain services) in each zone.
        seed: Seed of the account keys and the cursor secret. `LocalFleet` also
            derives the seeds of its entry hosts from it. The seed of the output
            lengths is ``engine.seed``.
        platform_port: Port of the platform; 0 lets the operating system choose one.
        engine: Size and speed of every engine.
        membership_lag_ms: Interval at which the platform publishes new boot ids. A
            restart stays invisible there for at most this time.
        values: Published values by key, added to the sample values; they take
            precedence over a sample value with the same key.
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
    """One backend server of the fleet.

    Attributes:
        host_id: Id in the membership list.
        availability_zone: Zone of the server.
        service: Name of the only service that it serves.
        standin: The engine or plain service.
    """

    host_id: str
    availability_zone: str
    service: str
    standin: EngineStandin | PlainStandin

    def as_member(self) -> Member:
        """Return the entry of this server in the membership list."""
        return Member(
            host_id=self.host_id,
            role="backend",
            availability_zone=self.availability_zone,
            address=self.standin.address,
            boot_id=self.standin.boot_id,
            services=(self.service,),
        )


class StandinFleet:
    """A platform and backend servers, and the membership list that it publishes.

    Args:
        plan: Size and settings of the fleet.
    """

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
        self._refresh_greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start all stand-ins and publish the backend servers as members."""
        self.platform.start()
        for backend in self.backends:
            backend.standin.start()
            if isinstance(backend.standin, EngineStandin):
                # The fleet represents one that has been serving for some time.
                backend.standin.end_cold_start()
        self.publish_members()
        self._refresh_greenlet = gevent.spawn(self._refresh_boot_ids)

    def stop(self) -> None:
        """Stop all stand-ins."""
        if self._refresh_greenlet is not None:
            self._refresh_greenlet.kill()
        for backend in self.backends:
            backend.standin.stop()
        self.platform.stop()

    def set_entry_members(self, members: Iterable[Member]) -> None:
        """Publish these entry hosts together with the backend servers."""
        self._entry_members = tuple(members)
        self.publish_members()

    def publish_members(self) -> None:
        """Publish all hosts as live; this replaces the published membership list."""
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

    def _refresh_boot_ids(self) -> None:
        """Publish the boot ids of restarted servers after a delay.

        All other fields and members stay as they were last published.
        """
        while True:
            gevent.sleep(self._plan.membership_lag_ms / MS_PER_S)
            boot_ids = {
                backend.host_id: backend.standin.boot_id for backend in self.backends
            }
            published_members = self.platform.state.members.hosts
            updated_members = tuple(
                msgspec.structs.replace(
                    host, boot_id=boot_ids.get(host.host_id, host.boot_id)
                )
                for host in published_members
            )
            if updated_members != published_members:
                self.platform.state.put_members(updated_members)
