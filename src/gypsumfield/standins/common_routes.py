"""HTTP routes that the engine and plain service stand-ins have in common."""

from typing import Any
from typing import Protocol

import falcon
import gevent

from gypsumfield.standins.faults import FaultHitCount
from gypsumfield.standins.faults import FaultSet
from gypsumfield.standins.server import read_body
from gypsumfield.standins.server import respond
from gypsumfield.standins.server import StandinServer


class FaultInjectionTarget(Protocol):
    """A stand-in whose armed faults can be replaced through HTTP."""

    server: StandinServer

    def apply_faults(self, faults: FaultSet) -> None:
        """Replace all armed faults."""


def add_common_routes(app: Any, standin: FaultInjectionTarget) -> None:
    """Add the health check and the route that reads and replaces the armed faults."""
    app.add_route("/healthz", _HealthResource())
    app.add_route("/standin/faults", _FaultsResource(standin))


class _HealthResource:
    def on_get(self, _req: falcon.Request, resp: falcon.Response) -> None:
        resp.text = "ok"


class _FaultsResource:
    def __init__(self, standin: FaultInjectionTarget) -> None:
        self._standin = standin

    def on_get(self, _req: falcon.Request, resp: falcon.Response) -> None:
        respond(resp, FaultHitCount(self._standin.server.armed_faults.hits))

    def on_put(self, req: falcon.Request, resp: falcon.Response) -> None:
        faults: FaultSet = read_body(req, FaultSet)
        # Respond first: a fault of the listener may block every later response.
        respond(resp, faults)
        gevent.spawn(self._standin.apply_faults, faults)
