"""Measures cost and latency of the link between the hosts of a large fleet.

The production code of the link runs in virtual time: 6 zones, 0.1 ms within a zone and
0.5 ms between zones. An evacuation and the withdrawal of a key are changes of a value,
like a configuration.

Run: ``python bench/large_fleet.py [--hosts N ...] [--seed S]``; prints a JSON line for
each size: messages and bytes a second of the median and of the busiest host, and the
time in ms until the last host has received a change.
"""

import argparse
import json
import sys
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from virtual_fleet import VirtualFleet  # noqa: E402

START_MS = 7_000.0
WINDOW_MS = 3_200.0
LIMIT_MS = 20_000.0
LOSS_RATIO = 0.1
SIZES = (30, 195, 500)

Measure = Callable[[VirtualFleet], float]


def measure_change(fleet: VirtualFleet) -> float:
    """Return the ms until the last host has received a change of the store."""
    fleet.version += 1
    revision = fleet.publish(fleet.version)
    return fleet.run_until(lambda: fleet.all_have_revision(revision), LIMIT_MS)


def measure_leaving_notice(fleet: VirtualFleet) -> float:
    """Return the ms until all hosts have a leaving notice that one host received."""
    fleet.version += 1
    server_id = f"e{fleet.version}"
    server = {
        "service": "engine",
        "address": f"10.9.0.{fleet.version}:80",
        "zone": "z1",
        "state": "ready",
        "born": 7,
    }
    fleet.put(f"servers/{server_id}", server)
    fleet.run_until(lambda: fleet.all_have_revision(fleet.revision), LIMIT_MS)
    fleet.running_hosts()[-1].catalogue.mark_leaving(server_id, "answer", 7)

    def have_all_received() -> bool:
        return all(
            host.catalogue.is_leaving(host.catalogue.find_server(server_id))
            for host in fleet.running_hosts()
        )

    return fleet.run_until(have_all_received, LIMIT_MS)


def measure_change_without_delegates(fleet: VirtualFleet) -> float:
    """Return the ms for a change that is published as a zone loses both delegates."""
    first = fleet.first_delegates("z2")[0]
    names = first.link.roster.local_delegates()
    lost = [host for host in fleet.hosts if host.name in names]
    for host in lost:
        host.is_up = False
    elapsed_ms = measure_change(fleet)
    for host in lost:
        host.start()
    fleet.run_until(
        lambda: fleet.is_converged() and fleet.all_have_revision(fleet.revision),
        LIMIT_MS,
    )
    return elapsed_ms


def measure_change_in_partition(fleet: VirtualFleet) -> float:
    """Return the ms for a change while a zone without a store watch is partitioned."""
    zones = {host.zone for host in fleet.hosts}
    watching = {host.zone for host in fleet.hosts if host.link.should_watch_store()}
    isolated = min(zones - watching)
    fleet.partitioned.update(frozenset({isolated, zone}) for zone in zones - {isolated})
    elapsed_ms = measure_change(fleet)
    fleet.partitioned.clear()
    fleet.run_until(fleet.is_converged, LIMIT_MS)
    return elapsed_ms


def measure_change_over_bridge(fleet: VirtualFleet) -> float:
    """Return the ms for a change while two zones reach each other only via the rest."""
    fleet.partitioned.add(frozenset({"z0", "z1"}))
    fleet.run(LIMIT_MS / 4)
    elapsed_ms = measure_change(fleet)
    fleet.partitioned.clear()
    return elapsed_ms


def measure(host_count: int, seed: int) -> dict[str, float]:
    """Return the measured values of a fleet of one size."""
    fleet = VirtualFleet(host_count, seed=seed)
    convergence_ms = fleet.run_until(
        lambda: fleet.is_converged() and fleet.all_have_revision(fleet.revision),
        LIMIT_MS,
    )
    fleet.run(START_MS)
    messages, sizes = fleet.count_sent(WINDOW_MS)
    figures: dict[str, float] = {
        "hosts": host_count,
        "start_ms": convergence_ms,
        "messages_median": messages[len(messages) // 2],
        "messages_busiest": messages[-1],
        "bytes_median": sizes[len(sizes) // 2],
        "bytes_busiest": sizes[-1],
    }
    measures: dict[str, Measure] = {
        "change_ms": measure_change,
        "leaving_ms": measure_leaving_notice,
        "change_without_delegates_ms": measure_change_without_delegates,
        "change_parted_zone_ms": measure_change_in_partition,
        "change_bridge_ms": measure_change_over_bridge,
    }
    for name, run in measures.items():
        figures[name] = run(fleet)
        fleet.run(START_MS)
    fleet.loss_ratio = LOSS_RATIO
    figures["change_lossy_ms"] = max(measure_change(fleet) for _ in range(4))
    figures["leaving_lossy_ms"] = measure_leaving_notice(fleet)
    return figures


def main() -> None:
    """Measure fleets of each size and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=list(SIZES))
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for host_count in arguments.hosts:
        figures = measure(host_count, arguments.seed)
        print(json.dumps({name: round(value, 1) for name, value in figures.items()}))


if __name__ == "__main__":
    main()
