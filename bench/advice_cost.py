"""Processor time that a zone's first delegate spends on advice, by size of the fleet.

    python bench/advice_cost.py --hosts 24 --hosts 83 --engines 39

Prints one JSON object a size: milliseconds for one question, and the share of a core at
the given questions a second.
"""

import argparse
import json
import random
import sys
import time

from gypsumfield.clock import ManualClock
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.catalogue import Decoders
from gypsumfield.gateway.catalogue import StoreItem
from gypsumfield.gateway.engine_reports import EngineReportCache
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.ledger import ServerLoad
from gypsumfield.gateway.news import PlaceQuestion
from gypsumfield.gateway.placing import PlacementDependencies
from gypsumfield.gateway.placing import Placer
from gypsumfield.gateway.server_notices import NoticeDependencies
from gypsumfield.gateway.server_notices import ServerNotices
from gypsumfield.platform import documents
from gypsumfield.ports import discard_event

ZONES = 6
QUESTIONS = 300
RUNS_A_HOST = 3


def build_placer(
    host_count: int, engine_count: int, rng: random.Random
) -> tuple[Placer, ManualClock]:
    """Return the placer of a delegate that hears a zone's hosts, and its clock."""
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
        engines = rng.sample(range(engine_count), RUNS_A_HOST)
        loads = {f"e{number}": ServerLoad(1, 3_600, 0) for number in engines}
        ledger.update_peer_loads(f"host-{host}", loads, 1_000.0)
    placer = Placer(
        PlacementDependencies(
            availability_zone="z0",
            catalogue=catalogue,
            ledger=ledger,
            report_cache=EngineReportCache(catalogue, clock),
            notices=ServerNotices(NoticeDependencies(catalogue, clock, discard_event)),
            cold_allowed=lambda server: 0,
            is_large_fleet=lambda: True,
            clock=clock,
            rng=rng,
            emit=discard_event,
        )
    )
    return placer, manual


def measure(host_count: int, engine_count: int, per_s: float, seed: int) -> dict:
    """Return the cost of one question and of a stream of them."""
    placer, clock = build_placer(host_count, engine_count, random.Random(seed))
    started_s = time.process_time()
    for number in range(QUESTIONS):
        placer.advise(PlaceQuestion(number, "engine", 3_600, 3_000, 1_800.0))
        clock.advance(1_000.0 / per_s)
    cost_ms = (time.process_time() - started_s) * 1_000.0 / QUESTIONS
    return {
        "hosts_in_zone": host_count,
        "engines": engine_count,
        "question_ms": round(cost_ms, 3),
        "core_share": round(cost_ms * per_s / 1_000.0, 4),
        "questions_per_s": per_s,
    }


def main() -> None:
    """Measure each size."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--hosts", action="append", type=int, help="hosts of the zone")
    parser.add_argument("--engines", type=int, default=39)
    parser.add_argument("--per-s", type=float, default=14.0, help="questions a second")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for host_count in arguments.hosts or [24, 83]:
        found = measure(host_count, arguments.engines, arguments.per_s, arguments.seed)
        sys.stdout.write(json.dumps(found) + "\n")


if __name__ == "__main__":
    main()
