"""The link between the hosts of a large fleet, in virtual time."""

import pytest

from gypsumfield.gateway.ledger import Run
from gypsumfield.gateway.roster import HOST_RETENTION_MS
from gypsumfield.gateway.settings import EdgeBounds
from virtual_fleet import COLD_PER_S
from virtual_fleet import VirtualFleet

# Limits that operators are promised for a configuration and for an evacuation.
CONFIGURATION_MS = 4_000.0
EVACUATION_MS = 5_000.0
START_MS = 4_000.0
BOUNDS = EdgeBounds()
COLD_BOUND = int(COLD_PER_S * BOUNDS.cold_factor + BOUNDS.cold_extra)


def start_fleet(host_count, seed=1):
    fleet = VirtualFleet(host_count, seed=seed)
    fleet.run(START_MS)
    return fleet


@pytest.mark.parametrize("host_count", [30, 195])
def test_a_simultaneous_start_converges_on_first_delegates(host_count):
    fleet = VirtualFleet(host_count)
    fleet.run_until(
        lambda: fleet.is_converged() and fleet.all_have_revision(fleet.revision),
        START_MS,
    )
    fleet.run(2_000.0)
    assert fleet.is_converged()
    for host in fleet.hosts:
        assert host.link.roster.host_count == host_count
        assert host.link.host_count() is not None


def test_what_an_ordinary_host_sends_does_not_grow_with_the_fleet():
    rates = {}
    for host_count in (30, 195, 500):
        messages, sizes = start_fleet(host_count).count_sent(1_600.0)
        rates[host_count] = (messages[len(messages) // 2], sizes[len(sizes) // 2])
    assert rates[500][0] <= rates[30][0] * 1.1
    assert rates[500][1] <= rates[30][1] * 1.1


def test_few_hosts_call_the_store_when_all_start_at_once():
    fleet = start_fleet(195)
    callers = [host for host in fleet.hosts if host.store_calls]
    assert len(callers) <= 12
    watching = [host for host in fleet.hosts if host.link.should_watch_store()]
    assert 1 <= len(watching) <= 3


@pytest.mark.parametrize("loss_ratio", [0.0, 0.1])
def test_a_configuration_reaches_every_host_in_time(loss_ratio):
    fleet = start_fleet(195)
    fleet.loss_ratio = loss_ratio
    for version in range(2, 6):
        revision = fleet.publish(version)
        fleet.run_until(
            lambda expected=revision: fleet.all_have_revision(expected),
            CONFIGURATION_MS,
        )


@pytest.mark.parametrize("failure", ["kill", "cut"])
def test_the_loss_of_both_delegates_of_a_zone_delays_no_change_for_long(failure):
    fleet = start_fleet(195)
    first = fleet.first_delegates("z2")[0]
    both = [
        host
        for host in fleet.hosts
        if host.name in first.link.roster.local_delegates() and host.zone == "z2"
    ]
    assert len(both) == 2
    for host in both:
        if failure == "kill":
            host.is_up = False
        else:
            fleet.partitioned.add(host)
    revision = fleet.put("op/evacuate/z4", {})
    others = [host for host in fleet.hosts if host not in both]
    fleet.run_until(lambda: fleet.all_have_revision(revision, others), EVACUATION_MS)
    for host in both:
        if failure == "kill":
            host.start()
        else:
            fleet.partitioned.discard(host)
    fleet.run_until(fleet.is_converged, 10_000.0)
    fleet.run_until(lambda: fleet.all_have_revision(fleet.revision), CONFIGURATION_MS)


@pytest.mark.parametrize("is_watching", [True, False])
def test_a_partitioned_zone_continues_alone_and_rejoins(is_watching):
    fleet = start_fleet(195)
    zones = {host.zone for host in fleet.hosts}
    watching = {host.zone for host in fleet.hosts if host.link.should_watch_store()}
    isolated = min(watching if is_watching else zones - watching)
    fleet.partitioned.update(frozenset({isolated, zone}) for zone in zones - {isolated})
    revision = fleet.publish(2)
    fleet.run_until(lambda: fleet.all_have_revision(revision), CONFIGURATION_MS)
    fleet.partitioned.clear()
    fleet.run(8_000.0)
    assert fleet.is_converged()
    watching = [host for host in fleet.hosts if host.link.should_watch_store()]
    assert 1 <= len(watching) <= 3
    revision = fleet.publish(3)
    fleet.run_until(lambda: fleet.all_have_revision(revision), CONFIGURATION_MS)


def test_hosts_that_the_store_refuses_receive_changes_from_others():
    fleet = start_fleet(195)
    fleet.store_refused_hosts.update(
        host
        for host in fleet.hosts
        if host.link.roster.is_delegate and host.zone < "z4"
    )
    revision = fleet.publish(2)
    fleet.run_until(lambda: fleet.all_have_revision(revision), CONFIGURATION_MS)


def test_an_unreachable_store_is_not_polled_by_every_host():
    fleet = start_fleet(195)
    fleet.store_refused_hosts.update(fleet.hosts)
    before = sum(host.store_calls for host in fleet.hosts)
    fleet.run(6_000.0)
    # Twelve delegates and a few others, each with four calls a second.
    assert sum(host.store_calls for host in fleet.hosts) - before <= 6 * 4 * 40
    revision = fleet.publish(2)
    fleet.store_refused_hosts.clear()
    fleet.run_until(lambda: fleet.all_have_revision(revision), CONFIGURATION_MS)


def test_hosts_reach_the_store_when_it_refuses_all_delegates():
    fleet = start_fleet(195)
    fleet.store_refused_hosts.update(
        host for host in fleet.hosts if host.link.roster.is_delegate
    )
    fleet.run(2_000.0)
    revision = fleet.publish(2)
    fleet.run_until(lambda: fleet.all_have_revision(revision), CONFIGURATION_MS)


def test_the_leaving_notice_of_a_server_reaches_every_host():
    fleet = start_fleet(195)
    fleet.put(
        "servers/e1",
        {
            "service": "engine",
            "address": "10.9.0.1:80",
            "zone": "z1",
            "state": "ready",
            "born": 7,
        },
    )
    fleet.run_until(lambda: fleet.all_have_revision(fleet.revision), CONFIGURATION_MS)
    informed_host = next(h for h in fleet.hosts if not h.link.roster.is_delegate)
    informed_host.catalogue.mark_leaving("e1", "answer", 7)

    def have_all_received():
        return all(
            host.catalogue.is_leaving(host.catalogue.find_server("e1"))
            for host in fleet.hosts
        )

    fleet.run_until(have_all_received, 2_000.0)


def test_every_host_receives_all_runs_without_counting_its_own_twice():
    fleet = start_fleet(60)
    for host in fleet.hosts:
        host.ledger.begin(Run("e1", 100, 50))
    fleet.run(2_000.0)
    for host in fleet.hosts:
        assert host.ledger.load("e1", fleet.now_ms).run_count == 60


def put_cold_server(fleet):
    fleet.put(
        "servers/e1",
        {
            "service": "engine",
            "address": "10.9.0.1:80",
            "zone": "z1",
            "state": "ready",
            "cold_remaining_ms": 60_000,
            "born": 7,
        },
    )


def cold_total(fleet):
    total = 0
    for host in fleet.running_hosts():
        record = host.catalogue.find_server("e1")
        if record is not None:
            total += host.link.cold_rate_limit(record.server)
    return total


@pytest.mark.parametrize("seed", range(2))
def test_the_bound_of_a_cold_server_holds_through_crashes_and_partitions(seed):
    fleet = VirtualFleet(195, seed=seed)
    put_cold_server(fleet)
    largest_total = 0
    for second in range(24):
        if second == 8:
            for host in fleet.rng.sample(fleet.hosts, 30):
                host.is_up = False
        if second == 12:
            for host in fleet.hosts:
                if not host.is_up:
                    host.start()
            fleet.partitioned.update(fleet.rng.sample(fleet.hosts, 30))
        if second == 18:
            fleet.partitioned.clear()
        fleet.run(1_000.0)
        largest_total = max(largest_total, cold_total(fleet))
        assert cold_total(fleet) <= COLD_BOUND
    assert largest_total > 0


def test_bounds_that_change_with_the_settings_apply_at_once():
    fleet = start_fleet(30)
    put_cold_server(fleet)
    fleet.run(1_000.0)
    assert cold_total(fleet) > 0
    for host in fleet.hosts:
        host.link.bounds = EdgeBounds(cold_factor=0.0, cold_extra=0.0)
    fleet.run(1_000.0)
    assert cold_total(fleet) == 0


def test_a_recently_started_host_takes_no_part_in_common_bounds():
    fleet = start_fleet(195)
    host = fleet.hosts[-1]
    host.start()
    assert host.link.host_count() is None
    fleet.run_until(lambda: host.link.host_count() is not None, 3_000.0)
    assert host.link.host_count() == 195


def test_a_partitioned_host_retains_the_host_count():
    fleet = start_fleet(60)
    host = fleet.hosts[-1]
    fleet.partitioned.add(host)
    fleet.run(HOST_RETENTION_MS / 4)
    assert host.link.host_count() == 60
