"""Fakes of the platform's store and backend servers, with its wire format."""

import base64
import itertools
import json
from urllib.parse import parse_qs

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer

# Longer than any test waits.
LOST_ANSWER_S = 60.0
SEAL_HEADER = "X-Response-Seal: s\r\n"
# Keys are bytes; in text, a lone surrogate stands for a byte that is no character.
KEY_ERRORS = "surrogateescape"


class FakeStore:
    """Store with revisions, listings and long-polling watches.

    Attributes:
        era: Number that each answer names; rises with each restoration.
        odd_events: Entries that are sent with each answer to a watch.
        page_size: Entries of a page of a listing; None for all.
        order: Returns the position of a key in a listing.
        writes_ascii: Whether answers escape all characters but ASCII.
        forgets_positions: Whether a watch from a revision that a restored store does
            not have gets 410.
        is_losing_answers: Whether answers to watches never come.
        lost_count: Answers that never came.
    """

    def __init__(self):
        self.era = 1
        self.forgets_positions = True
        self.items = {}
        self.history = []
        self.odd_events = []
        self.page_size = None
        self.order = key_bytes
        self.writes_ascii = True
        self.revision = 1
        self.is_down = False
        self.is_losing_answers = False
        self.lost_count = 0
        self.oldest_revision = 0
        self.calls = []
        self.change_event = Event()
        self.server = WSGIServer(("127.0.0.1", 0), self.serve, log=None, error_log=None)

    @property
    def address(self):
        return f"127.0.0.1:{self.server.server_port}"

    def put(self, key, value):
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
        }
        self.items[key] = item
        self._append_change(item)

    def delete(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self._append_change({"key": key, "revision": self.revision, "deleted": True})

    def take_copy(self):
        """Return a copy of the present state for `restore`."""
        return dict(self.items), list(self.history), self.revision

    def restore(self, copy):
        """Come back from a copy; what was written since is lost."""
        items, history, self.revision = copy
        self.items, self.history = dict(items), list(history)
        self.era += 1
        self._append_change(None)

    def drop_history(self):
        self.oldest_revision = self.revision
        self._append_change(None)

    def _append_change(self, item):
        if item:
            self.history.append(item)
        self.change_event.set()
        self.change_event = Event()

    def serve(self, environ, start_response):
        fields = parse_qs(environ["QUERY_STRING"], errors=KEY_ERRORS)
        query = {name: values[0] for name, values in fields.items()}
        self.calls.append(environ["PATH_INFO"])
        if self.is_down:
            start_response("503 Service Unavailable", [])
            return [b""]
        if environ["PATH_INFO"] == "/-/kv-range":
            return self._send_json(start_response, self._page(query))
        after = int(query["after"])
        is_unknown = self.forgets_positions and after > self.revision
        if after < self.oldest_revision or is_unknown:
            start_response("410 Gone", [("Store-Era", str(self.era))])
            return [b"{}"]
        change_event = self.change_event
        if not self._changes_after(after):
            change_event.wait(int(query["wait_ms"]) / 1000)
        if self.is_losing_answers:
            self.lost_count += 1
            gevent.sleep(LOST_ANSWER_S)
        if self.is_down:
            start_response("503 Service Unavailable", [])
            return [b""]
        return self._send_json(
            start_response, {"events": self._changes_after(after), "at": self.revision}
        )

    def _page(self, query):
        """Return the page of a listing that begins after a key."""
        after = query.get("after")
        keys = [
            key
            for key in sorted(self.items, key=self.order)
            if after is None or self.order(key) > self.order(after)
        ]
        entries = [self.items[key] for key in keys[: self.page_size]]
        has_more = len(entries) < len(keys)
        return {"entries": entries, "has_more": has_more, "at": self.revision}

    def _changes_after(self, revision):
        changes = [item for item in self.history if item["revision"] > revision]
        return changes and [*self.odd_events, *changes]

    def _send_json(self, start_response, body):
        headers = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
        start_response("200 OK", headers)
        return [key_bytes(json.dumps(body, ensure_ascii=self.writes_ascii))]


def key_bytes(text):
    """Return the bytes of text that may stand for bytes of no character."""
    return text.encode("utf-8", KEY_ERRORS)


class FakeBackendServer:
    """Backend server whose answers are written by the test.

    ``respond`` takes a parsed request and the socket and writes the answer. It
    returns "close" to close the connection.
    """

    def __init__(self, respond):
        self.respond = respond
        self.requests = []
        self.sockets = set()
        self.server = StreamServer(("127.0.0.1", 0), self.serve)

    @property
    def address(self):
        return f"127.0.0.1:{self.server.server_port}"

    def start(self):
        self.server.start()

    def crash(self):
        self.server.stop()
        for sock in list(self.sockets):
            sock.close()

    def serve(self, sock, _address):
        self.sockets.add(sock)
        try:
            while request := read_request(sock):
                self.requests.append(request)
                if self.respond(request, sock) == "close":
                    break
        except OSError:
            pass
        finally:
            self.sockets.discard(sock)
            sock.close()

    def calls(self, path_part):
        return [request for request in self.requests if path_part in request["target"]]


def read_request(sock):
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = sock.recv(65536)
        if not chunk:
            return None
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    request_line, *header_lines = head.decode().split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (
            header_line.partition(":") for header_line in header_lines
        )
    }
    while len(body) < int(headers.get("content-length", 0)):
        chunk = sock.recv(65536)
        if not chunk:
            return None
        body += chunk
    method, target, _ = request_line.split(" ")
    return {"method": method, "target": target, "headers": headers, "body": body}


def limit_header(limit_per_s):
    """Return the header of a server that accepts so many requests a second."""
    return "" if limit_per_s is None else f"Server-Limit: {limit_per_s}\r\n"


def complete_answer(request, body=b"done", status="200 OK", extra="", limit_per_s=None):
    request_id = request["headers"]["x-attempt-id"]
    return (
        f"HTTP/1.1 {status}\r\nX-Attempt-Id: {request_id}\r\n{SEAL_HEADER}{extra}"
        f"{limit_header(limit_per_s)}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def refused_answer():
    return (
        b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
        b"Content-Length: 0\r\n\r\n"
    )


def no_such_run():
    """Return the answer to a call about a run that has ended with its connection."""
    return b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


def stream_head(request, limit_per_s=None):
    request_id = request["headers"]["x-attempt-id"]
    return (
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\n{SEAL_HEADER}"
        f"{limit_header(limit_per_s)}"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()


def unframed_head(request):
    """Return the head of an answer that ends with its connection."""
    request_id = request["headers"].get("x-attempt-id", "")
    return (
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\n{SEAL_HEADER}\r\n"
    ).encode()


def event(number):
    data = f"id: {number}\ndata: piece {number}\n\n".encode()
    return b"%x\r\n%s\r\n" % (len(data), data)


STREAM_END = b"0\r\n\r\n"


def publication(services, version=1, keys=("key-a",), routes=None, tenants=None):
    """Return a configuration document.

    ``services`` maps the name of each service to the kind of its route.
    """
    default_routes = []
    for name, kind in services.items():
        default_routes.append(
            {
                "name": f"r-{name}",
                "host": "h.example",
                "path_prefix": f"/{name}/",
                "kind": kind,
                "timeout_ms": 4000,
                "target_latency_ms": 1000,
                "priority": 1,
                "service": name,
                "max_attempts": 2 if kind == "idempotent" else 1,
                "allow_anonymous": False,
                "gap_aim_ms": 180,
            }
        )
    engine = {
        "slot_count": 8,
        "kv_tokens": 30000,
        "stride": 4,
        "migrations": True,
        "backups": True,
        "handle_s": 5.0,
    }
    return {
        "version": version,
        "routes": default_routes if routes is None else routes,
        "services": [
            {
                "name": name,
                "max_connections": 100,
                "cold_per_s": 0,
                "engine": engine if kind == "streaming" else None,
            }
            for name, kind in services.items()
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 2000,
            "idle_timeout_ms": 5000,
        },
        "tenants": tenants or [{"name": "account-a", "api_keys": list(keys)}],
    }


_START_NUMBERS = itertools.count(1)


def registration(service, server, state="ready", zone="z1", version="v1"):
    """Return the registration of a backend server."""
    return {
        "service": service,
        "address": server.address,
        "zone": zone,
        "version": version,
        "state": state,
        "slot_count": 8,
        "cold_remaining_ms": 0,
        "born": next(_START_NUMBERS),
    }


def wait_until(condition, timeout_s=20.0):
    with gevent.Timeout(timeout_s, AssertionError("the condition was not met in time")):
        while not condition():
            gevent.sleep(0.01)
