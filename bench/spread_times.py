"""Measures how long a change takes until the last host has adopted it.

Production decisions of membership and spread run on a fake network in virtual
time, over many seeds. A withdrawn key and a zone taken out are changes of a
value and are sent like any other. The announcement of a leaving backend server,
which one host received from its engine, is sent with the heartbeats.

Run: ``python bench/spread_times.py [--seeds N] [--zones Z] [--hosts H]``; prints
JSON with the worst and the median over the seeds, in ms.
"""

import argparse
import json
import statistics
import sys
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from fake_network import FakeNetwork  # noqa: E402
from fake_spread import FakePlatform  # noqa: E402
from fake_spread import FakeSpreadHost  # noqa: E402
from fake_spread import zone_value  # noqa: E402
from gypsumfield.platform_api import Member  # noqa: E402

KEY = "availability_zones/zone-0"
SETTLE_MS = 15_000.0
STEP_MS = 10.0
LIMIT_MS = 60_000.0
DELAY_LIMIT_MS = 2.0
ENGINE = "engine-1"

Fleet = dict[str, FakeSpreadHost]


def start(seed: int, zones: int, hosts: int) -> tuple[FakeNetwork, Fleet, FakePlatform]:
    """Return a settled fleet."""
    network = FakeNetwork(seed)
    network.delay_limit_ms = DELAY_LIMIT_MS
    platform = FakePlatform(256)
    platform.put(KEY, zone_value(0))
    fleet = {}
    for zone in range(zones):
        for number in range(hosts):
            host_id = f"z{zone}-h{number:02}"
            fleet[host_id] = FakeSpreadHost(
                network, host_id, f"zone-{zone}", 1, platform
            )
    engine = Member(
        ENGINE, "backend", "zone-0", "127.0.0.1:9", "live", "b1", ("service",)
    )
    listed = [engine, *(host.as_listed() for host in fleet.values())]
    for host in fleet.values():
        host.membership.merge_platform_list(listed, network.now_ms)
    # Seeds differ in the phase of the heartbeat rounds.
    network.advance(SETTLE_MS + network.random.uniform(0, 3_000))
    return network, fleet, platform


def wait_until(network: FakeNetwork, is_done: Callable[[], bool]) -> float:
    """Return how long it took, in ms, or `LIMIT_MS` when it did not happen."""
    started_ms = network.now_ms
    while not is_done():
        if network.now_ms - started_ms >= LIMIT_MS:
            return LIMIT_MS
        network.advance(STEP_MS)
    return network.now_ms - started_ms


def change(network: FakeNetwork, fleet: Fleet, platform: FakePlatform) -> float:
    """Return the time, in ms, until all running hosts have one changed value."""
    platform.put(KEY, zone_value(1))
    running = [host for host in fleet.values() if host.is_running]
    revision = platform.revision
    return wait_until(
        network, lambda: all(host.store.revision >= revision for host in running)
    )


def clean(seed: int, zones: int, hosts: int) -> float:
    """Measure without faults."""
    return change(*start(seed, zones, hosts))


def lossy(seed: int, zones: int, hosts: int) -> float:
    """Measure while one message in ten is lost."""
    network, fleet, platform = start(seed, zones, hosts)
    network.drop_probability = 0.1
    return change(network, fleet, platform)


def watchers_die(seed: int, zones: int, hosts: int) -> float:
    """Measure when all watchers of the first zone crash at the change."""
    network, fleet, platform = start(seed, zones, hosts)
    for host in watchers(network, fleet):
        if host.zone == "zone-0":
            host.crash()
    return change(network, fleet, platform)


def watchers_cut_off(seed: int, zones: int, hosts: int) -> float:
    """Measure when all watchers of all zones lose the platform at the change."""
    network, fleet, platform = start(seed, zones, hosts)
    platform.unreachable = frozenset(host.host_id for host in watchers(network, fleet))
    return change(network, fleet, platform)


def zone_cut_off(seed: int, zones: int, hosts: int) -> float:
    """Measure when the first zone reaches other zones but not the platform."""
    network, fleet, platform = start(seed, zones, hosts)
    platform.unreachable = frozenset(
        name for name, host in fleet.items() if host.zone == "zone-0"
    )
    return change(network, fleet, platform)


def leaving_backend(seed: int, zones: int, hosts: int) -> float:
    """Measure when one host reports that an engine leaves and the list lacks it."""
    network, fleet, _ = start(seed, zones, hosts)
    first = next(iter(fleet.values()))
    first.membership.backends.report(ENGINE, "b1", "leaving")
    first.send_urgent()
    return wait_until(
        network,
        lambda: not any(host.membership.backends.live() for host in fleet.values()),
    )


def dead_host(seed: int, zones: int, hosts: int) -> float:
    """Measure until no host of its zone records a crashed host as live."""
    network, fleet, _ = start(seed, zones, hosts)
    name, host = next(iter(fleet.items()))
    host.crash()
    others = [other for other in fleet.values() if other.zone == host.zone]
    return wait_until(
        network,
        lambda: (
            not any(
                name in other.membership.live_hosts() for other in others if other.is_up
            )
        ),
    )


def watchers(network: FakeNetwork, fleet: Fleet) -> list[FakeSpreadHost]:
    """Return the hosts that query the platform now."""
    return [
        host
        for host in fleet.values()
        if host.spread.is_watcher(host.zone_hosts(), network.now_ms)
    ]


SCENARIOS = (
    clean,
    lossy,
    watchers_die,
    watchers_cut_off,
    zone_cut_off,
    leaving_backend,
    dead_host,
)


def main() -> None:
    """Run all scenarios over all seeds and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--zones", type=int, default=4)
    parser.add_argument("--hosts", type=int, default=8, help="hosts in each zone")
    arguments = parser.parse_args()
    figures = {}
    for scenario in SCENARIOS:
        times_ms = [
            scenario(seed, arguments.zones, arguments.hosts)
            for seed in range(arguments.seeds)
        ]
        figures[scenario.__name__] = {
            "worst_ms": round(max(times_ms)),
            "median_ms": round(statistics.median(times_ms)),
        }
    sizes = {
        "seeds": arguments.seeds,
        "zones": arguments.zones,
        "hosts_per_zone": arguments.hosts,
    }
    print(json.dumps({**sizes, "scenarios": figures}, indent=2))


if __name__ == "__main__":
    main()
