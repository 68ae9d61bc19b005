"""HTTP server of the stand-ins, with fault injection on its connections."""

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
from gypsumfield.standins.fault_middleware import Connection
from gypsumfield.standins.fault_middleware import CONNECTION_KEY
from gypsumfield.standins.fault_middleware import FaultMiddleware
from gypsumfield.standins.faults import ArmedFaults
from gypsumfield.standins.faults import Fault

_LISTEN_BACKLOG = 256
_FULL_BACKLOG_CONNECTIONS = 4


class _Handler(WSGIHandler):  # type: ignore[misc]
    """Handler that injects faults at ``connected`` and ``pool-return``."""

    def handle(self) -> None:
        self.connection = Connection(self.socket)
        try:
            self.server.fault_middleware.apply_fault_at(
                "connected", "", self.connection
            )
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
            self.server.fault_middleware.apply_fault_at(
                "pool-return", path, self.connection
            )
        except BrokenPipeError:
            self.close_connection = True


class StandinServer:
    """HTTP server for one Falcon application, with faults that can be armed.

    Args:
        app: The application.
        address: IP address to listen on.
        port: Port to listen on; 0 lets the operating system choose one.
        on_fatal: Called when a crash also loses the state of the process.
    """

    def __init__(
        self,
        app: Callable[..., Any],
        address: str = "127.0.0.1",
        port: int = 0,
        on_fatal: Callable[[], None] = lambda: None,
    ) -> None:
        self.armed_faults = ArmedFaults()
        self._fault_middleware = FaultMiddleware(app, self.armed_faults, on_fatal)
        self._listen_ip = address
        self._port = port
        self._port_reservation: socket.socket | None = None
        self._backlog_sockets: list[socket.socket] = []
        self._server: WSGIServer | None = None
        self._connection_pool = Pool()
        self._connect_fault_timer: gevent.Greenlet | None = None

    @property
    def url(self) -> str:
        """Base URL; valid once started."""
        return f"http://{self.address}"

    @property
    def address(self) -> str:
        """``IP:PORT``; valid once started."""
        return f"{self._listen_ip}:{self._port}"

    def start(self) -> str:
        """Start listening; return the base URL."""
        # This socket is bound but never listens; it reserves the port while a fault
        # has closed the listener.
        self._port_reservation = self._bind()
        self._port = self._port_reservation.getsockname()[1]
        self._listen()
        return self.url

    def stop(self) -> None:
        """Disarm all faults, and close the port and all connections."""
        self.armed_faults.clear()
        self._end_connect_fault()
        self._stop_listening()
        if self._port_reservation is not None:
            self._port_reservation.close()
            self._port_reservation = None

    def arm(self, faults: tuple[Fault, ...]) -> None:
        """Replace the armed faults, also those of the listener."""
        self.armed_faults.arm(faults)
        self._end_connect_fault()
        if self._server is None:
            self._listen()
        else:
            self._server.start_accepting()
        fault = self.armed_faults.peek("before-connect")
        if fault is not None:
            self._begin_connect_fault(fault)

    def drop_connections(self) -> None:
        """Close every open connection."""
        self._connection_pool.kill(block=False)

    def _bind(self) -> socket.socket:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self._listen_ip, self._port))
        return listener

    def _listen(self) -> None:
        listener = self._bind()
        listener.listen(_LISTEN_BACKLOG)
        listener.setblocking(False)
        server = WSGIServer(
            listener,
            self._fault_middleware,
            log=None,
            error_log=None,
            handler_class=_Handler,
            spawn=self._connection_pool,
        )
        server.fault_middleware = self._fault_middleware
        server.start()
        self._server = server

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.stop(timeout=0)
            self._server = None

    def _begin_connect_fault(self, fault: Fault) -> None:
        self._connect_fault_timer = gevent.spawn_later(
            fault.duration_ms / MS_PER_S, self.arm, ()
        )
        if fault.kind == "crash":
            self._stop_listening()
        elif fault.kind == "stall" and self._server is not None:
            # The kernel still completes TCP handshakes, but no connection is accepted.
            self._server.stop_accepting()
        elif self._server is not None:
            # Open connections stay open; the middleware delays requests on them.
            self._server.close()
            self._server = None
            self._fill_backlog()

    def _fill_backlog(self) -> None:
        """Listen with a full backlog, so that the kernel drops new SYN packets."""
        listener = self._bind()
        listener.listen(0)
        self._backlog_sockets.append(listener)
        for _ in range(_FULL_BACKLOG_CONNECTIONS):
            client = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            client.setblocking(False)
            client.connect_ex((self._listen_ip, self._port))
            self._backlog_sockets.append(client)

    def _end_connect_fault(self) -> None:
        if (
            self._connect_fault_timer is not None
            and self._connect_fault_timer is not gevent.getcurrent()
        ):
            self._connect_fault_timer.kill(block=False)
        self._connect_fault_timer = None
        for backlog_socket in self._backlog_sockets:
            backlog_socket.close()
        self._backlog_sockets.clear()


class EchoRequestId:
    """Middleware that returns the request id header, as the engine API requires."""

    def process_response(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        _resource: object,
        _req_succeeded: bool,
    ) -> None:
        """Copy the request id header, unless the response has one already."""
        request_id = req.get_header(REQUEST_ID_HEADER)
        if request_id is not None and resp.get_header(REQUEST_ID_HEADER) is None:
            resp.set_header(REQUEST_ID_HEADER, request_id)


def make_app() -> Any:
    """Return a Falcon application with the middleware of all stand-ins."""
    app = falcon.App(middleware=[EchoRequestId()])
    app.add_error_handler(BrokenPipeError, _leave_to_middleware)
    return app


def _leave_to_middleware(
    _req: falcon.Request, _resp: falcon.Response, _error: Exception, _params: object
) -> None:
    """Ignore a dropped connection; the fault middleware closes it."""


def respond(resp: falcon.Response, message: object, status: int = 200) -> None:
    """Send a struct as a JSON response."""
    resp.status = falcon.code_to_http_status(status)
    resp.content_type = falcon.MEDIA_JSON
    resp.data = msgspec.json.encode(message)


def read_body(req: falcon.Request, body_type: Any) -> Any:
    """Decode the JSON body of a request.

    Raises:
        falcon.HTTPBadRequest: The body is not JSON or not a valid ``body_type``.
    """
    try:
        return msgspec.json.decode(req.bounded_stream.read(), type=body_type)
    except msgspec.MsgspecError as error:
        raise falcon.HTTPBadRequest(description=str(error)) from error
