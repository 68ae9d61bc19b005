"""Processor time that a zone's first delegate needs for advice, by size of the fleet.

    python bench/advice_cost.py --hosts 24 --hosts 83 --engines 39

Prints one JSON object per size: milliseconds per question, and the share of a core at
the given rate of questions.
"""

import argparse
import json
import random
import sys
import time

from gypsumfield.clock import ManualClock
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.engine_reports import EngineReportCache
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.ledger import ServerLoad
from gypsumfield.gateway.placing import Placer
from gypsumfield.gateway.published_items import Decoders
from gypsumfield.gateway.published_items import StoreItem
from gypsumfield.gateway.scheduling import PlacementQuery
from gypsumfield.gateway.server_notices import NoticeDependencies
from gypsumfield.gateway.server_notices import ServerNotices
from gypsumfield.gateway.server_placement import PlacementDependencies
from gypsumfield.interfaces import discard_event
from gypsumfield.platform import documents

ZONES = 6
QUESTION_COUNT = 300
RUNS_PER_HOST = 3


def build_placer(
    host_count: int, engine_count: int, rng: random.Random
) -> tuple[Placer, ManualClock]:
    """Return the placer of a delegate that has its zone's load reports, and its clock.

    Args:
        host_count: Hosts of the zone that have reported their runs.
        engine_count: Engines of the fleet, over all zones.
        rng: Distributes the runs, and breaks ties of the placer.
    """
    manual = ManualClock(1_000.0)
    clock = manual.as_clock()
    catalogue = Catalogue(
        Decoders(
            documents.is_configuration_key,
            documents.is_server_key,
            documents.evacuated_zone,
            documents.decode_publication,
            documents.decode_server,
        ),
        clock,
        discard_event,
    )
    items = []
    for number in range(engine_count):
        value = {
            "service": "engine",
            "address": f"10.0.0.{number + 1}:80",
            "zone": f"z{number % ZONES}",
            "state": "ready",
            "slot_count": 24,
            "cold_remaining_ms": 0,
        }
        data = json.dumps(value).encode()
        items.append(StoreItem(f"servers/e{number}", number + 1, data))
    catalogue.apply(items, engine_count, "bench")
    ledger = Ledger()
    for host in range(host_count):
        engines = rng.sample(range(engine_count), RUNS_PER_HOST)
        loads = {f"e{number}": ServerLoad(1, 3_600, 0) for number in engines}
        ledger.update_peer_loads(f"host-{host}", loads, 1_000.0)
    placer = Placer(
        PlacementDependencies(
            availability_zone="z0",
            catalogue=catalogue,
            ledger=ledger,
            report_cache=EngineReportCache(catalogue, clock),
            notices=ServerNotices(NoticeDependencies(catalogue, clock, discard_event)),
            permit_wait_ms=lambda server: 0.0,
            cold_rate_limit=lambda server: 0,
            is_large_fleet=lambda: True,
            clock=clock,
            rng=rng,
            emit=discard_event,
        )
    )
    return placer, manual


def measure(host_count: int, engine_count: int, rate_per_s: float, seed: int) -> dict:
    """Return the processor time of one question and the share of a core at a rate.

    Args:
        host_count: Hosts of the zone.
        engine_count: Engines of the fleet.
        rate_per_s: Questions per second.
        seed: Seed of the random numbers.
    """
    placer, clock = build_placer(host_count, engine_count, random.Random(seed))
    started_s = time.process_time()
    for number in range(QUESTION_COUNT):
        placer.advise(PlacementQuery(number, "engine", 3_600, 3_000, 1_800.0))
        clock.advance(1_000.0 / rate_per_s)
    cost_ms = (time.process_time() - started_s) * 1_000.0 / QUESTION_COUNT
    return {
        "hosts_in_zone": host_count,
        "engines": engine_count,
        "question_ms": round(cost_ms, 3),
        "core_share": round(cost_ms * rate_per_s / 1_000.0, 4),
        "questions_per_s": rate_per_s,
    }


def main() -> None:
    """Measure each size and print one line for it."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--hosts", action="append", type=int, help="hosts of the zone")
    parser.add_argument("--engines", type=int, default=39)
    parser.add_argument(
        "--per-s", type=float, default=14.0, help="questions per second"
    )
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for host_count in arguments.hosts or [24, 83]:
        result = measure(host_count, arguments.engines, arguments.per_s, arguments.seed)
        sys.stdout.write(json.dumps(result) + "\n")


if __name__ == "__main__":
    main()
