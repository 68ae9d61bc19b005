"""One edge host in this process, with fakes of the store and the backend servers."""

import base64
import contextlib
import json
import os
import socket
import zlib

from fake_platform import FakeBackendServer
from fake_platform import FakeStore
from fake_platform import publication
from fake_platform import registration
from fake_platform import wait_until
from gypsumfield.clock import system_clock
from gypsumfield.gateway.composition import build_edge_host
from gypsumfield.gateway.settings import EdgeBounds
from gypsumfield.gateway.settings import EdgeSettings


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def free_ports(ip, count, reserved=None):
    """Return different ports that are free on an address at the same time.

    A reserved port of the same address is not among them.
    """
    with contextlib.ExitStack() as stack:
        if reserved is not None:
            stack.enter_context(socket.socket()).bind((ip, reserved))
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in socks]


def worker_ip(number):
    """Return a loopback address that no other worker uses, nor one of another run."""
    worker = os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")
    run = os.environ.get("PYTEST_XDIST_TESTRUNUID", str(os.getpid()))
    return f"127.{2 + zlib.crc32(run.encode()) % 250}.{worker}.{number}"


class EdgeFleet:
    """A fake store, fake backend servers and one edge host.

    Attributes:
        servers: Fake backend servers by server id.
        events: Events that the host logged.
        answers_reports: Whether servers answer the calls for their report themselves.
    """

    def __init__(self, services):
        self.answers_reports = False
        self.services = services
        self.store = FakeStore()
        self.store.server.start()
        self.servers = {}
        self.events = []
        self.host = None
        self.settings = None
        self.news_port = free_port(socket.SOCK_DGRAM)

    def add_server(self, service, server_id, respond, zone="z1", version="v1"):
        def respond_to_all(request, sock):
            if self.answers_reports and request["target"] == "/-/report":
                return self.answer_own_call(server_id, sock)
            return respond(request, sock)

        server = FakeBackendServer(respond_to_all)
        server.start()
        self.servers[server_id] = server
        entry = registration(service, server, zone=zone, version=version)
        self.store.put(f"servers/{server_id}", entry)
        return server

    def store_value(self, key):
        return base64.b64decode(self.store.items[key]["value"])

    def answer_own_call(self, server_id, sock, extra="", **report):
        """Answer a report or a health check as the registered start of a server."""
        born = json.loads(self.store_value(f"servers/{server_id}"))["born"]
        body = json.dumps({"state": "ready", "born": born, **report}).encode()
        head = (
            f"HTTP/1.1 200 OK\r\nX-Instance-Id: {server_id}\r\n"
            f"{extra}Content-Length: {len(body)}\r\n\r\n"
        )
        sock.sendall(head.encode() + body)

    def publish(self, **changes):
        self.store.put("op/config", publication(self.services, **changes))

    def start(self, seed_ips=()):
        self.settings = self.host_settings("edge-1", "127.0.0.1", "z1", seed_ips)
        self.host = build_edge_host(self.settings, system_clock(), self.events.append)
        self.host.start()
        wait_until(lambda: self.is_ready() and self.has_servers(len(self.servers)))

    def host_settings(self, host_id, ip, zone, seed_ips=(), peer_port=None):
        caller, readiness, metrics, other = free_ports(ip, 4, peer_port)
        peer = other if peer_port is None else peer_port
        return EdgeSettings(
            host_id=host_id,
            availability_zone=zone,
            caller_address=f"{ip}:{caller}",
            readiness_address=f"{ip}:{readiness}",
            peer_address=f"{ip}:{peer}",
            metrics_address=f"{ip}:{metrics}",
            ip=ip,
            news_port=self.news_port,
            seed_ips=tuple(seed_ips),
            store_address=self.store.address,
            bounds=EdgeBounds(),
            availability_zones=("z1", "z2"),
        )

    def is_ready(self):
        return self.host.components.catalogue.publication is not None

    def has_servers(self, count):
        catalogue = self.host.components.catalogue
        recorded = sum(len(catalogue.servers_of(name)) for name in self.services)
        return recorded >= count

    def events_named(self, name):
        return [
            event for event in self.events if type(event).__struct_config__.tag == name
        ]

    def stop(self):
        if self.host is not None:
            self.host.stop()
        for server in self.servers.values():
            server.crash()
        self.store.server.stop(timeout=0)

    def send_request(
        self,
        path,
        method="POST",
        body=b"",
        key="key-a",
        attempt="a1",
        headers="",
        limit_ms=3000,
    ):
        """Send one request and return its socket."""
        sock = self.connect()
        sock.sendall(
            (
                f"{method} {path} HTTP/1.1\r\nHost: h.example\r\n"
                f"X-Attempt-Id: {attempt}\r\nAuthorization: Token {key}\r\n"
                f"X-Deadline-Ms: {limit_ms}\r\n{headers}"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body
        )
        return sock

    def connect(self):
        from gevent import socket as gevent_socket

        host, _, port = self.settings.caller_address.partition(":")
        sock = gevent_socket.create_connection((host, int(port)))
        sock.settimeout(20)
        return sock

    def call(self, path, **kwargs):
        with contextlib.closing(self.send_request(path, **kwargs)) as sock:
            return read_answer(sock)


class HostGroup(EdgeFleet):
    """Hosts in two zones that know each other, with the servers of one service.

    Attributes:
        service: The service.
        hosts: Settings of each host, and the host.
    """

    def __init__(self, service, kind, host_count):
        super().__init__({service: kind})
        self.service = service
        self.clock = system_clock()
        self.hosts = []
        self.host_count = host_count
        self.peer_port = free_port()

    def start_hosts(self):
        for number in range(self.host_count):
            self.start_host(number)
        for _, host in self.hosts:
            wait_until(lambda host=host: self.knows_all(host))

    def knows_all(self, host):
        components = host.components
        servers = components.catalogue.servers_of(self.service)
        is_group_known = components.peers.live_count == self.host_count
        return is_group_known and len(servers) == len(self.servers)

    def start_host(self, number):
        ip = worker_ip(number + 1)
        seeds = [] if number == 0 else [worker_ip(1)]
        zone = f"z{number % 2 + 1}"
        # Hosts find each other's HTTP servers at their own port.
        settings = self.host_settings(f"edge-{number}", ip, zone, seeds, self.peer_port)
        host = build_edge_host(settings, self.clock, self.events.append)
        host.start()
        self.hosts.append((settings, host))
        return settings, host

    def stop(self):
        for _, host in self.hosts:
            host.stop()
        super().stop()


def read_answer(sock):
    """Return status, headers and body; the body of a truncated answer is None."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = sock.recv(65536)
        if not chunk:
            return None, {}, None
        data += chunk
    head, _, rest = data.partition(b"\r\n\r\n")
    first, *lines = head.decode().split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    status = int(first.split(" ")[1])
    if headers.get("transfer-encoding") == "chunked":
        return status, headers, _read_chunks(sock, rest)
    while len(rest) < int(headers.get("content-length", 0)):
        chunk = sock.recv(65536)
        if not chunk:
            return status, headers, None
        rest += chunk
    return status, headers, rest


def _read_chunks(sock, data):
    body = b""
    while True:
        while b"\r\n" not in data:
            chunk = sock.recv(65536)
            if not chunk:
                return None
            data += chunk
        size_line, _, data = data.partition(b"\r\n")
        size = int(size_line, 16)
        while len(data) < size + 2:
            chunk = sock.recv(65536)
            if not chunk:
                return None
            data += chunk
        if not size:
            return body
        body += data[:size]
        data = data[size + 2 :]
