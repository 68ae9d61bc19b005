"""A release of runners that keep their ids: are they used again?"""

import asyncio
import json
import os
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

from engine import Engine  # noqa: E402
from engine import engine_service  # noqa: E402
from engine import stream_route  # noqa: E402
from fleet import call  # noqa: E402
from fleet import main  # noqa: E402
from fleet import now_s  # noqa: E402
from plain import Plain  # noqa: E402
from plain import plain_route  # noqa: E402
from plain import plain_service  # noqa: E402

ENGINES = 4
TRAFFIC_S = 88.0
# Requests a second of each kind, over all hosts.
RATES = {"write-up": 2.5, "tag": 4.0, "log": 10.0, "check": 4.0}
DRAIN_S = 2.0
EXIT_AFTER_DRAIN_S = 0.2
RESTART_S = 0.5
# Time for which the runners take streams before the first release.
CALM_S = 6.0
GAP_S = 1.0
STARVED_SHARE = 0.25


async def scenario(fleet, has_trouble):
    """Play the case and return how the rule was broken."""
    rng = random.Random(7)
    engines = [Engine(fleet, "engines", fleet.zones[n % 2]) for n in range(ENGINES)]
    desks = [Plain(fleet, "desk", fleet.zones[n % 2]) for n in range(2)]
    fleet.runners = engines + desks
    fleet.publish(
        [
            stream_route("write-ups", "/write-up/", "engines", False, 39000, 1800),
            stream_route("tags", "/tag/", "engines", True, 6000, 1500),
            plain_route("logs", "/log/", "desk", "non_idempotent"),
            plain_route("checks", "/check/", "desk", "idempotent"),
        ],
        [engine_service("engines"), plain_service("desk")],
    )
    await fleet.start(4)
    results = []
    tasks = [
        asyncio.create_task(send_all(fleet, rng, kind, rate, results))
        for kind, rate in RATES.items()
    ]
    if has_trouble:
        await asyncio.sleep(CALM_S)
        # Two releases, of half of the runners each, one runner at a time.
        for engine in engines:
            engine.drain()
            await asyncio.sleep(DRAIN_S + EXIT_AFTER_DRAIN_S)
            await engine.restart(RESTART_S)
            await asyncio.sleep(GAP_S)
        fleet.record.add("all runners have started again")
    restarted_s = now_s()
    await asyncio.gather(*tasks)
    for engine in engines:
        own = [run for run in engine.runs if run["begin"] > restarted_s]
        fleet.record.add(
            "runner",
            engine.id,
            "is",
            engine.state,
            "and began",
            len(own),
            "runs after the last restart",
        )
    return starved(fleet, results)


async def send_all(fleet, rng, kind, rate, results):
    """Send requests of one kind at a constant rate."""
    ends = now_s() + TRAFFIC_S
    pending = set()
    number = 0
    while now_s() < ends:
        host = fleet.hosts[number % len(fleet.hosts)]
        task = asyncio.create_task(send(fleet, rng, host, kind, results))
        pending.add(task)
        number += 1
        await asyncio.sleep(1.0 / rate)
    await asyncio.wait(pending, timeout=20.0)


async def send(fleet, rng, host, kind, results):
    """Send one request and add what came of it to the results."""
    attempt = os.urandom(8).hex()
    headers = [
        ("Host", "models.example"),
        ("X-Attempt-Id", attempt),
        ("Authorization", f"Token {fleet.key}"),
    ]
    body = b""
    method = "GET" if kind == "check" else "POST"
    if kind in ("write-up", "tag"):
        is_long = kind == "write-up"
        events = rng.randint(220, 300) if is_long else rng.randint(2, 8)
        prompt = rng.randint(1500, 3000)
        headers += [
            ("X-Model", "m"),
            ("X-Token-Counts", f"{prompt},{events * 4}"),
            ("X-Length-Hint", str(events * 4)),
            ("X-Prompt-Prefix", f"{attempt[:8]}:{prompt}"),
            ("X-Deadline-Ms", "39000" if is_long else "6000"),
        ]
        body = json.dumps({"events": events}).encode()
    else:
        headers.append(("X-Deadline-Ms", "1500"))
        body = b"y" * 600 if method == "POST" else b""
    sent = now_s()
    fleet.record.add("client sends", kind, attempt, "to", host.name)
    reply = await call(host.front, method, f"/{kind}/1", headers, body, timeout=40.0)
    is_served = reply.status == 200 and reply.is_complete
    results.append((sent, kind, is_served))
    fleet.record.add(
        "client gets",
        kind,
        attempt,
        reply.status,
        "whole" if is_served else "",
        reply.error,
        reply.body[:150] if reply.status != 200 else "",
    )


def starved(fleet, results):
    """Return the kinds that were served less than a quarter as often as all."""
    share_of_all = sum(r[2] for r in results) / len(results)
    found = []
    for kind in RATES:
        own = [r for r in results if r[1] == kind]
        share = sum(r[2] for r in own) / len(own)
        fleet.record.add("served", kind, f"{share:.3f} of {len(own)}")
        if share < STARVED_SHARE * share_of_all:
            found.append(
                f"Starved: {kind} was served {share:.3f} of {len(own)} times, "
                f"all requests {share_of_all:.3f} of {len(results)}"
            )
    return found


if __name__ == "__main__":
    main(scenario, FOLDER)
