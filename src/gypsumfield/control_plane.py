"""Builds the components by which an entry host communicates with its peers."""

import math
import random
import uuid
from collections.abc import Callable
from typing import NamedTuple

from gypsumfield.adapters.peers import PeerCredentials
from gypsumfield.adapters.peers import PeerTransport
from gypsumfield.adapters.platform import PlatformClient
from gypsumfield.clock import Clock
from gypsumfield.configuration import Configuration
from gypsumfield.configuration import ConfigurationStore
from gypsumfield.configuration_events import log_invalid_hosts
from gypsumfield.configuration_spread import ConfigurationSpread
from gypsumfield.configuration_spread import MemberListSpread
from gypsumfield.control_loop import ControlLoop
from gypsumfield.decisions.lengths import FinishedLength
from gypsumfield.decisions.member_entries import MembershipTimes
from gypsumfield.decisions.membership import Membership
from gypsumfield.decisions.ownership import ZoneView
from gypsumfield.decisions.slots import CanAdmit
from gypsumfield.decisions.slots import ReadTarget
from gypsumfield.interfaces import EmitEvent
from gypsumfield.limit_views import hosts_by_zone
from gypsumfield.limit_views import owner_zone
from gypsumfield.limit_views import quota_sources
from gypsumfield.limit_views import zone_view
from gypsumfield.membership_service import MembershipService
from gypsumfield.messages import ControlMessage
from gypsumfield.messages import MemberRecord
from gypsumfield.quota_service import QuotaService
from gypsumfield.retirement import Retirement
from gypsumfield.settings import EntrySettings
from gypsumfield.slot_service import SlotService
from gypsumfield.slot_sources import BackendDescription
from gypsumfield.slot_sources import SlotSources

# Heartbeat interval and suspicion timeout scale with the hold-down, because
# they must fit into it.
HEARTBEATS_PER_HOLD_DOWN = 6
SUSPECT_AFTER_HEARTBEATS = 3


class AdmissionDependencies(NamedTuple):
    """Functions by which the owner of an engine admits generations.

    Attributes:
        can_admit: Returns whether a generation fits into the predicted memory of its
            engine.
        read_target_ms: Returns a profile's target for the time between two tokens, in
            milliseconds.
        record_output_length: Records the output length of a generation that another
            host relayed.
    """

    can_admit: CanAdmit
    read_target_ms: ReadTarget
    record_output_length: Callable[[FinishedLength], None]


class ControlPlane(NamedTuple):
    """Components that coordinate one entry host with the other entry hosts.

    Attributes:
        boot_id: Unique id of this process start.
        transport: Control sockets.
        loop: Control loop that runs the message handlers and ticks of the services
            below.
        members: Membership of entry hosts and backend servers.
        configuration: Dissemination of the published configuration.
        member_list: Dissemination of the platform's member list.
        quotas: Account limits across all entry hosts.
        slots: Slots of backend servers across all entry hosts.
        retirement: Releases what this host owns before it stops.
    """

    boot_id: str
    transport: PeerTransport
    loop: ControlLoop
    members: MembershipService
    configuration: ConfigurationSpread
    member_list: MemberListSpread
    quotas: QuotaService
    slots: SlotService
    retirement: Retirement

    def send_to_all(self, message: ControlMessage) -> None:
        """Send a message to all other live hosts."""
        for host in self.members.membership.live_hosts() - {self.loop.host_id}:
            self.loop.send(host, message)

    def start(self) -> None:
        """Start the services and the exchange with peers and the platform."""
        self.quotas.start()
        self.slots.start()
        self.loop.start()
        self.configuration.start()
        self.member_list.start()

    def stop(self) -> None:
        """Stop querying the platform and close the control sockets."""
        self.configuration.stop()
        self.member_list.stop()
        self.loop.stop()

    @property
    def is_confirmed(self) -> bool:
        """Whether the other hosts of the zone receive messages of this host."""
        return self.members.membership.is_confirmed(self.loop.now_ms())


def build_control_plane(
    settings: EntrySettings,
    store: ConfigurationStore,
    platform: PlatformClient,
    admission: AdmissionDependencies,
    clock: Clock,
    emit: EmitEvent,
    rng: random.Random,
) -> ControlPlane:
    """Return the control plane of one entry host, not yet started.

    Args:
        settings: Settings of the host.
        store: Configuration in force.
        platform: Client of the platform's service.
        admission: Functions by which the owner of an engine admits generations.
        clock: Monotonic and wall clock.
        emit: Writes an event to the log.
        rng: Random source, seeded by the caller.

    Raises:
        SettingsError: The control socket cannot be opened with these settings.
    """
    boot_id = uuid.uuid4().hex
    transport = PeerTransport(
        settings.control_address,
        settings.control_port,
        PeerCredentials(settings.control_public_key, settings.control_secret_key),
        log_invalid_hosts(emit),
    )
    loop = ControlLoop(
        settings.host_id, boot_id, transport, clock, emit, settings.lease_ms
    )
    membership = _build_membership(settings, boot_id, transport.address, clock)
    members = MembershipService(membership, loop, transport, rng, settings.peers)

    def read_configuration() -> Configuration:
        return store.current

    def read_zone_view() -> ZoneView:
        return zone_view(membership, clock.monotonic_ms())

    quotas = QuotaService(
        loop,
        clock,
        quota_sources(membership, read_configuration, clock.monotonic_ms),
        emit,
        settings.hold_down_ms,
    )
    slots = SlotService(
        loop,
        clock,
        settings.availability_zone,
        SlotSources(
            read_view=read_zone_view,
            read_hosts=lambda: hosts_by_zone(membership, store.current),
            describe_backend=lambda host_id: _describe_backend(
                membership, store, host_id
            ),
            can_admit=admission.can_admit,
            read_target_ms=admission.read_target_ms,
            record_output_length=admission.record_output_length,
        ),
        emit,
        settings.hold_down_ms,
        settings.lease_ms,
    )
    configuration = ConfigurationSpread(
        store, platform.fetch_values, loop, members, clock, emit, random=rng
    )
    member_list = MemberListSpread(
        platform.fetch_members, loop, members, clock, emit, random=rng
    )
    retirement = Retirement(
        loop,
        clock,
        lambda: membership.live_hosts(settings.availability_zone),
        (quotas, slots),
    )
    return ControlPlane(
        boot_id,
        transport,
        loop,
        members,
        configuration,
        member_list,
        quotas,
        slots,
        retirement,
    )


def _build_membership(
    settings: EntrySettings, boot_id: str, control_address: str, clock: Clock
) -> Membership:
    self_record = MemberRecord(
        host_id=settings.host_id,
        boot_id=boot_id,
        availability_zone=settings.availability_zone,
        incarnation=math.floor(clock.wall_ms()),
        state="live",
        control_address=control_address,
        control_public_key=settings.control_public_key,
    )
    interval_ms = settings.hold_down_ms / HEARTBEATS_PER_HOLD_DOWN
    silent_after_ms = interval_ms * SUSPECT_AFTER_HEARTBEATS
    times = MembershipTimes(
        heartbeat_interval_ms=interval_ms,
        silent_after_ms=silent_after_ms,
        first_heartbeat_within_ms=silent_after_ms,
        hold_down_ms=settings.hold_down_ms,
        confirmation_lifetime_ms=silent_after_ms,
        view_request_interval_ms=2 * interval_ms,
    )
    seeds = [peer.host_id for peer in settings.peers]
    return Membership(self_record, clock.monotonic_ms(), times, seeds)


def _describe_backend(
    membership: Membership, store: ConfigurationStore, host_id: str
) -> BackendDescription | None:
    member = membership.backends.member_of(host_id)
    if member is None:
        return None
    services = [store.current.services.get(name) for name in member.services]
    is_reporting = any(service and service.kind == "model" for service in services)
    boot_id = membership.backends.boot_id_of(host_id)
    zone = owner_zone(store.current, member.availability_zone)
    return BackendDescription(zone, boot_id, is_reporting)
