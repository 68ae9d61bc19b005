"""HTTP server that every stand-in runs on."""

import socket
from collections.abc import Callable
from typing import Any

import falcon
import gevent
import msgspec
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler
from gevent.pywsgi import WSGIServer

from gypsumfield.clock import MS_PER_S
from gypsumfield.engine_api import REQUEST_ID_HEADER
from gypsumfield.standins.fault_gate import Connection
from gypsumfield.standins.fault_gate import CONNECTION_KEY
from gypsumfield.standins.fault_gate import FaultGate
from gypsumfield.standins.faults import Fault
from gypsumfield.standins.faults import FaultBoard

_BACKLOG = 256
_FULL_BACKLOG_CONNECTIONS = 4


class _Handler(WSGIHandler):  # type: ignore[misc]
    """Handler that lets armed faults act on the connection itself."""

    def handle(self) -> None:
        self.connection = Connection(self.socket)
        try:
            self.server.fault_gate.meet("connected", "", self.connection)
            super().handle()
        except BrokenPipeError:
            self.socket.close()

    def get_environ(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environ()
        environ[CONNECTION_KEY] = self.connection
        return environ

    def handle_one_response(self) -> None:
        super().handle_one_response()
        path = self.environ["PATH_INFO"]
        try:
            self.server.fault_gate.meet("pool-return", path, self.connection)
        except BrokenPipeError:
            self.close_connection = True


class StandinServer:
    """A falcon application that serves on one port.

    Args:
        app: The application.
        address: IP to listen on.
        port: Port to listen on; 0 lets the system choose.
        on_fatal: Called when a fault takes the whole process state with it.
    """

    def __init__(
        self,
        app: Callable[..., Any],
        address: str = "127.0.0.1",
        port: int = 0,
        on_fatal: Callable[[], None] = lambda: None,
    ) -> None:
        self.faults = FaultBoard()
        self._gate = FaultGate(app, self.faults, on_fatal)
        self._host = address
        self._port = port
        self._reserved: socket.socket | None = None
        self._blocked: list[socket.socket] = []
        self._server: WSGIServer | None = None
        self._pool = Pool()
        self._timer: gevent.Greenlet | None = None

    @property
    def url(self) -> str:
        """Base URL; valid once started."""
        return f"http://{self.address}"

    @property
    def address(self) -> str:
        """``IP:PORT``; valid once started."""
        return f"{self._host}:{self._port}"

    def start(self) -> str:
        """Listen and return the base URL."""
        # The bound socket that never listens keeps the port while a fault
        # has closed the listener.
        self._reserved = self._bind()
        self._port = self._reserved.getsockname()[1]
        self._listen()
        return self.url

    def stop(self) -> None:
        """Close the port and every connection."""
        self.faults.clear()
        self._end_connect_fault()
        self._stop_listening()
        if self._reserved is not None:
            self._reserved.close()
            self._reserved = None

    def arm(self, faults: tuple[Fault, ...]) -> None:
        """Replace the armed faults, those of the listener included."""
        self.faults.arm(faults)
        self._end_connect_fault()
        if self._server is None:
            self._listen()
        else:
            self._server.start_accepting()
        fault = self.faults.peek("before-connect")
        if fault is not None:
            self._begin_connect_fault(fault)

    def drop_connections(self) -> None:
        """Cut every open connection."""
        self._pool.kill(block=False)

    def _bind(self) -> socket.socket:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self._host, self._port))
        return listener

    def _listen(self) -> None:
        listener = self._bind()
        listener.listen(_BACKLOG)
        listener.setblocking(False)
        server = WSGIServer(
            listener,
            self._gate,
            log=None,
            error_log=None,
            handler_class=_Handler,
            spawn=self._pool,
        )
        server.fault_gate = self._gate
        server.start()
        self._server = server

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.stop(timeout=0)
            self._server = None

    def _begin_connect_fault(self, fault: Fault) -> None:
        self._timer = gevent.spawn_later(fault.duration_ms / MS_PER_S, self.arm, ())
        if fault.kind == "crash":
            self._stop_listening()
        elif fault.kind == "stall" and self._server is not None:
            # The kernel goes on completing connections that nobody accepts.
            self._server.stop_accepting()
        elif self._server is not None:
            # Open connections stay; the fault gate holds what comes on them.
            self._server.close()
            self._server = None
            self._fill_backlog()

    def _fill_backlog(self) -> None:
        """Listen with a full backlog, which drops even the first packet."""
        listener = self._bind()
        listener.listen(0)
        self._blocked.append(listener)
        for _ in range(_FULL_BACKLOG_CONNECTIONS):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex((self._host, self._port))
            self._blocked.append(filler)

    def _end_connect_fault(self) -> None:
        if self._timer is not None and self._timer is not gevent.getcurrent():
            self._timer.kill(block=False)
        self._timer = None
        for blocked in self._blocked:
            blocked.close()
        self._blocked.clear()


class EchoRequestId:
    """Middleware that sends the request id back, as the interface demands."""

    def process_response(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        _resource: object,
        _req_succeeded: bool,
    ) -> None:
        """Copy the request id header."""
        request_id = req.get_header(REQUEST_ID_HEADER)
        if request_id is not None and resp.get_header(REQUEST_ID_HEADER) is None:
            resp.set_header(REQUEST_ID_HEADER, request_id)


def make_app() -> Any:
    """Return a falcon application with the middleware of all stand-ins."""
    app = falcon.App(middleware=[EchoRequestId()])
    app.add_error_handler(BrokenPipeError, _leave_to_gate)
    return app


def _leave_to_gate(
    _req: falcon.Request, _resp: falcon.Response, _error: Exception, _params: object
) -> None:
    """Leave a dropped connection to the fault gate, which drops it."""


def respond(resp: falcon.Response, message: object, status: int = 200) -> None:
    """Answer with a struct as JSON."""
    resp.status = falcon.code_to_http_status(status)
    resp.content_type = falcon.MEDIA_JSON
    resp.data = msgspec.json.encode(message)


def read_body(req: falcon.Request, wanted: Any) -> Any:
    """Decode the JSON body.

    Raises:
        falcon.HTTPBadRequest: The body is no JSON or does not fit ``wanted``.
    """
    try:
        return msgspec.json.decode(req.bounded_stream.read(), type=wanted)
    except msgspec.MsgspecError as error:
        raise falcon.HTTPBadRequest(description=str(error)) from error
