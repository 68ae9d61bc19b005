"""Stand-in of a plain service's server."""

import asyncio
import random

from fleet import answer
from fleet import Runner

SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"


class Plain(Runner):
    """Runs each request for some milliseconds and answers with 800 bytes."""

    def __init__(self, fleet, service, zone, slots=6, work_s=0.0225):
        super().__init__(fleet, service, zone, slots)
        self._work_s = work_s
        self._slots = asyncio.Semaphore(slots)
        self._rng = random.Random(len(fleet.runners))

    async def serve(self, message, reader, writer):
        """Answer one request; return whether the connection stays open."""
        if await self.serve_own(message, writer):
            return True
        if refusal := self.check(message):
            writer.write(refusal)
            return True
        attempt = message.get("x-attempt-id")
        async with self._slots:
            run = self.begin_run(attempt)
            await asyncio.sleep(self._work_s * self._rng.uniform(0.5, 1.5))
            self.end_run(run, "complete")
        headers = [("X-Attempt-Id", attempt), ("X-Response-Seal", SEAL)]
        writer.write(answer("200 OK", headers, b"x" * 800))
        await writer.drain()
        return True


def plain_service(name):
    """Return a plain service for a configuration."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 110,
        "protocol": "h1",
        "tls": False,
        "cold_start_s": 0.0,
        "cold_per_s": 0.0,
    }


def plain_route(name, prefix, service, kind, timeout_ms=800, aim_ms=100):
    """Return a route of plain calls for a configuration."""
    return {
        "name": name,
        "host": "models.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": aim_ms,
        "priority": 2,
        "service": service,
        "max_attempts": 2 if kind == "idempotent" else 1,
        "allow_anonymous": False,
        "sticky": False,
        "stream_resume": False,
    }
