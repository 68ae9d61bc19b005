"""Pages of an edge host for the balancer, for peers and for metrics."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from urllib.parse import parse_qs

from gypsumfield.adapters.metrics import CONTENT_TYPE

METRICS_PATH = "/metrics"
BINARY_TYPE = "application/msgpack"

_Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


def build_readiness_application(
    is_ready: Callable[[], bool], render_metrics: Callable[[], bytes]
) -> _Application:
    """Return an application that tells readiness, and the metrics."""

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


def build_view_application(encode_view: Callable[[int], bytes]) -> _Application:
    """Return an application that hands published items to peers."""

    def application(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> list[bytes]:
        values = parse_qs(environ.get("QUERY_STRING", "")).get("after", ["0"])
        if not values[0].isdigit():
            start_response("400 Bad Request", [("Content-Type", "text/plain")])
            return [b"after: a revision is needed\n"]
        start_response("200 OK", [("Content-Type", BINARY_TYPE)])
        return [encode_view(int(values[0]))]

    return application
