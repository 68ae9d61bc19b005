"""HTTP endpoints of an edge host for the load balancer, for peers and for metrics."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from urllib.parse import parse_qs

from gypsumfield.adapters.caller_server import RAW_HEADERS_KEY
from gypsumfield.adapters.caller_server import RAW_PATH_KEY
from gypsumfield.adapters.metrics import CONTENT_TYPE
from gypsumfield.gateway.forwarding import FORWARD_PREFIX
from gypsumfield.gateway.forwarding import REFUSAL_HEADER
from gypsumfield.gateway.forwarding import START_HEADER
from gypsumfield.gateway.forwarding import TIME_LEFT_HEADER

METRICS_PATH = "/metrics"
# Key of the time that a forwarded request has left; other requests do not have it.
FORWARDED_KEY = "gypsumfield.forwarded"
MSGPACK_CONTENT_TYPE = "application/msgpack"

_WsgiApplication = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


def build_readiness_application(
    is_ready: Callable[[], bool], render_metrics: Callable[[], bytes]
) -> _WsgiApplication:
    """Return a WSGI application that serves readiness and metrics.

    The metrics are at `METRICS_PATH`; every other path answers readiness, with
    status 200 or 503.

    Args:
        is_ready: Whether the host accepts calls.
        render_metrics: Returns the metrics in their text format.
    """

    def application(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> list[bytes]:
        if environ["PATH_INFO"] == METRICS_PATH:
            start_response("200 OK", [("Content-Type", CONTENT_TYPE)])
            return [render_metrics()]
        status = "200 OK" if is_ready() else "503 Service Unavailable"
        start_response(status, [("Content-Type", "text/plain")])
        return [b"ready\n" if is_ready() else b"not ready\n"]

    return application


def build_peer_application(
    encode_view: Callable[[int], bytes],
    serve_forwarded: _WsgiApplication,
    own_start: str,
) -> _WsgiApplication:
    """Return a WSGI application for the other hosts.

    It serves published items, and requests that hosts without a path forward.

    Args:
        encode_view: Returns the encoded items changed after a store revision.
        serve_forwarded: Serves a forwarded request.
        own_start: Start of this host, which forwarded requests have to name.
    """

    def application(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        target = environ[RAW_PATH_KEY]
        if not target.startswith(f"{FORWARD_PREFIX}/"):
            return serve_view(environ, start_response)
        marks = {name.lower(): value for name, value in environ[RAW_HEADERS_KEY]}
        time_left_ms = marks.get(TIME_LEFT_HEADER.lower(), "")
        if marks.get(START_HEADER.lower()) != own_start or not time_left_ms.isdigit():
            refusal = (REFUSAL_HEADER, "other_start")
            start_response("503 Service Unavailable", [refusal])
            return [b"another start of this host is needed\n"]
        environ[RAW_PATH_KEY] = target.removeprefix(FORWARD_PREFIX)
        environ[RAW_HEADERS_KEY] = [
            item
            for item in environ[RAW_HEADERS_KEY]
            if item[0].lower() not in (START_HEADER.lower(), TIME_LEFT_HEADER.lower())
        ]
        environ[FORWARDED_KEY] = float(time_left_ms)
        return serve_forwarded(environ, start_response)

    def serve_view(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> list[bytes]:
        values = parse_qs(environ.get("QUERY_STRING", "")).get("after", ["0"])
        if not values[0].isdigit():
            start_response("400 Bad Request", [("Content-Type", "text/plain")])
            return [b"after: a revision is needed\n"]
        start_response("200 OK", [("Content-Type", MSGPACK_CONTENT_TYPE)])
        return [encode_view(int(values[0]))]

    return application
