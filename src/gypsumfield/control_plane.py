"""Wires the parts of an entry host that talk to its peers."""

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
from gypsumfield.messages import MemberNews
from gypsumfield.quota_service import QuotaService
from gypsumfield.retirement import Retirement
from gypsumfield.settings import EntrySettings
from gypsumfield.slot_service import SlotService
from gypsumfield.slot_sources import BackendDescription
from gypsumfield.slot_sources import SlotSources

# Heartbeats and silences shrink with the hold-down that they must fit into.
HEARTBEATS_PER_HOLD_DOWN = 6
SILENT_AFTER_HEARTBEATS = 3


class AdmissionDependencies(NamedTuple):
    """What the owner of an engine admits by.

    Attributes:
        can_admit: Judges a generation by the predicted memory of its engine.
        read_target_ms: Returns the target between tokens of a profile.
        record_output_length: Learns from an answer that another host carried.
    """

    can_admit: CanAdmit
    read_target_ms: ReadTarget
    record_output_length: Callable[[FinishedLength], None]


class ControlPlane(NamedTuple):
    """Everything by which entry hosts act as one fleet.

    Attributes:
        boot_id: Boot of this process.
        transport: Control sockets.
        loop: Control loop; starts and stops the rest.
        members: Membership of entry hosts and backend servers.
        configuration: Spread of the published values.
        member_list: Spread of the platform's member list.
        quotas: Account limits over all entry hosts.
        slots: Slots of backend servers over all entry hosts.
        retirement: Gives up what this host owns before it stops.
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

    def start(self) -> None:
        """Begin to talk to the peers."""
        self.quotas.start()
        self.slots.start()
        self.loop.start()
        self.configuration.start()
        self.member_list.start()

    def stop(self) -> None:
        """Stop to ask the platform and close the control socket."""
        self.configuration.stop()
        self.member_list.stop()
        self.loop.stop()

    @property
    def is_confirmed(self) -> bool:
        """Whether the others of the zone hear this host."""
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
        admission: What the owner of an engine admits by.
        clock: Time.
        emit: Takes events.
        rng: Source of random choices.

    Raises:
        SettingsError: The control socket cannot be opened as set.
    """
    boot_id = uuid.uuid4().hex
    transport = PeerTransport(
        settings.control_address,
        settings.control_port,
        PeerCredentials(settings.control_public_key, settings.control_secret_key),
    )
    loop = ControlLoop(
        settings.host_id, boot_id, transport, clock, emit, settings.lease_ms
    )
    membership = _membership(settings, boot_id, transport.address, clock)
    members = MembershipService(membership, loop, transport, rng, settings.peers)

    def read_configuration() -> Configuration:
        return store.current

    def zone_hosts() -> ZoneView:
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
            read_view=zone_hosts,
            read_hosts=lambda: hosts_by_zone(membership, store.current),
            describe_backend=lambda host_id: _describe(membership, store, host_id),
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


def _membership(
    settings: EntrySettings, boot_id: str, control_address: str, clock: Clock
) -> Membership:
    self_news = MemberNews(
        host_id=settings.host_id,
        boot_id=boot_id,
        availability_zone=settings.availability_zone,
        incarnation=math.floor(clock.wall_ms()),
        state="live",
        control_address=control_address,
        control_public_key=settings.control_public_key,
    )
    interval_ms = settings.hold_down_ms / HEARTBEATS_PER_HOLD_DOWN
    silent_after_ms = interval_ms * SILENT_AFTER_HEARTBEATS
    times = MembershipTimes(
        heartbeat_interval_ms=interval_ms,
        silent_after_ms=silent_after_ms,
        first_heartbeat_within_ms=silent_after_ms,
        hold_down_ms=settings.hold_down_ms,
        confirmation_lifetime_ms=silent_after_ms,
        view_request_interval_ms=2 * interval_ms,
    )
    seeds = [peer.host_id for peer in settings.peers]
    return Membership(self_news, clock.monotonic_ms(), times, seeds)


def _describe(
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
