"""HTTP endpoints with the state of one entry host."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import falcon


class EndpointDependencies(NamedTuple):
    """Functions that return the state of the host, for load balancers and operators.

    Attributes:
        health: Returns whether the load balancer should send requests to the host.
        readiness: Returns why the host cannot serve, or an empty string.
        metrics: Returns the metrics in the Prometheus text format.
        status: Returns the status of the host as JSON.
    """

    health: Callable[[], bool]
    readiness: Callable[[], str]
    metrics: Callable[[], bytes]
    status: Callable[[], bytes]


def add_endpoints(app: falcon.App[Any, Any], deps: EndpointDependencies) -> None:
    """Add the routes of all endpoints to an application."""
    app.add_route("/healthz", _Health(deps))
    app.add_route("/readyz", _Ready(deps))
    app.add_route("/metrics", _Metrics(deps))
    app.add_route("/statusz", _Status(deps))


class _Health:
    def __init__(self, deps: EndpointDependencies) -> None:
        self._deps = deps

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        is_healthy = self._deps.health()
        resp.status = falcon.HTTP_200 if is_healthy else falcon.HTTP_503
        resp.content_type = falcon.MEDIA_TEXT
        resp.text = "ok\n" if is_healthy else "draining\n"


class _Ready:
    def __init__(self, deps: EndpointDependencies) -> None:
        self._deps = deps

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        reason = self._deps.readiness()
        resp.status = falcon.HTTP_503 if reason else falcon.HTTP_200
        resp.content_type = falcon.MEDIA_TEXT
        resp.text = f"{reason or 'ready'}\n"


class _Metrics:
    def __init__(self, deps: EndpointDependencies) -> None:
        self._deps = deps

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        resp.content_type = "text/plain; version=0.0.4; charset=utf-8"
        resp.data = self._deps.metrics()


class _Status:
    def __init__(self, deps: EndpointDependencies) -> None:
        self._deps = deps

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        resp.content_type = falcon.MEDIA_JSON
        resp.data = self._deps.status()
