"""Edge hosts and engines of several software versions that break their streams."""

import contextlib

from edge_fleet import HostGroup
from fake_platform import complete_answer
from fake_platform import publication
from fake_platform import registration
from fake_platform import STREAM_END
from fake_platform import stream_head
from fake_platform import wait_until

PROMPT = "X-Token-Counts: 1000,800\r\nX-Length-Hint: 800\r\nX-Model: m\r\n"
# Higher than the starts that tests register, which are counted from 1.
OTHER_START = 1_000_000
EVENT_COUNT = 4
EVENTS_BEFORE_BREAK = 2


class VersionFleet(HostGroup):
    """Engines whose events name the version that made them.

    Attributes:
        breaking: Engines that break off each stream after two events.
        runs: Engine, and headers, of each request that an engine ran.
        started_again: Engines that have started again since their registration.
        before_break: Called before an engine breaks off a stream.
        refusing: Engines that refuse each request.
    """

    def __init__(self, versions, host_count=1, is_resumable=True):
        super().__init__("engine", "streaming", host_count)
        self.breaking = set()
        self.refusing = set()
        self.runs = []
        self.started_again = set()
        self.before_break = lambda: None
        self.versions = {}
        document = publication(self.services)
        document["routes"][0] |= {"stream_resume": is_resumable, "max_attempts": 3}
        self.publish(routes=document["routes"])
        for number, version in enumerate(versions):
            self.add_engine(f"e{number}", version, f"z{number % 2 + 1}")

    def add_engine(self, server_id, version, zone="z1"):
        self.versions[server_id] = version

        def respond(request, sock):
            return self.respond(server_id, request, sock)

        return self.add_server("engine", server_id, respond, zone, version)

    def register(self, server_id, **changes):
        """Write the registration of an engine again, as of another start."""
        server = self.servers[server_id]
        entry = registration("engine", server, version=self.versions[server_id])
        self.store.put(f"servers/{server_id}", entry | changes)

    def respond(self, server_id, request, sock):
        if "x-attempt-id" not in request["headers"]:
            other = {"born": OTHER_START} if server_id in self.started_again else {}
            self.answer_own_call(server_id, sock, **other)
            return None
        if server_id in self.refusing:
            refusal = complete_answer(
                request, status="503 Busy", extra="X-Not-Executed: 1\r\n"
            )
            sock.sendall(refusal)
            return None
        self.runs.append((server_id, request["headers"]))
        sock.sendall(stream_head(request))
        first = self.first_event(request)
        for number in range(first, EVENT_COUNT + 1):
            if server_id in self.breaking and number - first == EVENTS_BEFORE_BREAK:
                self.before_break()
                return "close"
            sock.sendall(self.event(server_id, number))
        sock.sendall(STREAM_END)
        return None

    @staticmethod
    def first_event(request):
        return int(request["headers"].get("last-event-id", 0)) + 1

    def event(self, server_id, number):
        data = f"id: {number}\ndata: version {self.versions[server_id]}\n\n".encode()
        return b"%x\r\n%s\r\n" % (len(data), data)

    def break_all(self):
        self.breaking = set(self.servers)

    def stream(self, attempt="a1", host_number=0, resumes=None, last_event=2, **kwargs):
        """Send a stream, or take one up; return its status and all bytes received."""
        headers = PROMPT
        if resumes is not None:
            headers += f"Last-Event-Id: {last_event}\r\nResumes: {resumes}\r\n"
        self.settings = self.hosts[host_number][0]
        kwargs = {"headers": headers, "attempt": attempt, **kwargs}
        request = self.send_request("/engine/", **kwargs)
        data = b""
        with contextlib.closing(request) as sock:
            while not (data.endswith(STREAM_END) or is_whole_refusal(data)):
                chunk = sock.recv(65536)
                if not chunk:
                    break
                data += chunk
        return int(data.split(b" ", 2)[1]) if data else None, data

    def restart_hosts(self):
        """Stop all hosts at once and start them without any memory."""
        for _, host in self.hosts:
            host.stop()
        self.hosts = []
        self.start_hosts()

    def versions_run(self):
        return [self.versions[server_id] for server_id, _ in self.runs]


def is_whole_refusal(data):
    return b"\r\n\r\n{" in data and data.endswith(b"}}")


def versions_in(data):
    """Return the versions of the events in the bytes that a caller received."""
    return {
        line[14:] for line in data.split(b"\n") if line.startswith(b"data: version")
    }


def is_complete(data):
    return data.endswith(STREAM_END)


def wait_for_version(fleet, server_id, version):
    """Wait until every host knows the version of an engine."""

    def is_known(host):
        record = host.components.catalogue.find_server(server_id)
        return record is not None and record.server.software_version == version

    wait_until(lambda: all(is_known(host) for _, host in fleet.hosts))
