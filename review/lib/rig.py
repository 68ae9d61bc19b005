"""Stand-ins and process control for the review's scripts; the standard library only.

The entry hosts are the project's own program, started as the deploy file says. The
store, the runners and the clients are the small stand-ins below. Every address is a
loopback address, and every process is ended by its own process id.
"""

import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs
from urllib.parse import urlsplit

ROOT = Path(__file__).resolve().parents[2]
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
HOST_NAME = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
TENANT = "huka270"
ZONES = ("gangseo-a", "gangseo-b")
METRICS_PORT = 9464
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CouldNotRunError(Exception):
    """The case could not be set up; nothing is known about the rule."""


class Record:
    """The file in which a script writes what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    def write(self, text):
        """Write one line with its time."""
        with self._lock:
            at_s = time.monotonic() - self._started_s
            self._file.write(f"{at_s:8.3f} s  {text}\n")
            self._file.flush()


class Store:
    """The platform's store: listing and watch of items, as PROTOCOL.md says.

    Attributes:
        lost_share: Share of the answers that are lost now; a connection on which one is
            lost returns nothing further.
        lost_count: Answers lost so far.
    """

    def __init__(self):
        self.lost_share = 0.0
        self.lost_count = 0
        self._items = {}
        self._history = []
        self._revision = 100
        self._changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):  # noqa: N802
                url = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                status, body = store.answer(url.path, query)
                if random.random() < store.lost_share:
                    store.lost_count += 1
                    while self.rfile.read(1):
                        continue
                    self.close_connection = True
                    return
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def log_message(self, *_arguments):
                return

        class Server(ThreadingHTTPServer):
            def handle_error(self, *_arguments):
                # A host has ended, or has cut its watch.
                return

        self._server = Server(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, key, value):
        """Write an item, as the operator and the runners do."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        with self._changed:
            self._revision += 1
            created = self._items.get(key, {}).get("created", self._revision)
            item = {
                "key": key,
                "value": data,
                "revision": self._revision,
                "created": created,
                "lease_id": 0,
            }
            self._items[key] = item
            self._history.append(item)
            self._changed.notify_all()

    def delete(self, key):
        """Delete an item."""
        with self._changed:
            self._revision += 1
            del self._items[key]
            event = {"key": key, "revision": self._revision, "deleted": True}
            self._history.append(event)
            self._changed.notify_all()

    def answer(self, path, query):
        """Return the status and the body of the answer to a call."""
        prefix = query.get("path_prefix", "")
        if path == "/-/kv-range":
            with self._changed:
                after = query.get("after", "")
                keys = sorted(k for k in self._items if k.startswith(prefix))
                entries = [self._items[key] for key in keys if key > after]
                page = {"entries": entries, "has_more": False, "at": self._revision}
                return 200, page
        if path == "/-/kv-watch":
            after = int(query.get("after", "0"))
            wait_s = min(30_000, int(query.get("wait_ms", "0"))) / 1000
            with self._changed:
                self._changed.wait_for(lambda: self._revision > after, wait_s)
                events = [
                    event
                    for event in self._history
                    if event["revision"] > after and event["key"].startswith(prefix)
                ]
                return 200, {"events": events, "at": self._revision}
        return 404, {}


class Request:
    """One HTTP request that a runner received."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def attempt_id(self):
        """Id of the client's attempt."""
        return self.headers.get("x-attempt-id", "")


class Runner:
    """One runner: it serves one request at a time on each connection.

    Args:
        store: The store in which it registers.
        record: Record of the case.
        service: Service of the runner.
        server_id: Id of the runner.
        zone: Zone of the runner.
        respond: Called with the runner, the request and the socket; it writes the
            whole answer.
        slot_count: Requests that it processes at the same time.
    """

    def __init__(self, store, record, service, server_id, zone, respond, slot_count=32):
        self.store = store
        self.record = record
        self.service = service
        self.server_id = server_id
        self.zone = zone
        self.respond = respond
        self.slot_count = slot_count
        self.born = 0
        self.port = 0
        self.address = ""
        self.is_up = False
        self._listener = None
        self._sockets = set()
        self._lock = threading.Lock()

    def start(self):
        """Start the runner, or start it again under its id and its address."""
        self.born = int(time.time() * 1000)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(128)
        self.port = listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self._listener = listener
        self.is_up = True
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def register(self, state="ready"):
        """Write the registration to the store."""
        self.store.put(
            f"servers/{self.server_id}",
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slot_count": self.slot_count,
                "state": state,
                "cold_remaining_ms": 0,
                "call_seq": 0,
                "born": self.born,
            },
        )

    def crash(self):
        """End as a killed process does: the kernel closes all its connections."""
        self.is_up = False
        with self._lock:
            sockets, self._sockets = list(self._sockets), set()
        for sock in [self._listener, *sockets]:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _accept(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            with self._lock:
                self._sockets.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = sock.makefile("rb")
        try:
            while request := read_request(stream):
                if not self._answer(request, sock):
                    return
        except (OSError, ValueError):
            return
        finally:
            stream.close()
            sock.close()
            with self._lock:
                self._sockets.discard(sock)

    def _answer(self, request, sock):
        if request.target in ("/healthz", "/-/report"):
            body = json.dumps(self.report()).encode()
            head = f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.server_id}\r\n"
            sock.sendall(framed(head, body))
            return True
        expected = request.headers.get("x-expect-instance", self.server_id)
        if expected != self.server_id:
            head = f"HTTP/1.1 421 Misdirected\r\nX-Instance-Id: {self.server_id}\r\n"
            sock.sendall(framed(head + "X-Not-Executed: 1\r\n", b""))
            return True
        return self.respond(self, request, sock)

    def report(self):
        """Return what the runner says of itself."""
        return {
            "state": "ready",
            "born": self.born,
            "queued": 0,
            "active": 0,
            "kv_used": 0,
            "kv_total": 34437,
            "handles": 0,
            "executions": [],
        }


def framed(head, body):
    """Return an answer with a length."""
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def sealed_head(request, extra="", status="200 OK"):
    """Return the first lines of a runner's own answer to a request."""
    return (
        f"HTTP/1.1 {status}\r\nX-Attempt-Id: {request.attempt_id}\r\n"
        f"X-Response-Seal: 3e1b.07.5a2\r\n{extra}"
    )


def chunk(data):
    """Return data as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def read_request(stream):
    """Return the next request on a connection, or None at its end."""
    first = stream.readline()
    if not first:
        return None
    method, target, _ = first.decode("latin-1").split(" ", 2)
    headers = read_headers(stream)
    length = int(headers.get("content-length", "0"))
    return Request(method, target, headers, stream.read(length) if length else b"")


def read_headers(stream):
    """Return the headers that follow, by lower-case name."""
    headers = {}
    while (line := stream.readline().decode("latin-1")) not in ("\r\n", ""):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


class Answer:
    """What a client got for one request; a status of 0 stands for no answer."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.error = ""
        self.answered_ms = None


def call(
    address, method, target, attempt_id, body=b"", limit_ms=1500, extra="", on_data=None
):
    """Send one request on a new connection and read its answer as a client does."""
    answer = Answer()
    started_s = time.monotonic()
    ip, _, port = address.rpartition(":")
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
        f"X-Attempt-Id: {attempt_id}\r\nX-Deadline-Ms: {limit_ms}\r\n"
        f"Authorization: Token {KEY}\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
    )
    try:
        with socket.create_connection((ip, int(port)), 1.0) as sock:
            sock.settimeout(limit_ms / 1000)
            sock.sendall(head.encode() + body)
            stream = sock.makefile("rb")
            line = stream.readline().decode("latin-1")
            if not line:
                raise OSError("closed without an answer")
            answer.status = int(line.split(" ")[1])
            answer.headers = read_headers(stream)
            read_body(stream, answer, on_data)
            answer.answered_ms = (time.monotonic() - started_s) * 1000
    except (OSError, ValueError) as error:
        answer.error = str(error) or type(error).__name__
    return answer


def read_body(stream, answer, on_data=None):
    """Read a body by its length, in chunks or up to the close."""
    if "chunked" in answer.headers.get("transfer-encoding", "").lower():
        while True:
            size = int(stream.readline().split(b";")[0], 16)
            data = stream.read(size)
            stream.readline()
            if not size:
                answer.is_complete = True
                return
            if len(data) < size:
                raise OSError("the body is cut")
            answer.body += data
            if on_data:
                on_data(data)
    elif "content-length" in answer.headers:
        length = int(answer.headers["content-length"])
        answer.body = stream.read(length)
        if len(answer.body) < length:
            raise OSError("the body is cut")
    else:
        answer.body = stream.read()
    answer.is_complete = True


def free_port(ip):
    """Return a free port of an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


SETTINGS = """node_name = "{name}"
node_role = "edge"
machine_class = "edge"
serves = ["edge","control_plane"]
node_ip = "{ip}"
zone = "{zone}"
region = "seoul-west"
internal_port_range = [{first_port},{last_port}]
seed_nodes = [{seeds}]
bootstrap = true
include_in_tolerance = false
discovery_source = "platform"
entry_mode = "vip"
heartbeat_ms = 1200
[zones]
{zones}
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
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
contact_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra = 58
cold_overshoot = 1.5
cold_slack = 5
evacuate_ms = 5000
recover_s = 12
[platform]
address = "{store}"
form = "read"
"""


class Host:
    """One entry host as a process of its own, started as the deploy file says."""

    def __init__(self, name, zone, ip, ports, settings_path):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.front = f"{ip}:{ports['front']}"
        self.ready = f"{ip}:{ports['ready']}"
        self.settings_path = settings_path
        self.process = None

    def start(self, log_folder):
        """Start the process with the deploy file's command."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["edge"]["run"].split(" ")
        kept = ("PATH", "HOME", "JAVA_HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["GYPSUMFIELD_NODE_FILE"] = str(self.settings_path)
        log = open(Path(log_folder) / f"{self.name}.log", "ab")  # noqa: SIM115
        self.process = subprocess.Popen(
            words, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()

    def is_ready(self, timeout_s=1.0):
        """Return whether the status check is answered with 200."""
        ip, _, port = self.ready.rpartition(":")
        try:
            with socket.create_connection((ip, int(port)), timeout_s) as sock:
                sock.settimeout(timeout_s)
                sock.sendall(b"GET /-/readyz HTTP/1.1\r\nHost: h\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def processor_ms(self):
        """Return the processor time that the process has used."""
        stat = Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks * 1000 / os.sysconf("SC_CLK_TCK")

    def end(self):
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait(10)


class Rig:
    """A store, entry hosts and the record of one case; use it as a context manager.

    Attributes:
        has_trouble: Whether the case plays its disruption; false with TROUBLE=0.
    """

    def __init__(self, folder, has_trouble):
        self.has_trouble = has_trouble
        self.record = Record(Path(folder) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.hosts = []
        self.runners = []
        self._fleet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"

    def __enter__(self):
        return self

    def __exit__(self, *_error):
        for host in self.hosts:
            host.end()
        for runner in self.runners:
            runner.crash()
        shutil.rmtree(self.folder, ignore_errors=True)

    def add_hosts(self, count):
        """Write the settings of entry hosts, each with an address of its own."""
        ports = {}
        first_ip = f"{self._fleet}.1"
        for name in ("front", "ready", "control", "first"):
            ports[name] = free_port(first_ip)
        ips = [f"{self._fleet}.{number}" for number in range(1, count + 1)]
        seeds = ",".join(f'"{ip}:{ports["control"]}"' for ip in ips[:3])
        zones = "\n".join(f'{zone} = "seoul-west"' for zone in ZONES)
        for number, ip in enumerate(ips):
            zone = ZONES[number % len(ZONES)]
            name = f"edge-{zone}-{number + 1}"
            path = self.folder / f"{name}.toml"
            path.write_text(
                SETTINGS.format(
                    name=name,
                    ip=ip,
                    zone=zone,
                    first_port=ports["first"],
                    last_port=ports["first"] + 15,
                    seeds=seeds,
                    zones=zones,
                    store=self.store.address,
                    **{k: ports[k] for k in ("front", "ready", "control")},
                )
            )
            self.hosts.append(Host(name, zone, ip, ports, path))

    def add_runner(self, service, server_id, zone, respond, slot_count=32):
        """Start and register a runner."""
        runner = Runner(
            self.store, self.record, service, server_id, zone, respond, slot_count
        )
        runner.start()
        runner.register()
        self.runners.append(runner)
        return runner

    def publish(self, routes, services, version=7):
        """Write a configuration to the store."""
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
                "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
            },
        )

    def start_hosts(self, limit_s=20.0):
        """Start the entry hosts and wait until they are ready."""
        for host in self.hosts:
            host.start(self.folder)
        until_s = time.monotonic() + limit_s
        while not all(host.is_ready() for host in self.hosts):
            if time.monotonic() > until_s:
                raise CouldNotRunError("the entry hosts did not become ready")
            time.sleep(0.1)
        # Hosts find each other, and count the servers of their zone.
        time.sleep(3.0)
        self.record.write(f"{len(self.hosts)} entry hosts are ready")


def plain_route(name, path, service, kind, timeout_ms=800, max_attempts=1):
    """Return a route to a plain service."""
    return {
        "name": name,
        "host": HOST_NAME,
        "path_prefix": path,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 125,
        "priority": 2,
        "service": service,
        "max_attempts": max_attempts,
        "allow_anonymous": False,
        "sticky": False,
        "stream_resume": False,
    }


def stream_route(name, path, service, is_resumable, timeout_ms=39000, max_attempts=1):
    """Return a route to model runners."""
    return {
        "name": name,
        "host": HOST_NAME,
        "path_prefix": path,
        "kind": "streaming",
        "timeout_ms": timeout_ms,
        "target_latency_ms": 1800,
        "priority": 1,
        "service": service,
        "max_attempts": max_attempts,
        "allow_anonymous": False,
        "sticky": True,
        "stream_resume": is_resumable,
        "gap_aim_ms": 180,
    }


def plain_service(name):
    """Return the published properties of a plain service."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 110,
        "cold_start_s": 0.0,
        "cold_per_s": 0.0,
    }


def engine_service(name, has_backups=False):
    """Return the published properties of a service of model runners."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 322,
        "cold_start_s": 1.0,
        "cold_per_s": 20.0,
        "engine": {
            "slot_count": 32,
            "kv_tokens": 34437,
            "kv_bytes": 18432,
            "link_mbps": 2700.0,
            "migrations": has_backups,
            "backups": has_backups,
            "stride": 4,
            "pin_ms": 4000.0,
            "hold_ms": 2000.0,
            "handle_s": 5.0,
            "models": [{"name": "m"}],
        },
    }


def main(run_case, folder):
    """Run a case and exit with 1 if the rule was broken, 0 if it held, else 2.

    `run.sh` passes `--without-disruption` if TROUBLE=0 is set.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    status = COULD_NOT_RUN
    has_trouble = "--without-disruption" not in sys.argv[1:]
    with Rig(folder, has_trouble) as rig:
        rig.record.write(
            "with the disruption" if has_trouble else "TROUBLE=0: no disruption"
        )
        try:
            status = run_case(rig)
        except CouldNotRunError as error:
            rig.record.write(f"the case could not run: {error}")
        rig.record.write(f"exit status {status}")
    sys.stdout.flush()
    os._exit(status)
