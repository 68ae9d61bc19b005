"""Limits on requests under random series of faults, in virtual time."""

import random

import pytest

from limited_fleet import LimitedFleet

LIMITS_PER_S = (0.0, 0.2, 0.5, 1.5, 2.1, 3.0, 8.0, 20.0)
LATER_LIMITS_PER_S = (None, 0.2, 1.0, 2.1, 5.0, 10.0)


def kill(fleet, rng):
    for host in rng.sample(fleet.hosts, rng.randint(1, len(fleet.hosts))):
        host.is_up = False


def start_killed(fleet, _rng):
    for host in fleet.hosts:
        if not host.is_up:
            host.start()


def restart(fleet, rng):
    running = fleet.running_hosts()
    for host in rng.sample(running, rng.randint(0, len(running))):
        host.start()


def cut_zone(fleet, rng):
    zone = rng.choice(fleet.zones)
    others = [other for other in fleet.zones if other != zone]
    fleet.partitioned.update(frozenset({zone, other}) for other in others)


def cut_two_zones(fleet, rng):
    fleet.partitioned.add(frozenset(rng.sample(fleet.zones, 2)))


def cut_hosts(fleet, rng):
    count = rng.randint(1, len(fleet.hosts))
    fleet.partitioned.update(rng.sample(fleet.hosts, count))


def heal(fleet, _rng):
    fleet.partitioned.clear()


def lose_datagrams(fleet, rng):
    fleet.loss_ratio = rng.choice((0.0, 0.1, 0.3))


def change_limit(fleet, rng):
    rng.choice(fleet.servers).limit_per_s = rng.choice(LATER_LIMITS_PER_S)


FAULTS = (
    kill,
    start_killed,
    restart,
    cut_zone,
    cut_two_zones,
    cut_hosts,
    heal,
    lose_datagrams,
    change_limit,
)


@pytest.mark.parametrize("seed", range(8))
def test_the_limits_hold_in_a_random_series_of_faults(seed):
    rng = random.Random(seed)
    limits = [rng.choice(LIMITS_PER_S) for _ in range(rng.choice((1, 2, 4)))]
    host_count, zone_count = rng.choice((5, 9, 12, 14, 30)), rng.choice((2, 3, 4, 6))
    rate_per_s = rng.choice((20.0, 60.0, 150.0))
    fleet = LimitedFleet(host_count, limits, rate_per_s, zone_count, seed)
    fleet.run(4_000.0)
    fleet.start_calls()
    for _ in range(rng.randint(8, 14)):
        rng.choice(FAULTS)(fleet, rng)
        fleet.run(rng.choice((500.0, 1_500.0, 3_000.0, 5_000.0)))
    assert fleet.worst_excess() <= 0.0


def test_hosts_that_restart_and_hear_no_other_host_exceed_no_limit():
    fleet = LimitedFleet(12, [2.1], 60.0, zone_count=2)
    fleet.run(4_000.0)
    fleet.start_calls()
    # The only seed of z1.
    fleet.hosts[1].is_up = False
    fleet.partitioned.add(frozenset({"z0", "z1"}))
    fleet.run(3_000.0)
    for host in fleet.hosts:
        if host.zone == "z1" and host.is_up:
            host.start()
    fleet.run(10_000.0)
    assert fleet.worst_excess() <= 0.0
