"""Entry hosts of a fake fleet that run the membership decisions."""

from random import Random

from fake_network import FakeNetwork
from gypsumfield.decisions.member_entries import DEFAULT_TIMES
from gypsumfield.decisions.membership import Membership
from gypsumfield.decisions.membership import SpreadPosition
from gypsumfield.messages import Heartbeat
from gypsumfield.messages import MemberRecord
from gypsumfield.messages import ViewAnswer
from gypsumfield.messages import ViewRequest
from gypsumfield.platform_api import Member

WALL_START_MS = 1_700_000_000_000


class FakeMember:
    """One boot of an entry host; during a pause it neither ticks nor reads."""

    def __init__(self, network: FakeNetwork, host_id, zone, boot, times=DEFAULT_TIMES):
        self.network = network
        self.zone = zone
        self.boot = boot
        self.random = Random(f"{host_id} {boot}")
        self.is_up = True
        self.paused_since_ms = None
        self.backlog = []
        incarnation = WALL_START_MS + int(network.now_ms)
        record = MemberRecord(
            host_id, f"{host_id}-b{boot}", zone, incarnation, "live", "127.0.0.1:1"
        )
        self.membership = Membership(record, network.now_ms, times)
        network.attach(host_id, self.deliver)
        self._tick()

    @property
    def host_id(self):
        return self.membership.host_id

    @property
    def is_running(self):
        return self.is_up and self.paused_since_ms is None

    def is_acting(self, now_ms):
        """Return whether the host may act for the resources that it owns."""
        stable = self.membership.stable_hosts(now_ms, self.zone)
        is_confirmed = self.membership.is_confirmed(now_ms)
        return self.is_running and is_confirmed and self.host_id in stable

    def as_listed(self, state="live"):
        return Member(
            self.host_id,
            "entry",
            self.zone,
            "127.0.0.1:2",
            state,
            self.membership.self_record.boot_id,
            control_address="127.0.0.1:1",
        )

    def crash(self):
        self.is_up = False
        self.network.detach(self.host_id)

    def pause(self):
        self.paused_since_ms = self.network.now_ms

    def resume(self):
        self.paused_since_ms = None
        self.membership.rejoin(self.network.now_ms)
        backlog, self.backlog = self.backlog, []
        for sender, message in backlog:
            self.deliver(sender, message)

    def position(self):
        return SpreadPosition()

    def receive(self, sender, message):
        """Called with every message after the membership has processed it.

        Does nothing; subclasses override it.
        """

    def deliver(self, sender, message):
        if self.paused_since_ms is not None:
            self.backlog.append((sender, message))
            return
        now_ms = self.network.now_ms
        if isinstance(message, Heartbeat):
            for outgoing in self.membership.receive_heartbeat(message, now_ms):
                self.network.send(self.host_id, *outgoing)
        elif isinstance(message, ViewRequest):
            answer = self.membership.answer_view(message)
            self.network.send(self.host_id, sender, answer)
        elif isinstance(message, ViewAnswer):
            self.membership.receive_view(message, now_ms)
        self.receive(sender, message)
        self.send_urgent()

    def send_urgent(self):
        now_ms = self.network.now_ms
        for outgoing in self.membership.make_urgent_heartbeats(now_ms, self.random):
            self.network.send(self.host_id, *outgoing)

    def _tick(self):
        if not self.is_up:
            return
        now_ms = self.network.now_ms
        interval_ms = self.membership.times.heartbeat_interval_ms
        self.network.call_at(now_ms + interval_ms, self._tick)
        if self.is_running:
            outgoing = self.membership.tick(now_ms, self.random, self.position())
            for host_id, message in outgoing:
                self.network.send(self.host_id, host_id, message)
            self.send_urgent()
