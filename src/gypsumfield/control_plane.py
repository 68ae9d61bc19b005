"""Wires the parts of an entry host that talk to its peers."""

import math
import random
import uuid
from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from gypsumfield.adapters.peers import PeerCredentials
from gypsumfield.adapters.peers import PeerTransport
from gypsumfield.clock import Clock
from gypsumfield.configuration import ConfigurationStore
from gypsumfield.control_loop import ControlLoop
from gypsumfield.decisions.membership import Membership
from gypsumfield.decisions.membership import MembershipTimes
from gypsumfield.decisions.ownership import ZoneView
from gypsumfield.decisions.quotas import QuotaView
from gypsumfield.decisions.slots import MayAdmit
from gypsumfield.decisions.token_pools import AccountLimit
from gypsumfield.membership_service import MembershipService
from gypsumfield.messages import MemberNews
from gypsumfield.platform_api import MemberList
from gypsumfield.ports import EmitEvent
from gypsumfield.quota_service import QuotaService
from gypsumfield.quota_service import QuotaSources
from gypsumfield.settings import EntrySettings
from gypsumfield.slot_service import BackendDescription
from gypsumfield.slot_service import SlotService
from gypsumfield.slot_service import SlotSources

# Heartbeats and silences shrink with the hold-down that they must fit into.
HEARTBEATS_PER_HOLD_DOWN = 6
SILENT_AFTER_HEARTBEATS = 3
# Shares follow the hold-down at the next ticks.
SHARE_DELAY_MS = 500.0


class ControlPlane(NamedTuple):
    """Everything by which entry hosts act as one fleet.

    Attributes:
        boot_id: Boot of this process.
        transport: Control sockets.
        loop: Control loop; starts and stops the rest.
        members: Membership of entry hosts and backend servers.
        quotas: Account limits over all entry hosts.
        slots: Slots of backend servers over all entry hosts.
        zone_view: Returns the entry hosts of this host's zone.
        full_from_ms: Monotonic time from which the host may have its part of
            all limits, when nothing stands against it.
    """

    boot_id: str
    transport: PeerTransport
    loop: ControlLoop
    members: MembershipService
    quotas: QuotaService
    slots: SlotService
    zone_view: Callable[[], ZoneView]
    full_from_ms: float

    def start(self) -> None:
        """Begin to talk to the peers."""
        self.quotas.start()
        self.slots.start()
        self.loop.start()

    def stop(self) -> None:
        """Close the control socket."""
        self.loop.stop()


def build_control_plane(
    settings: EntrySettings,
    store: ConfigurationStore,
    may_admit: MayAdmit,
    clock: Clock,
    emit: EmitEvent,
    rng: random.Random,
) -> ControlPlane:
    """Return the control plane of one entry host, not yet started.

    Args:
        settings: Settings of the host.
        store: Configuration in force.
        may_admit: Judges a generation by the predicted memory of its engine.
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

    def zone_view() -> ZoneView:
        now_ms = clock.monotonic_ms()
        hosts = membership.members_for_shrinking(now_ms, settings.availability_zone)
        return ZoneView(hosts, membership.is_confirmed(now_ms))

    def hosts_by_zone() -> Mapping[str, frozenset[str]]:
        zones = {news.availability_zone for news in membership.known_news()}
        return {zone: membership.live_hosts(zone) for zone in zones}

    quotas = QuotaService(
        loop,
        clock,
        QuotaSources(
            read_view=lambda: QuotaView(
                settings.availability_zone,
                frozenset(store.current.zones),
                zone_view(),
            ),
            read_limits=_limits_reader(store),
            read_hosts=hosts_by_zone,
        ),
        emit,
        settings.hold_down_ms,
    )
    slots = SlotService(
        loop,
        clock,
        settings.availability_zone,
        SlotSources(
            read_view=zone_view,
            read_hosts=hosts_by_zone,
            describe_backend=lambda host_id: _describe(membership, store, host_id),
            may_admit=may_admit,
        ),
        emit,
        settings.hold_down_ms,
        settings.lease_ms,
    )
    full_from_ms = clock.monotonic_ms() + settings.hold_down_ms + SHARE_DELAY_MS
    return ControlPlane(
        boot_id, transport, loop, members, quotas, slots, zone_view, full_from_ms
    )


def take_member_list(plane: ControlPlane, members: MemberList) -> None:
    """Merge the platform's member list into the membership."""
    plane.members.note_platform_contact()
    plane.members.take_platform_list(members.hosts)


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
        first_heard_within_ms=silent_after_ms,
        hold_down_ms=settings.hold_down_ms,
        confirmed_within_ms=silent_after_ms,
        view_request_interval_ms=2 * interval_ms,
    )
    seeds = [peer.host_id for peer in settings.peers]
    return Membership(self_news, clock.monotonic_ms(), times, seeds)


def _limits_reader(
    store: ConfigurationStore,
) -> Callable[[], Mapping[str, AccountLimit]]:
    # Read for every request, so it is built once for each revision.
    known: tuple[int, Mapping[str, AccountLimit]] = (-1, {})

    def read() -> Mapping[str, AccountLimit]:
        nonlocal known
        if known[0] != store.revision:
            limits = {
                name: AccountLimit(account.rate_per_s, account.burst)
                for name, account in store.current.accounts.items()
            }
            known = (store.revision, limits)
        return known[1]

    return read


def _describe(
    membership: Membership, store: ConfigurationStore, host_id: str
) -> BackendDescription | None:
    member = membership.backends.member_of(host_id)
    if member is None:
        return None
    services = [store.current.services.get(name) for name in member.services]
    is_reporting = any(service and service.kind == "model" for service in services)
    boot_id = membership.backends.boot_id_of(host_id)
    return BackendDescription(member.availability_zone, boot_id, is_reporting)
