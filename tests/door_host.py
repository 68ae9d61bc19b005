"""One host process with lowered limits, and crowds of clients that attack it."""

import contextlib
import os
import subprocess
import sys
from pathlib import Path

import gevent
from gevent import socket

import gypsumfield
from edge_fleet import free_port
from edge_fleet import free_ports
from edge_fleet import read_answer
from fake_platform import complete_answer
from fake_platform import FakeBackendServer
from fake_platform import FakeStore
from fake_platform import publication
from fake_platform import registration

START_LIMIT_S = 20.0
ORDINARY_LIMIT_S = 8.0
BYTES_PER_KB = 1_024
# State of a listening socket in /proc/net/tcp.
TCP_LISTEN = "0A"
SETTINGS = """
node_name = "edge-1"
zone = "z1"
node_ip = "{ip}"
internal_port_range = [{news_port}, {news_port}]
seed_nodes = []
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[platform]
address = "{store}"
[limits]
memory_mb = {memory_mb}
max_fds = {max_fds}
cpu_share = 1.0
link_mbps = 100
"""


class HostProcess:
    """A program of the system, seen from outside.

    Attributes:
        process: The process.
        addresses: Listening addresses by name.
        peak_with_buffers_mb: Most memory that `watch_memory` has seen, together with
            the bytes in the kernel's buffers of the callers' connections.
    """

    def __init__(self, process, addresses):
        self.process = process
        self.addresses = addresses
        self.peak_with_buffers_mb = 0.0

    @property
    def peak_mb(self):
        return self.memory_mb("VmHWM")

    def memory_mb(self, name):
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition(f"{name}:")[2].split()[0]) / BYTES_PER_KB

    @property
    def buffered_mb(self):
        """Bytes that callers have sent or are sent, in the buffers of the kernel."""
        octets = self.addresses["front"].partition(":")[0].split(".")
        own_ip = "".join(f"{int(octet):02X}" for octet in reversed(octets))
        total_bytes = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, *_ = line.split()
            if local.startswith(own_ip) and state != TCP_LISTEN:
                total_bytes += sum(int(size, 16) for size in queues.split(":"))
        return total_bytes / BYTES_PER_KB**2

    def watch_memory(self):
        while True:
            used_mb = self.memory_mb("VmRSS") + self.buffered_mb
            self.peak_with_buffers_mb = max(self.peak_with_buffers_mb, used_mb)
            gevent.sleep(0.1)

    @property
    def descriptor_count(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def is_alive(self):
        return self.process.poll() is None

    def connect(self, name="front"):
        ip, _, port = self.addresses[name].partition(":")
        sock = socket.create_connection((ip, int(port)), 5.0)
        sock.settimeout(5.0)
        return sock


class EdgeProcess(HostProcess):
    """An edge host as a process, with fakes of its store and its backend server."""

    def __init__(self, folder, memory_mb=64.0, max_fds=4_096, limits=None):
        self.store = FakeStore()
        self.store.server.start()
        self.answer_bytes = 4
        self.server = FakeBackendServer(self.respond)
        self.server.start()
        # The port for metrics is fixed, so that each host needs its own address.
        ip = f"127.{10 + os.getpid() % 200}.{1 + os.getpid() // 200 % 250}.7"
        front, ready, control = free_ports(ip, 3)
        addresses = {
            "front": f"{ip}:{front}",
            "ready": f"{ip}:{ready}",
            "metrics": f"{ip}:9464",
        }
        self.settings_path = folder / "node.toml"
        self.settings_path.write_text(
            SETTINGS.format(
                ip=ip,
                front=front,
                ready=ready,
                control=control,
                news_port=free_port(socket.SOCK_DGRAM),
                store=self.store.address,
                memory_mb=memory_mb,
                max_fds=max_fds,
            )
        )
        document = publication({"plain": "idempotent"})
        document["limits"] |= {"max_body_bytes": 4_194_304} | (limits or {})
        self.store.put("op/config", document)
        self.store.put("servers/s1", registration("plain", self.server))
        self.log_path = folder / "log"
        self.error_path = folder / "errors"
        source = Path(gypsumfield.__file__).parent.parent / "edge.py"
        with self.log_path.open("wb") as log, self.error_path.open("wb") as errors:
            process = subprocess.Popen(
                [sys.executable, str(source)],
                stdout=log,
                stderr=errors,
                env=os.environ | {"GYPSUMFIELD_NODE_FILE": str(self.settings_path)},
            )
        super().__init__(process, addresses)
        with gevent.Timeout(START_LIMIT_S):
            while self.ordinary_status() != 200:
                gevent.sleep(0.05)

    def respond(self, request, sock):
        if "x-attempt-id" not in request["headers"]:
            return "close"
        sock.sendall(complete_answer(request, b"y" * self.answer_bytes))
        return None

    def ordinary_status(self):
        """Return the status of one ordinary call, None if there is no answer."""
        try:
            with contextlib.closing(self.connect()) as sock:
                sock.sendall(request_head("/plain/a", 2) + b"ok")
                return read_answer(sock)[0]
        except OSError:
            return None

    def serves_soon(self):
        """Return whether one ordinary request is answered before long."""
        with gevent.Timeout(ORDINARY_LIMIT_S, False):
            while self.ordinary_status() != 200:
                gevent.sleep(0.2)
            return True
        return False

    def end(self):
        self.process.kill()
        self.process.wait()
        self.server.crash()
        self.store.server.stop(timeout=0)


def request_head(path, length=None, headers="", host="h.example"):
    """Return the head of a request, whose body is chunked without a length."""
    framing = (
        "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    )
    return (
        f"POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: a1\r\n"
        f"Authorization: Token key-a\r\nX-Deadline-Ms: 3900\r\n{headers}"
        f"{framing}\r\n\r\n"
    ).encode()


def send_crowd(host, address, count, send, seconds):
    """Let clients connect and send at once; keep their connections that long.

    A client that is refused or cut off is through: that is allowed.

    Returns:
        The most descriptors that the host had.
    """
    socks = []

    def run():
        with contextlib.suppress(OSError):
            sock = host.connect(address)
            socks.append(sock)
            send(sock)

    clients = [gevent.spawn(run) for _ in range(count)]
    descriptor_count = 0
    with gevent.Timeout(seconds, False):
        while True:
            gevent.sleep(0.1)
            descriptor_count = max(descriptor_count, host.descriptor_count)
    gevent.killall(clients)
    for sock in socks:
        sock.close()
    return descriptor_count
