"""Measures the cost of the account and slot limits on one host at design size.

Prints one JSON object with times per operation and the memory of the state.
"""

import json
import time
import tracemalloc
from collections.abc import Callable

from gypsumfield.decisions.ownership import ZoneView
from gypsumfield.decisions.quotas import QuotaLedger
from gypsumfield.decisions.quotas import QuotaView
from gypsumfield.decisions.slots import BackendSlots
from gypsumfield.decisions.slots import HeldLease
from gypsumfield.decisions.token_pools import AccountLimit
from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.interfaces import SlotOutcome
from gypsumfield.interfaces import SlotUse

HOSTS_PER_ZONE = 62
ZONES = frozenset(f"zone-{number}" for number in range(8))
ACCOUNTS = tuple(f"account-{number}" for number in range(1_100))
LIMIT = AccountLimit(6.0, 60.0)
HOLD_DOWN_MS = 10_000.0
TICK_MS = 250.0
DEMAND = GenerationDemand("r", "assistant", "dawn", "vendors", 100, 1_000)
RUNNING_COUNT = 20
REPEATS = 2_000


def time_us(function: Callable[[int], object], repeats: int) -> float:
    """Return the mean time of one call in microseconds."""
    started_s = time.perf_counter()
    for number in range(repeats):
        function(number)
    return round((time.perf_counter() - started_s) / repeats * 1e6, 2)


def measure_quotas() -> dict[str, float]:
    """Measure ticks, membership changes and the taking of tokens, over all accounts."""
    hosts = frozenset(f"entry-{number}" for number in range(HOSTS_PER_ZONE))
    limits = dict.fromkeys(ACCOUNTS, LIMIT)
    tracemalloc.start()
    ledger = QuotaLedger("entry-0", 0.0, HOLD_DOWN_MS)
    view = QuotaView("zone-0", ZONES, ZoneView(hosts))
    now_ms = 0.0
    while now_ms < 3 * HOLD_DOWN_MS:
        now_ms += TICK_MS
        ledger.update(view, limits, now_ms)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    quiet_us = time_us(lambda _: ledger.update(view, limits, now_ms), 100)
    changed = view._replace(zone_view=ZoneView(hosts | {"entry-new"}))
    change_us = time_us(lambda _: ledger.update(changed, limits, now_ms), 1)
    held = [name for name in ACCOUNTS if ledger.share_of(name, now_ms) > 0.0]

    def take(number: int) -> None:
        at_ms = now_ms + number / REPEATS
        ledger.pool_of(held[number % len(held)], LIMIT, at_ms).take()

    return {
        "accounts": len(ACCOUNTS),
        "hosts_per_zone": HOSTS_PER_ZONE,
        "accounts_held_here": len(held),
        "memory_kb": round(memory_bytes / 1_000, 1),
        "quiet_tick_us": quiet_us,
        "membership_change_us": change_us,
        "take_us": time_us(take, REPEATS),
    }


def measure_slots() -> dict[str, float]:
    """Measure a grant and its return while `RUNNING_COUNT` requests run."""
    slots = BackendSlots()
    slots.limit = 2 * RUNNING_COUNT
    slots.is_cold = False
    for number in range(RUNNING_COUNT):
        slots.renew(HeldLease(f"running-{number}", "entry-1", "", DEMAND), 0.0)
    use = SlotUse(SlotOutcome.COMPLETED, 10, 50.0)

    def grant(number: int) -> None:
        slots.request(HeldLease(f"lease-{number}", "entry-1", "", DEMAND), 10.0)
        slots.close_lease(f"lease-{number}", use, 10.0 * number)

    return {
        "running_count": RUNNING_COUNT,
        "grant_and_return_us": time_us(grant, REPEATS),
        "renewal_us": time_us(
            lambda number: slots.renew(
                HeldLease("running-1", "entry-1", "", DEMAND, number), 20.0
            ),
            REPEATS,
        ),
    }


def main() -> None:
    """Run everything and print the figures as JSON."""
    print(json.dumps({"quotas": measure_quotas(), "slots": measure_slots()}, indent=2))


if __name__ == "__main__":
    main()
