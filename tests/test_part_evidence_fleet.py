"""Evidence on deadly parts in fleets of up to 195 hosts, in virtual time."""

import random

import pytest

from gypsumfield.decisions.part_crashes import PartCrash
from gypsumfield.decisions.part_crashes import Suspicion
from gypsumfield.gateway.host_updates import WirePart
from gypsumfield.gateway.host_updates import WirePartCrash
from virtual_fleet import VirtualFleet

FIRST, OWN, DEADLY = 11, 22, 33
# Shortest time of all installations within which hosts have to act.
CONTACT_MS = 3_000.0
CONTROL_BYTES_PER_S = 3_000.0
SETTLING_MS = 8_000.0


def knows(host, parts=(FIRST, OWN, DEADLY)):
    assessment = host.part_guard.evidence.assess(parts, host.fleet.now_ms)
    return assessment.suspicion is Suspicion.CONDEMNED


def record_crash(host, number, parts=(FIRST, OWN, DEADLY)):
    """Let a host see a crash as its requests would show it."""
    crash = PartCrash(number, host.fleet.now_ms, True)
    host.part_guard.record_crash(parts, crash, f"e{number}")


def crash_engines(fleet, hosts, count=2):
    for number, host in enumerate(hosts[:count]):
        record_crash(host, number)
        fleet.run(200.0)


@pytest.fixture(params=[9, 60, 195])
def fleet(request):
    virtual = VirtualFleet(request.param, zone_count=4, seed=3)
    virtual.run(SETTLING_MS)
    return virtual


def test_all_hosts_know_a_deadly_part_within_contact_time(fleet):
    hosts = random.Random(1).sample(fleet.hosts, 2)
    crash_engines(fleet, hosts)
    fleet.run_until(lambda: all(map(knows, fleet.hosts)), CONTACT_MS)


def test_all_hosts_know_a_deadly_content_among_many_that_were_in_flight(fleet):
    content = 10**9
    reporters = random.Random(4).sample(fleet.hosts, 2)
    for number, host in enumerate(reporters):
        in_flight = [content, *range(1000 * number, 1000 * number + 20)]
        host.part_guard.store_parts(
            [
                WirePart(part, [WirePartCrash(number, 0, True)], None, True)
                for part in in_flight
            ],
            "crash",
        )
        fleet.run(200.0)
        for part in in_flight[1:]:
            host.part_guard.store_parts([WirePart(part, [], 0, True)], "answer")
    fleet.run_until(
        lambda: all(knows(host, [content]) for host in fleet.hosts), CONTACT_MS
    )


def test_all_hosts_know_a_deadly_part_although_datagrams_are_lost(fleet):
    fleet.loss_ratio = 0.1
    crash_engines(fleet, random.Random(2).sample(fleet.hosts, 2))
    fleet.run_until(lambda: all(map(knows, fleet.hosts)), CONTACT_MS)


def test_an_answer_at_any_host_clears_a_part_at_all_hosts(fleet):
    crash_engines(fleet, fleet.hosts)
    fleet.run(CONTACT_MS)
    fleet.hosts[-1].part_guard.record_answered_parts([FIRST, OWN], fleet.now_ms)
    fleet.run_until(
        lambda: all(knows(host, [DEADLY]) for host in fleet.hosts), CONTACT_MS
    )


def test_a_zone_behind_a_partition_learns_of_the_part_when_it_heals(fleet):
    for zone in ("z0", "z1", "z2"):
        fleet.partitioned.add(frozenset({"z3", zone}))
    fleet.run(2_000.0)
    crash_engines(fleet, [host for host in fleet.hosts if host.zone == "z0"])
    fleet.run(6_000.0)
    isolated = [host for host in fleet.hosts if host.zone == "z3"]
    assert not any(map(knows, isolated))
    fleet.partitioned.clear()
    fleet.run_until(lambda: all(map(knows, fleet.hosts)), 2 * CONTACT_MS)


def test_a_restarted_host_knows_the_part_when_it_has_a_configuration(fleet):
    crash_engines(fleet, fleet.hosts)
    fleet.run(30_000.0)
    for host in fleet.hosts[4:8]:
        host.start()
        fleet.run_until(lambda host=host: host.catalogue.publication, 10_000.0)
        fleet.run_until(lambda host=host: knows(host), 1_000.0)


def test_evidence_costs_a_host_few_bytes(fleet):
    _, quiet = fleet.count_sent(4_000.0)
    for number in range(6):
        parts = (number, 100 + number, 200 + number, 300 + number)
        record_crash(fleet.hosts[number], number, parts)
    _, busy = fleet.count_sent(4_000.0)
    median = len(busy) // 2
    assert busy[median] - quiet[median] < CONTROL_BYTES_PER_S
