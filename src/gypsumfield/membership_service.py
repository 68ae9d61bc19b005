"""Membership of one entry host: exchanges heartbeats and updates peer addresses."""

from collections.abc import Callable
from collections.abc import Iterable
from random import Random
from typing import Protocol

from gypsumfield.control_loop import ControlLoop
from gypsumfield.decisions.membership import Membership
from gypsumfield.decisions.membership import Outgoing
from gypsumfield.decisions.membership import SpreadPosition
from gypsumfield.decisions.membership import URGENT_INTERVAL_MS
from gypsumfield.messages import ControlMessage
from gypsumfield.messages import Heartbeat
from gypsumfield.messages import ViewAnswer
from gypsumfield.messages import ViewRequest
from gypsumfield.platform_api import Member
from gypsumfield.settings import PeerAddress

PositionHandler = Callable[[str, SpreadPosition], None]
PositionSource = Callable[[SpreadPosition], SpreadPosition]


class PeerDirectory(Protocol):
    """Interface of the control sockets that the service uses."""

    def set_peer(self, host_id: str, address: str, public_key: str = "") -> bool:
        """Set the address and the public key of a host."""

    def remove_peer(self, host_id: str) -> None:
        """Remove the address of a host and close its socket."""


class MembershipService:
    """Sends and receives heartbeats, and maintains the peers of the control sockets.

    Attributes:
        membership: Decides on the members; provides their views.
    """

    def __init__(
        self,
        membership: Membership,
        control_loop: ControlLoop,
        directory: PeerDirectory,
        random: Random,
        seeds: Iterable[PeerAddress] = (),
    ) -> None:
        """Register with the control loop; heartbeats start with the loop.

        Args:
            membership: Decides on the members.
            control_loop: Control loop of this host.
            directory: Control sockets, whose peers are maintained.
            random: Random source, seeded by the caller.
            seeds: Hosts that are contacted before any list has arrived.
        """
        self.membership = membership
        self._loop = control_loop
        self._directory = directory
        self._random = random
        self._position_sources: list[PositionSource] = []
        self._position_handlers: list[PositionHandler] = []
        self._applied_view_version = -1
        self._directory_hosts: frozenset[str] = frozenset()
        for seed in seeds:
            if seed.host_id != membership.host_id:
                directory.set_peer(seed.host_id, seed.address, seed.public_key)
        control_loop.register(Heartbeat, self._receive_heartbeat)
        control_loop.register(ViewRequest, self._answer_view_request)
        control_loop.register(ViewAnswer, self._receive_view)
        control_loop.add_tick(URGENT_INTERVAL_MS, self._send_urgent_heartbeats)
        control_loop.add_tick(membership.times.heartbeat_interval_ms, self._tick)
        control_loop.on_pause(self._rejoin)

    def add_position_source(self, source: PositionSource) -> None:
        """Put the position that ``source(position)`` returns into heartbeats.

        Each source receives the result of the previous one.
        """
        self._position_sources.append(source)

    def on_position(self, handler: PositionHandler) -> None:
        """Call ``handler(host_id, position)`` with the position in each heartbeat."""
        self._position_handlers.append(handler)

    def merge_platform_list(self, hosts: Iterable[Member]) -> None:
        """Merge the platform's list of hosts into the membership."""
        self.membership.merge_platform_list(hosts, self._loop.now_ms())
        self._update_directory()

    def record_platform_contact(self) -> None:
        """Record that the platform has answered this host just now."""
        self.membership.record_platform_contact(self._loop.now_ms())

    def leave(self) -> None:
        """Announce to the peers at once that this host accepts no new work."""
        now_ms = self._loop.now_ms()
        self.membership.leave(now_ms)
        self._tick(now_ms)

    def _receive_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        if heartbeat.self_record.host_id != sender:
            return
        outgoing = self.membership.receive_heartbeat(heartbeat, self._loop.now_ms())
        self._update_directory()
        self._send_all(outgoing)
        self._send_urgent_heartbeats(self._loop.now_ms())
        position = SpreadPosition(
            heartbeat.configuration_revision,
            heartbeat.members_version,
            heartbeat.platform_age_ms,
        )
        for handler in self._position_handlers:
            handler(sender, position)

    def _answer_view_request(
        self, _sender: str, request: ViewRequest
    ) -> ControlMessage:
        return self.membership.answer_view(request)

    def _receive_view(self, _sender: str, answer: ViewAnswer) -> None:
        self.membership.receive_view(answer, self._loop.now_ms())
        self._update_directory()

    def _tick(self, now_ms: float) -> None:
        position = SpreadPosition()
        for source in self._position_sources:
            position = source(position)
        outgoing = self.membership.tick(now_ms, self._random, position)
        self._update_directory()
        self._send_all(outgoing)

    def _send_urgent_heartbeats(self, now_ms: float) -> None:
        self._send_all(self.membership.make_urgent_heartbeats(now_ms, self._random))

    def _rejoin(self, _pause_ms: float) -> None:
        self.membership.rejoin(self._loop.now_ms())

    def _send_all(self, outgoing: Iterable[Outgoing]) -> None:
        for host_id, message in outgoing:
            self._loop.send(host_id, message)

    def _update_directory(self) -> None:
        if self._applied_view_version == self.membership.view_version:
            return
        self._applied_view_version = self.membership.view_version
        entries = self.membership.known_records()
        for entry in entries:
            if entry.host_id != self.membership.host_id and entry.control_address:
                self._directory.set_peer(
                    entry.host_id, entry.control_address, entry.control_public_key
                )
        host_ids = frozenset(entry.host_id for entry in entries)
        for host_id in self._directory_hosts - host_ids:
            self._directory.remove_peer(host_id)
        self._directory_hosts = host_ids
