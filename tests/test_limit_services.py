"""Account and slot limits over real control loops on loopback."""

import gevent
import pytest

from gypsumfield.adapters.peers import PeerCredentials
from gypsumfield.adapters.peers import PeerTransport
from gypsumfield.clock import system_clock
from gypsumfield.control_loop import ControlLoop
from gypsumfield.decisions.ownership import ZoneView
from gypsumfield.decisions.quotas import QuotaView
from gypsumfield.decisions.slots import admit_always
from gypsumfield.decisions.token_pools import AccountLimit
from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.interfaces import discard_event
from gypsumfield.interfaces import SlotLease
from gypsumfield.interfaces import SlotOutcome
from gypsumfield.interfaces import SlotRefusal
from gypsumfield.interfaces import SlotUse
from gypsumfield.quota_service import QuotaService
from gypsumfield.quota_service import QuotaSources
from gypsumfield.slot_service import SlotService
from gypsumfield.slot_sources import BackendDescription
from gypsumfield.slot_sources import SlotSources

HOSTS = frozenset({"entry-0", "entry-1"})
HOLD_DOWN_MS = 400.0
LEASE_MS = 300.0
DEMAND = GenerationDemand("r", "assistant", "dawn", "vendors", 10, 100)
LIMITS = {"vendors": AccountLimit(rate_per_s=0.5, burst=1.0)}


class Host:
    def __init__(self, host_id):
        self.transport = PeerTransport("127.0.0.1", 0, PeerCredentials())
        self.loop = ControlLoop(
            host_id, f"{host_id}/1", self.transport, system_clock(), discard_event, 1e6
        )
        view = ZoneView(HOSTS)
        self.quotas = QuotaService(
            self.loop,
            system_clock(),
            QuotaSources(
                lambda: QuotaView("manta", frozenset({"manta"}), view),
                lambda: LIMITS,
                lambda: {"manta": HOSTS},
            ),
            discard_event,
            HOLD_DOWN_MS,
        )
        self.slots = SlotService(
            self.loop,
            system_clock(),
            "manta",
            SlotSources(
                lambda: view,
                lambda: {"manta": HOSTS},
                lambda name: BackendDescription("manta"),
                admit_always,
            ),
            discard_event,
            HOLD_DOWN_MS,
            LEASE_MS,
        )


@pytest.fixture
def hosts():
    hosts = [Host(host_id) for host_id in sorted(HOSTS)]
    for host, other in (hosts, reversed(hosts)):
        host.transport.set_peer(other.loop.host_id, other.transport.address)
    for host in hosts:
        host.quotas.start()
        host.slots.start()
        host.loop.start()
    yield hosts
    for host in hosts:
        host.loop.stop()


def wait_until(function, timeout_s=20):
    with gevent.Timeout(timeout_s):
        while True:
            answer = function()
            if answer:
                return answer
            gevent.sleep(0.02)


def test_a_host_borrows_what_it_does_not_mint(hosts):
    limiter = hosts[0].quotas.limiter()
    wait_until(lambda: sum(host.quotas.shares()["vendors"] for host in hosts) > 0.99)
    assert all(host.quotas.shares()["vendors"] < 0.99 for host in hosts)
    # Neither host alone can ever hold a whole token.
    decision = wait_until(lambda: (d := limiter.take("vendors")).is_granted and d)
    refusal = limiter.take("vendors")
    assert not refusal.is_granted
    assert refusal.retry_after_ms > 0.0
    limiter.refund("vendors", decision)
    assert not limiter.take("nobody").is_granted


def test_both_hosts_get_slots_from_one_owner_and_release_them(hosts):
    allocators = [host.slots.allocator() for host in hosts]
    lease = wait_until(
        lambda: (
            isinstance(result := allocators[0].acquire("m-1", DEMAND), SlotLease)
            and result
        )
    )
    owner = next(host for host in hosts if host.loop.host_id == lease.owner)
    assert owner.slots.is_owner("m-1")
    assert owner.slots.free_count("m-1") == 0
    assert isinstance(allocators[1].acquire("m-1", DEMAND), SlotRefusal)
    allocators[0].report_progress(lease, 7)
    # The lease outlives its term because it is renewed.
    gevent.sleep(2 * LEASE_MS / 1_000.0)
    assert isinstance(allocators[1].acquire("m-1", DEMAND), SlotRefusal)
    allocators[0].release(lease, SlotUse(SlotOutcome.COMPLETED, 9, 50.0))
    wait_until(lambda: owner.slots.free_count("m-1") == 2)
    first, second = (allocator.acquire("m-1", DEMAND) for allocator in allocators)
    assert isinstance(first, SlotLease)
    assert isinstance(second, SlotLease)
    assert first.owner == second.owner == lease.owner
