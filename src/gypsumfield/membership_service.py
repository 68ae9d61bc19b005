"""Runs the membership decisions of one entry host over its control loop."""

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
    """What the service needs of the control sockets."""

    def set_peer(self, host_id: str, address: str, public_key: str = "") -> bool:
        """Make a host reachable."""

    def remove_peer(self, host_id: str) -> None:
        """Make a host unreachable."""


class MembershipService:
    """Sends and takes heartbeats, and keeps the control sockets' peers.

    Attributes:
        membership: The decisions; read the views from it.
    """

    def __init__(
        self,
        membership: Membership,
        control_loop: ControlLoop,
        directory: PeerDirectory,
        random: Random,
        seeds: Iterable[PeerAddress] = (),
    ) -> None:
        """Register with the control loop; heartbeats start with the loop."""
        self.membership = membership
        self._loop = control_loop
        self._directory = directory
        self._random = random
        self._position_sources: list[PositionSource] = []
        self._position_handlers: list[PositionHandler] = []
        self._seen_version = -1
        self._known: frozenset[str] = frozenset()
        for seed in seeds:
            if seed.host_id != membership.host_id:
                directory.set_peer(seed.host_id, seed.address, seed.public_key)
        control_loop.register(Heartbeat, self._take_heartbeat)
        control_loop.register(ViewRequest, self._answer_view)
        control_loop.register(ViewAnswer, self._take_view)
        control_loop.add_tick(URGENT_INTERVAL_MS, self._send_urgent)
        control_loop.add_tick(membership.times.heartbeat_interval_ms, self._tick)
        control_loop.on_pause(self._rejoin)

    def add_position_source(self, source: PositionSource) -> None:
        """Let heartbeats carry the position that ``source(position)`` returns."""
        self._position_sources.append(source)

    def on_position(self, handler: PositionHandler) -> None:
        """Call ``handler(host_id, position)`` with each heartbeat's position."""
        self._position_handlers.append(handler)

    def merge_platform_list(self, hosts: Iterable[Member]) -> None:
        """Merge the platform's list of hosts."""
        self.membership.merge_platform_list(hosts, self._loop.now_ms())
        self._update_directory()

    def record_platform_contact(self) -> None:
        """Record that the platform has just answered this host."""
        self.membership.record_platform_contact(self._loop.now_ms())

    def leave(self) -> None:
        """Tell the peers at once that this host takes no new work."""
        now_ms = self._loop.now_ms()
        self.membership.leave(now_ms)
        self._tick(now_ms)

    def _take_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        if heartbeat.self_news.host_id != sender:
            return
        outgoing = self.membership.receive_heartbeat(heartbeat, self._loop.now_ms())
        self._update_directory()
        self._send_all(outgoing)
        self._send_urgent(self._loop.now_ms())
        position = SpreadPosition(
            heartbeat.configuration_revision,
            heartbeat.members_version,
            heartbeat.platform_age_ms,
        )
        for handler in self._position_handlers:
            handler(sender, position)

    def _answer_view(self, _sender: str, request: ViewRequest) -> ControlMessage:
        return self.membership.answer_view(request)

    def _take_view(self, _sender: str, answer: ViewAnswer) -> None:
        self.membership.receive_view(answer, self._loop.now_ms())
        self._update_directory()

    def _tick(self, now_ms: float) -> None:
        position = SpreadPosition()
        for source in self._position_sources:
            position = source(position)
        outgoing = self.membership.tick(now_ms, self._random, position)
        self._update_directory()
        self._send_all(outgoing)

    def _send_urgent(self, now_ms: float) -> None:
        self._send_all(self.membership.make_urgent_heartbeats(now_ms, self._random))

    def _rejoin(self, _pause_ms: float) -> None:
        self.membership.rejoin(self._loop.now_ms())

    def _send_all(self, outgoing: Iterable[Outgoing]) -> None:
        for host_id, message in outgoing:
            self._loop.send(host_id, message)

    def _update_directory(self) -> None:
        if self._seen_version == self.membership.view_version:
            return
        self._seen_version = self.membership.view_version
        known = self.membership.known_news()
        for news in known:
            if news.host_id != self.membership.host_id and news.control_address:
                self._directory.set_peer(
                    news.host_id, news.control_address, news.control_public_key
                )
        host_ids = frozenset(news.host_id for news in known)
        for host_id in self._known - host_ids:
            self._directory.remove_peer(host_id)
        self._known = host_ids
