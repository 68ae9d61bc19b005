"""HTTP endpoints of an edge host for the load balancer, for peers and for metrics."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from urllib.parse import parse_qs

from gypsumfield.adapters.metrics import CONTENT_TYPE

METRICS_PATH = "/metrics"
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


def build_view_application(encode_view: Callable[[int], bytes]) -> _WsgiApplication:
    """Return a WSGI application that serves published items to peers.

    Args:
        encode_view: Returns the encoded items changed after a store revision.
    """

    def application(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> list[bytes]:
        values = parse_qs(environ.get("QUERY_STRING", "")).get("after", ["0"])
        if not values[0].isdigit():
            start_response("400 Bad Request", [("Content-Type", "text/plain")])
            return [b"after: a revision is needed\n"]
        start_response("200 OK", [("Content-Type", MSGPACK_CONTENT_TYPE)])
        return [encode_view(int(values[0]))]

    return application
