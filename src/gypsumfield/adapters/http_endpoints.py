"""Pages on the state of one entry host, for balancers and operators."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import falcon


class EndpointDependencies(NamedTuple):
    """Pages on the state of the host.

    Attributes:
        health: Returns whether the balancer should send requests here.
        readiness: Returns why the host does not serve, or an empty text.
        metrics: Returns the Prometheus text.
        status: Returns the status page as JSON.
    """

    health: Callable[[], bool]
    readiness: Callable[[], str]
    metrics: Callable[[], bytes]
    status: Callable[[], bytes]


def add_pages(app: falcon.App[Any, Any], pages: EndpointDependencies) -> None:
    """Add the routes of all pages to an application."""
    app.add_route("/healthz", _Health(pages))
    app.add_route("/readyz", _Ready(pages))
    app.add_route("/metrics", _Metrics(pages))
    app.add_route("/statusz", _Status(pages))


class _Health:
    def __init__(self, pages: EndpointDependencies) -> None:
        self._pages = pages

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        is_healthy = self._pages.health()
        resp.status = falcon.HTTP_200 if is_healthy else falcon.HTTP_503
        resp.content_type = falcon.MEDIA_TEXT
        resp.text = "ok\n" if is_healthy else "draining\n"


class _Ready:
    def __init__(self, pages: EndpointDependencies) -> None:
        self._pages = pages

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        hindrance = self._pages.readiness()
        resp.status = falcon.HTTP_503 if hindrance else falcon.HTTP_200
        resp.content_type = falcon.MEDIA_TEXT
        resp.text = f"{hindrance or 'ready'}\n"


class _Metrics:
    def __init__(self, pages: EndpointDependencies) -> None:
        self._pages = pages

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        resp.content_type = "text/plain; version=0.0.4; charset=utf-8"
        resp.data = self._pages.metrics()


class _Status:
    def __init__(self, pages: EndpointDependencies) -> None:
        self._pages = pages

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        resp.content_type = falcon.MEDIA_JSON
        resp.data = self._pages.status()
