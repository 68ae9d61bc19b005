"""Measures what the limits that servers name cost the hosts, and what servers get.

The production code of limits and permits runs in virtual time. Each call takes a random
server and goes to no other one after a refusal.

Run: ``python bench/request_limits.py [--seed S]``; prints a JSON line for each fleet,
without limits and with a limit of 3 requests a second for each server.
"""

import argparse
import json
import statistics
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from limited_fleet import LimitedFleet  # noqa: E402

START_MS = 4_000.0
WARM_UP_MS = 6_000.0
WINDOW_S = 10.0
LIMIT_PER_S = 3.0
# Hosts, servers, calls a second over all hosts, availability zones.
FLEETS = ((9, 4, 10.5, 4), (195, 6, 54.0, 6))


def measure(
    host_count: int,
    server_count: int,
    rate_per_s: float,
    zone_count: int,
    limit_per_s: float | None,
    seed: int,
) -> dict[str, object]:
    """Return the requests a second at each server and the bytes that hosts send."""
    limits = [limit_per_s] * server_count
    fleet = LimitedFleet(host_count, limits, rate_per_s, zone_count, seed)
    fleet.run(START_MS)
    fleet.start_calls()
    fleet.run(WARM_UP_MS)
    before = [server.arrival_count for server in fleet.servers]
    _, bytes_per_s = fleet.count_sent(1_000.0 * WINDOW_S)
    rates = [
        round((server.arrival_count - count) / WINDOW_S, 1)
        for server, count in zip(fleet.servers, before, strict=True)
    ]
    return {
        "hosts": host_count,
        "limit_per_s": limit_per_s,
        "requests_per_s": rates,
        "bytes_per_s_mean": round(statistics.mean(bytes_per_s)),
        "bytes_per_s_median": round(statistics.median(bytes_per_s)),
        "bytes_per_s_busiest": round(bytes_per_s[-1]),
    }


def main() -> None:
    """Measure each fleet with and without limits and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    for fleet in FLEETS:
        for limit_per_s in (None, LIMIT_PER_S):
            print(json.dumps(measure(*fleet, limit_per_s, seed)))


if __name__ == "__main__":
    main()
