"""Stand-in of a model runner: slots, prefill, events, moves and reports."""

import asyncio
import json

from fleet import answer
from fleet import json_answer
from fleet import now_s
from fleet import REPORT_LAG_S
from fleet import reset
from fleet import Runner

PREFILL_TOKENS_PER_S = 14_000
STEP_S = 0.007
TOKENS_PER_EVENT = 4
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"


class Engine(Runner):
    """Runs streams; the request's body names the number of events as `events`.

    Attributes:
        drops_closed: Whether it drops a request whose connection has closed.
        loses: Takes an attempt id; returns whether the answer to it is lost: its
            connection is reset while the request goes on.
    """

    def __init__(self, fleet, service, zone, slots=32):
        super().__init__(fleet, service, zone, slots)
        self.drops_closed = True
        self.loses = lambda _attempt: False
        self.loses_at = lambda _attempt, _number: False
        self.tasks = {}
        self.copies = {}
        self._prefill = asyncio.Lock()
        self._slots = asyncio.Semaphore(slots)
        self._reports = []
        self._handles = 0

    async def begin(self):
        """Listen, and write the registration at each heartbeat."""
        await super().begin()
        self._watch = asyncio.create_task(self._sample())

    async def end(self):
        """End like a process that is killed."""
        self._watch.cancel()
        for task in list(self.tasks.values()):
            task["lost"] = True
            task["task"].cancel()
        await super().end()
        self.copies.clear()
        self._reports.clear()

    def leaving_header(self):
        """Return the header of a runner that leaves, or an empty string."""
        return "Server-Leaving: 1\r\n" if self.state == "draining" else ""

    async def _sample(self):
        while True:
            self._reports.append((now_s(), super().report() | self._load()))
            del self._reports[:-20]
            await asyncio.sleep(0.05)

    def _load(self):
        tasks = self.tasks.values()
        return {
            "queued": sum(task["state"] == "queued" for task in tasks),
            "active": sum(task["state"] != "queued" for task in tasks),
            "kv_used": sum(
                task["tokens"] for task in tasks if task["state"] != "queued"
            ),
            "kv_total": 34437,
            "executions": [
                [attempt, task["tokens"], task["events"], 5]
                for attempt, task in self.tasks.items()
                if task["state"] != "queued"
            ],
        }

    def report(self):
        """Return the values of some hundred ms ago."""
        old = [report for at, report in self._reports if at <= now_s() - REPORT_LAG_S]
        return old[-1] if old else super().report() | self._load()

    async def serve(self, message, reader, writer):
        """Answer one request; return whether the connection stays open."""
        method, target, _ = message.first.split(" ")
        if await self.serve_own(message, writer):
            await writer.drain()
            return True
        if target == "/-/kv-move":
            writer.write(self._move(json.loads(message.body)))
            await writer.drain()
            return True
        if target == "/-/hold-take":
            writer.write(json_answer("200 OK", {"hold": f"h{now_s()}"}))
            return True
        if target.startswith("/-/"):
            writer.write(answer("404 Not Found" if method == "GET" else "200 OK"))
            return True
        if refusal := self.check(message):
            writer.write(refusal)
            return True
        return await self._stream(message, reader, writer)

    def _move(self, order):
        task = self.tasks.get(order["id"])
        self.fleet.record.add(
            "kv-move at",
            self.id,
            order,
            "run exists" if task else "no request",
            task["state"] if task else "",
        )
        # A request starts to run with its first token.
        if task is None or task["state"] != "running":
            return answer("404 Not Found")
        target = next((r for r in self.fleet.runners if r.address == order["to"]), None)
        self._handles += 1
        handle = f"m{self._handles}"
        if order.get("final"):
            task["task"].cancel()
        if target is None:
            return json_answer("503 Service Unavailable", {"handle": handle})
        target.copies[f"{self.address}/{handle}"] = task["events"]
        return json_answer("200 OK", {"handle": handle, "created": task["events"]})

    async def _stream(self, message, reader, writer):
        attempt = message.get("x-attempt-id")
        counts = message.get("x-token-counts", "0,0").split(",")
        prompt = int(counts[0])
        first = int(message.get("last-event-id", "0") or 0)
        source = message.get("kv-from")
        if source:
            if source not in self.copies:
                writer.write(
                    answer(
                        "503 Service Unavailable",
                        [("X-Not-Executed", "1"), ("X-Attempt-Id", attempt)],
                    )
                )
                return True
            del self.copies[source]
        total = json.loads(message.body)["events"]
        task = {"state": "queued", "tokens": prompt, "events": first, "lost": False}
        task["source"] = source
        if backup := message.get("x-kv-backup"):
            keeper = next((r for r in self.fleet.runners if r.address == backup), None)
            task["keeper"] = keeper
        self.tasks[attempt] = task
        self.fleet.record.add("request", attempt, "reaches", self.id)
        task["arrived"] = now_s()
        task["task"] = work = asyncio.create_task(
            self._work(task, attempt, 0 if source else prompt, first, total, writer)
        )
        close = asyncio.create_task(reader.read(1))
        try:
            if self.loses(attempt):
                await asyncio.sleep(0.05)
                self.fleet.record.add("answer to", attempt, "is lost at", self.id)
                task["lost"] = True
                reset(writer)
            await asyncio.wait({work, close}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                task["lost"] = True
                if self.drops_closed:
                    work.cancel()
                await asyncio.wait({work})
            return not task["lost"] and not work.cancelled()
        finally:
            close.cancel()
            await asyncio.gather(close, return_exceptions=True)
            self.tasks.pop(attempt, None)

    async def _work(self, task, attempt, prompt, first, total, writer):
        run = None
        try:
            async with self._slots:
                task["state"] = "prefill"
                run = self.begin_run(attempt)
                run["source"] = task["source"]
                async with self._prefill:
                    await asyncio.sleep(prompt / PREFILL_TOKENS_PER_S)
                task["state"] = "running"
                self.fleet.record.add("first token of", attempt, "at", self.id)
                if not task["lost"]:
                    writer.write(
                        (
                            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                            f"X-Attempt-Id: {attempt}\r\nX-Response-Seal: {SEAL}\r\n"
                            f"{self.leaving_header()}"
                            "X-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                        ).encode()
                    )
                for number in range(first + 1, total + 1):
                    await asyncio.sleep(STEP_S * TOKENS_PER_EVENT)
                    task["events"] = number
                    if task.get("keeper") is not None and number % 4 == 0:
                        keeper = task["keeper"]
                        keeper.copies[f"{keeper.address}/{attempt}"] = number
                    if self.loses_at(attempt, number) and not task["lost"]:
                        self.fleet.record.add(
                            "answer to", attempt, "is lost at", self.id, "event", number
                        )
                        task["lost"] = True
                        reset(writer)
                    task["tokens"] += TOKENS_PER_EVENT
                    if not task["lost"]:
                        data = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
                        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                if not task["lost"]:
                    writer.write(b"0\r\n\r\n")
                self.end_run(run, "complete")
        except asyncio.CancelledError:
            if run is not None:
                self.end_run(run, "stopped")
            raise


def engine_service(name):
    """Return the service of model runners for a configuration."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 322,
        "protocol": "h1",
        "tls": False,
        "cold_start_s": 1.0,
        "cold_per_s": 20.0,
        "engine": {
            "slot_count": 32,
            "kv_tokens": 34437,
            "kv_bytes": 18432,
            "link_mbps": 2700.0,
            "migrations": True,
            "backups": True,
            "stride": 4,
            "most": 12,
            "pin_ms": 4000.0,
            "hold_ms": 2000.0,
            "handle_s": 5.0,
            "models": [{"name": "m"}],
        },
    }


def stream_route(name, prefix, service, is_resumable, timeout_ms, aim_ms):
    """Return a route of streams for a configuration."""
    return {
        "name": name,
        "host": "models.example",
        "path_prefix": prefix,
        "kind": "streaming",
        "timeout_ms": timeout_ms,
        "target_latency_ms": aim_ms,
        "priority": 0,
        "service": service,
        "max_attempts": 2 if is_resumable else 1,
        "allow_anonymous": False,
        "sticky": True,
        "stream_resume": is_resumable,
        "gap_aim_ms": 180,
    }
