"""Limits on requests under load, over all hosts, in virtual time."""

import gevent
import pytest

from gypsumfield.aborts import AbortHandle
from limited_fleet import LimitedFleet
from limited_fleet import LimitedServer


def start_fleet(host_count, limits_per_s, rate_per_s, **options):
    fleet = LimitedFleet(host_count, limits_per_s, rate_per_s, **options)
    fleet.run(4_000.0)
    if limits_per_s:
        fleet.start_calls()
    return fleet


@pytest.mark.parametrize("seed", range(3))
def test_nine_hosts_share_the_limits_of_all_servers(seed):
    limits = [2.1, 1.5, 2.0, 1.8]
    fleet = start_fleet(9, limits, 40.0, zone_count=4, seed=seed)
    fleet.run(10_000.0)
    before = [server.arrival_count for server in fleet.servers]
    fleet.run(20_000.0)
    assert fleet.worst_excess() <= 0.0
    for server, count in zip(fleet.servers, before, strict=True):
        rate_per_s = (server.arrival_count - count) / 20.0
        assert 0.7 * server.limit_per_s <= rate_per_s <= 1.05 * server.limit_per_s


@pytest.mark.parametrize("seed", range(2))
def test_the_limits_hold_while_hosts_crash_and_zones_are_partitioned(seed):
    fleet = start_fleet(195, [6.0] * 6, 150.0, seed=seed)
    fleet.run(4_000.0)
    killed = fleet.rng.sample(fleet.hosts, 60)
    for host in killed:
        host.is_up = False
    fleet.run(3_000.0)
    for host in killed:
        host.start()
    fleet.partitioned.update(frozenset({"z1", f"z{zone}"}) for zone in (0, 2, 3, 4, 5))
    fleet.run(4_000.0)
    fleet.partitioned.update(fleet.rng.sample(fleet.hosts, 60))
    fleet.run(5_000.0)
    fleet.partitioned.clear()
    fleet.loss_ratio = 0.1
    fleet.run(4_000.0)
    assert fleet.worst_excess() <= 0.0
    assert fleet.outcomes["sent"] > 0


@pytest.mark.parametrize("host_count", [9, 30])
def test_hosts_follow_a_limit_that_falls_rises_and_ends(host_count):
    fleet = start_fleet(host_count, [8.0], 40.0, zone_count=4)
    server = fleet.servers[0]
    rates = {}
    for limit_per_s in (8.0, 2.0, 6.0, None):
        server.limit_per_s = limit_per_s
        fleet.run(4_000.0)
        before = server.arrival_count
        fleet.run(10_000.0)
        rates[limit_per_s] = (server.arrival_count - before) / 10.0
        if limit_per_s is not None:
            assert fleet.worst_excess() <= 0.0
    assert 1.4 <= rates[2.0] <= 2.1
    assert 4.2 <= rates[6.0] <= 6.3
    assert rates[None] >= 30.0


def test_a_limit_of_zero_is_noticed_to_end():
    fleet = start_fleet(9, [0.0], 20.0, zone_count=4)
    fleet.run(20_000.0)
    assert fleet.worst_excess() <= 0.0
    fleet.servers[0].limit_per_s = None
    fleet.run(30_000.0)
    before = fleet.servers[0].arrival_count
    fleet.run(5_000.0)
    assert fleet.servers[0].arrival_count - before >= 75


def test_zones_without_calls_lend_their_part_of_a_limit():
    fleet = start_fleet(30, [6.0], 60.0)
    fleet.callable_hosts = lambda: [h for h in fleet.running_hosts() if h.zone == "z2"]
    fleet.run(10_000.0)
    before = fleet.servers[0].arrival_count
    fleet.run(10_000.0)
    assert fleet.worst_excess() <= 0.0
    assert 4.2 <= (fleet.servers[0].arrival_count - before) / 10.0 <= 6.3


def test_every_host_may_restart_at_once_under_a_limit():
    fleet = start_fleet(30, [3.0], 60.0)
    fleet.run(5_000.0)
    for host in fleet.hosts:
        host.start()
    fleet.run(12_000.0)
    assert fleet.worst_excess() <= 0.0


def test_every_host_learns_of_a_limit_and_of_its_end_from_the_others():
    fleet = start_fleet(195, [], 1.0)
    server = LimitedServer(1, 3.0, "z1")
    informed_host = next(h for h in fleet.hosts if not h.link.roster.is_delegate)
    fleet.answer(informed_host, server, informed_host.boot, fleet.now_ms)

    def have_all_recorded(limit_per_s):
        return all(
            host.notices.limit_per_s(server.record) == limit_per_s
            for host in fleet.hosts
        )

    fleet.run_until(lambda: have_all_recorded(3.0), 2_000.0)
    server.limit_per_s = None
    fleet.answer(informed_host, server, informed_host.boot, fleet.now_ms)
    fleet.run_until(lambda: have_all_recorded(None), 2_000.0)


def test_hosts_that_a_server_has_not_told_its_limit_keep_it_too():
    fleet = start_fleet(195, [3.0] * 6, 54.0)
    fleet.run(4_000.0)
    before = [server.arrival_count for server in fleet.servers]
    fleet.run(10_000.0)
    for server, count in zip(fleet.servers, before, strict=True):
        assert (server.arrival_count - count) / 10.0 <= 3.3


def acquire_permit(fleet, host, server):
    """Return whether a host gets a permit, with network delays in virtual time."""
    abort = AbortHandle()
    greenlet = gevent.spawn(host.link.permits.acquire, server.record, 200.0, abort)
    with gevent.Timeout(20, AssertionError("the permit was not decided in time")):
        while not greenlet.ready():
            gevent.sleep(0.001)
            fleet.run(1.0)
    return greenlet.get()


@pytest.mark.parametrize("host_count", [14, 30])
def test_hosts_get_permits_of_other_zones_while_their_delegate_is_lost(host_count):
    fleet = start_fleet(host_count, [], 1.0, zone_count=4)
    server = LimitedServer(1, 40.0, "z1")
    for host in fleet.hosts:
        fleet.answer(host, server, host.boot, fleet.now_ms)
    asking = next(
        h for h in fleet.hosts if h.zone == "z2" and not h.link.roster.is_delegate
    )
    fleet.first_delegates("z2")[0].is_up = False
    assert acquire_permit(fleet, asking, server)
    # The asking host still takes the delegate for live.
    assert len(asking.link.roster.live_local_delegates()) == 2
