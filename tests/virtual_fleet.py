"""Simulated hosts of a large fleet in virtual time, with their links and a store."""

import heapq
import itertools
import json
import random
from collections import Counter

from fake_platform import publication
from gypsumfield.clock import ManualClock
from gypsumfield.gateway.engine_reports import EngineReportCache
from gypsumfield.gateway.host_updates import decode_view
from gypsumfield.gateway.host_updates import encode_view
from gypsumfield.gateway.host_updates import View
from gypsumfield.gateway.host_updates import WireItem
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.part_guard import GuardDependencies
from gypsumfield.gateway.part_guard import PartGuard
from gypsumfield.gateway.peer_dependencies import PeerDependencies
from gypsumfield.gateway.peers import PeerLink
from gypsumfield.gateway.published_items import combine_revision
from gypsumfield.gateway.published_items import ERA_FACTOR
from gypsumfield.gateway.published_items import era_of
from gypsumfield.gateway.published_items import store_revision_of
from gypsumfield.gateway.published_items import StoreItem
from gypsumfield.gateway.scheduling import EnginePaces
from gypsumfield.gateway.server_notices import NoticeDependencies
from gypsumfield.gateway.server_notices import ServerNotices
from gypsumfield.gateway.settings import EdgeBounds
from gypsumfield.gateway.settings import EdgeSettings
from gypsumfield.gateway.view_pull import LAG_TOLERANCE_MS
from placing_fleet import make_catalogue

SAME_ZONE_DELAY_MS = 0.1
CROSS_ZONE_DELAY_MS = 0.5
# Time of a view pull: one connection and one answer.
PULL_MS = 5.0
WATCH_MS = 4.0
STORE_CHECK_MS = 100.0
COLD_PER_S = 15
# Mean time after which a host retries a store that did not answer.
STORE_RETRY_MS = 250.0
UPDATE_CHECK_MS = 40.0
# Interval at which a test checks whether a condition holds.
CONDITION_CHECK_MS = 50.0


class VirtualHost:
    """One host: its link to the peers, its view and its watch of the store."""

    def __init__(self, fleet, number, zone, capacity, seeds):
        self.fleet = fleet
        self.ip = f"10.0.{number // 250}.{number % 250 + 1}"
        self.name = f"host-{number}"
        self.zone = zone
        self.capacity = capacity
        self.seeds = seeds
        self.boot = 0
        self.is_up = False
        self.sent = Counter()
        self.start()

    def start(self):
        """Start the process again, with empty state."""
        self.boot += 1
        self.is_up = True
        self.is_store_answering = False
        self.store_calls = 0
        self.behind_revision = 0
        self.behind_since_ms = 0.0
        clock = self.fleet.clock.as_clock()
        self.events = []
        self.catalogue = make_catalogue(clock)
        self.ledger = Ledger()
        self.notices = ServerNotices(
            NoticeDependencies(self.catalogue, clock, self.events.append)
        )
        self.part_guard = PartGuard(
            GuardDependencies(
                self.catalogue,
                lambda _address: True,
                clock,
                self.fleet.rng,
                self.events.append,
            )
        )
        self.link = PeerLink(
            PeerDependencies(
                settings=EdgeSettings(
                    self.name,
                    self.zone,
                    "",
                    "",
                    "",
                    "",
                    self.ip,
                    7200,
                    tuple(self.seeds),
                    "",
                    EdgeBounds(),
                    self.capacity,
                    self.fleet.zones,
                ),
                boot_id=f"b{self.boot}",
                catalogue=self.catalogue,
                ledger=self.ledger,
                report_cache=EngineReportCache(self.catalogue, clock),
                engine_paces=EnginePaces(self.catalogue, clock),
                notices=self.notices,
                part_guard=self.part_guard,
                pull=self,
                is_store_answering=lambda: self.is_store_answering,
                lost_services=list,
                clock=clock,
                emit=self.events.append,
                send=self.send,
            )
        )
        boot = self.boot
        self.fleet.schedule(self.fleet.rng.uniform(0.0, 300.0), self.send_updates, boot)
        self.fleet.schedule(self.fleet.rng.uniform(0.0, 100.0), self.poll_store, boot)

    def send(self, ip, datagram):
        self.sent["messages"] += 1
        self.sent["bytes"] += len(datagram)
        self.fleet.transmit(self, ip, datagram)

    def send_updates(self, boot):
        if self.is_up and boot == self.boot:
            pause_ms = self.link.send_updates()
            self.fleet.schedule(pause_ms, self.wait_for_update, boot, self.fleet.now_ms)

    def wait_for_update(self, boot, sent_ms):
        if not self.is_up or boot != self.boot:
            return
        if (
            self.link.has_pending_update
            or self.fleet.now_ms - sent_ms >= self.link.heartbeat_interval_ms
        ):
            self.send_updates(boot)
        else:
            self.fleet.schedule(UPDATE_CHECK_MS, self.wait_for_update, boot, sent_ms)

    def pull_if_behind(self, _host_id, ip, revision, is_relying_on_peers):
        """Stand in for `ViewPull.pull_if_behind`; the pull takes ``PULL_MS``."""
        if revision <= self.catalogue.revision:
            return
        if self.behind_revision < self.catalogue.revision + 1:
            self.behind_revision = self.catalogue.revision + 1
            self.behind_since_ms = self.fleet.now_ms
        is_late = self.fleet.now_ms - self.behind_since_ms >= LAG_TOLERANCE_MS
        if is_relying_on_peers or is_late or not self.catalogue.publication:
            self.fleet.schedule(PULL_MS, self.pull, ip, self.boot)

    def pull(self, ip, boot):
        source = self.fleet.by_ip[ip]
        if boot != self.boot or not self.fleet.reaches(self, source):
            return
        revision = self.catalogue.revision
        is_restored = era_of(source.catalogue.revision) > era_of(revision)
        items = source.catalogue.items_after(0 if is_restored else revision)
        changed, unchanged = source.part_guard.evidence.to_pass_on(self.fleet.now_ms)
        parts = source.part_guard.wire_parts([*changed, *unchanged])
        data = encode_view(
            View(source.catalogue.revision, [WireItem(*item) for item in items], parts)
        )
        view = decode_view(data)
        self.part_guard.store_parts(view.parts, "pull")
        apply = self.catalogue.replace if is_restored else self.catalogue.apply
        apply(
            [StoreItem(*fields) for fields in view_items(view)], view.revision, "pull"
        )

    def poll_store(self, boot):
        if not self.is_up or boot != self.boot:
            return
        link, catalogue = self.link, self.catalogue
        is_call_allowed = (
            link.should_watch_store()
            if catalogue.publication
            else link.can_list_store()
        )
        pause_ms = STORE_CHECK_MS
        if is_call_allowed:
            pause_ms = WATCH_MS
            is_behind = catalogue.revision < self.fleet.revision
            self.is_store_answering = self not in self.fleet.store_refused_hosts
            if is_behind or not self.is_store_answering:
                self.store_calls += 1
            if not self.is_store_answering:
                pause_ms = STORE_RETRY_MS
            if self.is_store_answering and is_behind:
                self.read_store()
        self.fleet.schedule(pause_ms, self.poll_store, boot)

    def read_store(self):
        """Apply what a watch returns, or a listing when the store was restored."""
        catalogue = self.catalogue
        items = list(self.fleet.items.values())
        if era_of(self.fleet.revision) > era_of(catalogue.revision):
            listed = [item for item in items if item.value is not None]
            catalogue.replace(listed, self.fleet.revision, "store")
        else:
            changes = [item for item in items if item.revision > catalogue.revision]
            catalogue.apply(changes, self.fleet.revision, "store", is_fresh=True)


def view_items(view):
    return [(item.key, item.revision, item.value) for item in view.items]


class VirtualFleet:
    """Hosts in zones, with a store and a network into which tests inject faults.

    Attributes:
        loss_ratio: Share of the datagrams that are lost.
        partitioned: Pairs of zones that don't reach each other, and single hosts that
            reach no other host.
        store_refused_hosts: Hosts that the store does not answer.
    """

    def __init__(self, host_count, zone_count=6, seed=1):
        self.clock = ManualClock(1_000.0)
        self.rng = random.Random(seed)
        self.loss_ratio = 0.0
        self.partitioned = set()
        self.store_refused_hosts = set()
        self.items = {}
        self.revision = 0
        self.version = 1
        self._queue = []
        self._numbers = itertools.count()
        self.hosts = []
        self.by_ip = {}
        self.publish(1)
        self.zones = tuple(f"z{number}" for number in range(zone_count))
        zones = [f"z{number % zone_count}" for number in range(host_count)]
        seeds = [f"10.0.0.{number + 1}" for number in range(3)]
        for number, zone in enumerate(zones):
            capacity = 100 if number // zone_count % 10 == 1 else 10
            host = VirtualHost(self, number, zone, capacity, seeds)
            self.hosts.append(host)
            self.by_ip[host.ip] = host

    @property
    def now_ms(self):
        return self.clock.now_ms

    def put(self, key, value):
        self.revision += 1
        data = None if value is None else json.dumps(value).encode()
        self.items[key] = StoreItem(key, self.revision, data)
        return self.revision

    def restore(self, copy):
        """Bring the store back from a copy of its items, in a new era."""
        self.revision += ERA_FACTOR
        era = era_of(self.revision)
        self.items = {
            key: item._replace(
                revision=combine_revision(era, store_revision_of(item.revision))
            )
            for key, item in copy.items()
            if item.value is not None
        }
        self.revision = max(item.revision for item in self.items.values())

    def publish(self, version):
        wire = publication({"engine": "streaming"}, version=version)
        wire["services"][0]["cold_per_s"] = COLD_PER_S
        return self.put("op/config", wire)

    def schedule(self, delay_ms, action, *arguments):
        entry = (self.now_ms + delay_ms, next(self._numbers), action, arguments)
        heapq.heappush(self._queue, entry)

    def reaches(self, sender, receiver):
        pair = frozenset({sender.zone, receiver.zone})
        return (
            receiver is not None
            and sender.is_up
            and receiver.is_up
            and pair not in self.partitioned
            and sender not in self.partitioned
            and receiver not in self.partitioned
        )

    def transmit(self, sender, ip, datagram):
        receiver = self.by_ip.get(ip)
        if receiver is None or not self.reaches(sender, receiver):
            return
        if self.rng.random() < self.loss_ratio:
            return
        delay_ms = (
            SAME_ZONE_DELAY_MS if sender.zone == receiver.zone else CROSS_ZONE_DELAY_MS
        )
        self.schedule(delay_ms, self.deliver, receiver, receiver.boot, datagram)

    @staticmethod
    def deliver(receiver, boot, datagram):
        if receiver.is_up and boot == receiver.boot:
            receiver.link.handle_datagram(datagram)

    def run(self, duration_ms):
        """Advance virtual time and run the actions scheduled in it."""
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            due_ms, _, action, arguments = heapq.heappop(self._queue)
            self.clock.advance(max(0.0, due_ms - self.now_ms))
            action(*arguments)
        self.clock.advance(max(0.0, end_ms - self.now_ms))

    def run_until(self, condition, limit_ms):
        """Advance time until ``condition`` holds; return how many ms that took."""
        started_ms = self.now_ms
        while not condition():
            assert self.now_ms < started_ms + limit_ms, (
                "the condition did not hold in time"
            )
            self.run(CONDITION_CHECK_MS)
        return self.now_ms - started_ms

    def running_hosts(self):
        return [host for host in self.hosts if host.is_up]

    def first_delegates(self, zone):
        """Return the running hosts that are the first delegate of a zone."""
        return [
            h
            for h in self.running_hosts()
            if h.zone == zone and h.link.roster.is_first_delegate
        ]

    def all_have_revision(self, revision, hosts=None):
        hosts = self.running_hosts() if hosts is None else hosts
        return all(host.catalogue.revision >= revision for host in hosts)

    def is_converged(self):
        """Return whether all hosts of each zone agree on its first delegate."""
        zones = {host.zone for host in self.hosts}
        for zone in zones:
            first_delegates = self.first_delegates(zone)
            hosts = [host for host in self.running_hosts() if host.zone == zone]
            if not hosts:
                continue
            if len(first_delegates) != 1 or not all(
                host.link.roster.local_delegates()[0] == first_delegates[0].name
                for host in hosts
            ):
                return False
        return True

    def count_sent(self, duration_ms):
        """Return messages and bytes sent a second, each sorted over the hosts."""
        for host in self.hosts:
            host.sent.clear()
        self.run(duration_ms)
        seconds = duration_ms / 1_000.0
        return (
            sorted(host.sent["messages"] / seconds for host in self.running_hosts()),
            sorted(host.sent["bytes"] / seconds for host in self.running_hosts()),
        )
