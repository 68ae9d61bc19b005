"""Stand-ins for the platform's store, runners and clients, and a launcher of hosts.

Everything listens on loopback addresses of one random network below 127.0.0.0/8. The
stand-ins run in this process, with asyncio; entry hosts are processes of their own,
started with the `run` line of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs
from urllib.parse import urlsplit

ROOT = Path(__file__).resolve().parents[2]
START = time.monotonic()
HEARTBEAT_S = 1.2
REPORT_LAG_S = 0.3
# A runner that starts during traffic is cold for this time.
COLD_START_S = 1.0
CONTRACTS = "base drain config cost retry recover engine stream tenants places platform"


def now_s():
    """Return the seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """Lines of what was sent, answered and run, which end up in `record.txt`."""

    def __init__(self, path):
        self.lines = []
        self._path = path

    def add(self, *words):
        """Add a line with the time."""
        self.lines.append(f"{now_s():9.3f}  " + " ".join(str(word) for word in words))

    def write(self):
        """Write the lines to the file."""
        self._path.write_text("\n".join(self.lines) + "\n")


class Network:
    """Gives out loopback addresses of one random network."""

    def __init__(self):
        rng = random.SystemRandom()
        self._prefix = f"127.{rng.randint(20, 250)}.{rng.randint(1, 250)}"
        self._next = 10

    def ip(self):
        """Return an address that was not given out yet."""
        self._next += 1
        return f"{self._prefix}.{self._next}"

    @staticmethod
    def free_port():
        """Return a port on which nothing listens at any address."""
        while True:
            port = random.SystemRandom().randint(20_000, 30_000)
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Message:
    """One HTTP request or answer."""

    def __init__(self, first, headers, body=b"", is_complete=True):
        self.first = first
        self.headers = headers
        self.body = body
        self.is_complete = is_complete

    def get(self, name, default=""):
        """Return the value of a header."""
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Return first line and headers, or None at the end of the connection."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = block.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunks(reader):
    """Yield the chunks of a chunked body; raise IncompleteReadError if it is cut."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_body(reader, message):
    """Read the body of a message that has a length, is chunked, or is empty."""
    if message.get("transfer-encoding") == "chunked":
        parts = [part async for part in read_chunks(reader)]
        message.body = b"".join(parts)
    else:
        message.body = await reader.readexactly(int(message.get("content-length", "0")))


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


def answer(status, headers=(), body=b""):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def json_answer(status, value):
    """Return the bytes of an answer with a JSON body."""
    data = json.dumps(value).encode()
    return answer(status, [("Content-Type", "application/json")], data)


class HttpServer:
    """Serves requests on one address; `serve` is a coroutine of the subclass."""

    def __init__(self, ip):
        self.ip = ip
        self.port = 0
        self._server = None
        self.writers = set()

    @property
    def address(self):
        """Return ``IP:PORT``."""
        return f"{self.ip}:{self.port}"

    async def start(self, port=0):
        """Listen; 0 for any free port."""
        self._server = await asyncio.start_server(
            self._handle, self.ip, port, limit=1 << 22, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stop listening and reset all connections, like a process that has ended."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            reset(writer)

    async def _handle(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_head(reader)) is not None:
                await read_body(reader, message)
                if not await self.serve(message, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, message, reader, writer):
        """Answer one request; return whether the connection stays open."""
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store: items with revisions, ranges and watches."""

    def __init__(self, ip):
        super().__init__(ip)
        self.revision = 100
        self._items = {}
        self._events = []
        self._changed = asyncio.Event()

    def put(self, key, value):
        """Write an item and wake the watches."""
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        created = self._items[key]["created"] if key in self._items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": created,
            "lease_id": 0,
        }
        self._items[key] = item
        self._notify(item)

    def delete(self, key):
        """Delete an item and wake the watches."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._notify({"key": key, "revision": self.revision, "deleted": True})

    def _notify(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, message, reader, writer):
        """Answer one request; return whether the connection stays open."""
        url = urlsplit(message.first.split(" ")[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        prefix = query.get("path_prefix", "")
        if url.path == "/-/kv-key":
            item = self._items.get(query.get("key", ""))
            found = {**item, "at": self.revision} if item else {"at": self.revision}
            writer.write(json_answer("200 OK" if item else "404 Not Found", found))
        elif url.path == "/-/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
            page = {
                "entries": [self._items[key] for key in keys[:500]],
                "has_more": len(keys) > 500,
                "at": self.revision,
            }
            writer.write(json_answer("200 OK", page))
        elif url.path == "/-/kv-watch":
            after = int(query.get("after", "0"))
            ends = now_s() + int(query.get("wait_ms", "0")) / 1000
            while True:
                events = [
                    e
                    for e in self._events
                    if e["revision"] > after and e["key"].startswith(prefix)
                ]
                left = ends - now_s()
                if events or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    continue
            writer.write(json_answer("200 OK", {"events": events, "at": self.revision}))
        else:
            writer.write(answer("404 Not Found"))
        await writer.drain()
        return True


class Runner(HttpServer):
    """Common parts of runners: registration, health, identity.

    Attributes:
        runs: One entry a run: attempt id, begin and end in seconds, and how it ended.
    """

    def __init__(self, fleet, service, zone, slots, version="v1"):
        super().__init__(fleet.network.ip())
        self.fleet = fleet
        self.service = service
        self.zone = zone
        self.slots = slots
        self.version = version
        self.id = "i-" + os.urandom(5).hex()
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.cold_s = 0.0
        self.runs = []
        self._beats = 0
        self._beat_task = None

    async def begin(self):
        """Listen, and write the registration at each heartbeat."""
        await self.start(self.port)
        self._beat_task = asyncio.create_task(self._beat())
        self.fleet.record.add("runner", self.id, self.service, self.zone, self.address)

    def entry(self):
        """Return the registration."""
        self._beats += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slot_count": self.slots,
            "state": self.state,
            "cold_remaining_ms": max(
                0, int(1000 * self.cold_s + self.born - time.time() * 1000)
            ),
            "born": self.born,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "call_seq": self._beats,
        }

    def register(self):
        """Write the registration to the store."""
        self.fleet.store.put(f"servers/{self.id}", self.entry())

    async def _beat(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def drain(self):
        """Report in the store that this runner will leave."""
        self.state = "draining"
        self.register()
        self.fleet.record.add("runner", self.id, "reports draining")

    async def restart(self, pause_s):
        """Exit, and start again under the same id and address after a pause."""
        await self.end()
        self.fleet.store.delete(f"servers/{self.id}")
        self.fleet.record.add("runner", self.id, "has left")
        await asyncio.sleep(pause_s)
        self.born = int(time.time() * 1000)
        self.cold_s = COLD_START_S
        self.state = "ready"
        self._beats = 0
        await self.begin()

    async def end(self):
        """End like a process that is killed."""
        if self._beat_task is not None:
            self._beat_task.cancel()
        await self.stop()

    def check(self, message):
        """Return the answer to a request that is not run, or None."""
        attempt = message.get("x-attempt-id")
        own = [("X-Instance-Id", self.id)]
        if attempt:
            own.append(("X-Attempt-Id", attempt))
        if message.get("x-expect-instance", self.id) != self.id:
            return answer("421 Misdirected Request", own)
        if not attempt:
            return answer("400 Bad Request", [("X-Not-Executed", "1"), *own])
        return None

    def begin_run(self, attempt):
        """Record that a run begins."""
        run = {"id": attempt, "runner": self, "begin": now_s(), "end": None, "how": ""}
        self.runs.append(run)
        self.fleet.record.add("run begins", attempt, "at", self.id)
        return run

    def end_run(self, run, how):
        """Record that a run ends."""
        if run["end"] is None:
            run["end"], run["how"] = now_s(), how
            self.fleet.record.add("run ends", run["id"], "at", self.id, how)

    def report(self):
        """Return the body of a report."""
        return {
            "stage": "both",
            "state": self.state,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "call_seq": self._beats,
            "queued": 0,
            "active": sum(run["end"] is None for run in self.runs),
            "kv_used": 0,
            "kv_total": 0,
            "handles": 0,
            "born": self.born,
        }

    async def serve_own(self, message, writer):
        """Answer health checks and reports; return whether it was one."""
        target = message.first.split(" ")[1]
        if target == "/healthz":
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            writer.write(answer(status, [("X-Instance-Id", self.id)]))
            return True
        if target == "/-/report":
            writer.write(json_answer("200 OK", self.report()))
            return True
        return False


class Host:
    """One entry host, a process of its own."""

    def __init__(self, fleet, name, zone):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.ip = fleet.network.ip()
        self.front = f"{self.ip}:{fleet.ports['front']}"
        self.ready = f"{self.ip}:{fleet.ports['ready']}"
        self.settings = fleet.folder / f"{name}.toml"
        self.process = None

    def write_settings(self):
        """Write the settings file."""
        fleet = self.fleet
        control, news = fleet.ports["control"], fleet.ports["news"]
        seeds = json.dumps([f"{host.ip}:{control}" for host in fleet.hosts[:3]])
        zones = "\n".join(f'{zone} = "region-1"' for zone in fleet.zones)
        self.settings.write_text(
            f"""node_name = "{self.name}"
node_role = "edge"
machine_class = "edge"
serves = ["edge","control_plane"]
node_ip = "{self.ip}"
zone = "{self.zone}"
region = "region-1"
internal_port_range = [{news},{news}]
seed_nodes = {seeds}
bootstrap = true
include_in_tolerance = false
discovery_source = "platform"
entry_mode = "vip"
heartbeat_ms = 1200
contracts = {json.dumps(CONTRACTS.split())}
[zones]
{zones}
[listen]
front = "{self.front}"
ready = "{self.ready}"
control = "{self.ip}:{control}"
[limits]
cpu_share = 0.537
cpu_cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
revoke_strict = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra = 58
cold_overshoot = 1.5
cold_slack = 5
evacuate_ms = 5000
recover_s = 12
pass_ms = 120
reuse_window_s = 10
[platform]
address = "{fleet.store.address}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""
        )

    async def start(self):
        """Start the process."""
        self.write_settings()
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["edge"]
        names = ("PATH", "HOME", "JAVA_HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env |= role.get("env", {})
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["GYPSUMFIELD_NODE_FILE"] = str(self.settings)
        log = open(self.fleet.folder / f"{self.name}.log", "ab")  # noqa: SIM115
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()
        self.fleet.record.add("host", self.name, "starts as process", self.process.pid)

    def signal(self, number):
        """Send a signal to the process."""
        self.fleet.record.add("host", self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        """Return whether the host reports that it is ready."""
        try:
            return (
                await call(self.ready, "GET", "/-/readyz", timeout=1.0)
            ).status == 200
        except OSError:
            return False


class Reply:
    """What a client got: status 0 for no answer, and whether the answer is whole."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.error = ""
        self.seconds = 0.0


async def call(
    address, method, target, headers=(), body=b"", timeout=10.0, on_data=None
):
    """Send one request on a new connection and return what came of it."""
    reply = Reply()
    began = now_s()
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 22)
            lines = [f"{method} {target} HTTP/1.1"]
            names = {name.lower() for name, _ in headers}
            if "host" not in names:
                lines.append(f"Host: {address}")
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            message = await read_head(reader)
            if message is None:
                reply.error = "closed without an answer"
                return reply
            reply.status = int(message.first.split(" ")[1])
            reply.headers = message.headers
            if message.get("transfer-encoding") == "chunked":
                async for part in read_chunks(reader):
                    reply.body += part
                    if on_data is not None:
                        on_data(part)
            else:
                reply.body = await reader.readexactly(
                    int(message.get("content-length", "0"))
                )
            reply.is_complete = True
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        reply.error = type(error).__name__
    finally:
        reply.seconds = now_s() - began
        if writer is not None:
            writer.close()
    return reply


class Fleet:
    """A store, runners and entry hosts of one script."""

    def __init__(self, folder, zones=("zone-a", "zone-b")):
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = Network()
        # Ports are the same on all machines.
        names = ("front", "ready", "control", "news")
        self.ports = {name: self.network.free_port() for name in names}
        self.zones = zones
        self.store = Store(self.network.ip())
        self.runners = []
        self.hosts = []
        self.key = "k" + os.urandom(8).hex()

    def publish(self, routes, services, version=7, tenants=None):
        """Write the configuration to the store."""
        if tenants is None:
            tenants = [{"name": "tenant-1", "api_keys": [self.key], "priority": 1}]
        self.store.put(
            "op/config",
            {
                "version": version,
                "routes": routes,
                "services": services,
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 4194304,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                },
                "tenants": tenants,
            },
        )
        self.record.add("store accepts configuration", version)

    async def start(self, host_count=2):
        """Start runners and hosts, and wait until the hosts are ready."""
        for runner in self.runners:
            await runner.begin()
        self.hosts = [
            Host(self, f"edge-{number + 1}", self.zones[number % len(self.zones)])
            for number in range(host_count)
        ]
        for host in self.hosts:
            await host.start()
        ends = now_s() + 20.0
        for host in self.hosts:
            while not await host.is_ready():
                if now_s() > ends:
                    raise RuntimeError(f"{host.name} does not get ready")
                await asyncio.sleep(0.1)
        # The hosts find each other and learn of the runners.
        await asyncio.sleep(3.0)

    async def stop(self):
        """End all that was started."""
        for host in self.hosts:
            if host.process is not None and host.process.returncode is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                await host.process.wait()
        for runner in self.runners:
            await runner.end()
        await self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(scenario, folder):
    """Run a scenario; exit with 1 if the rule was broken, 0 if held, 2 if not run.

    Args:
        scenario: Coroutine that takes a fleet and whether the disruption is played,
            and returns the violations.
        folder: Folder of the case.
    """
    has_trouble = "--without-disruption" not in sys.argv[1:]

    async def play():
        fleet = Fleet(folder)
        await fleet.store.start()
        fleet.record.add("disruption" if has_trouble else "no disruption")
        try:
            async with asyncio.timeout(115):
                violations = await scenario(fleet, has_trouble)
            for violation in violations:
                fleet.record.add("BROKEN", violation)
                print("BROKEN", violation)
            print("rule broken" if violations else "rule held")
            return 1 if violations else 0
        except Exception as error:
            fleet.record.add("could not run:", repr(error))
            print("could not run:", repr(error))
            return 2
        finally:
            await fleet.stop()
            fleet.record.write()

    sys.exit(asyncio.run(play()))
