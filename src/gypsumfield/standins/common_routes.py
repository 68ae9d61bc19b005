"""Routes that the engine and the plain service stand-in share."""

from typing import Any
from typing import Protocol

import falcon
import gevent

from gypsumfield.standins.faults import FaultHitCount
from gypsumfield.standins.faults import FaultOrder
from gypsumfield.standins.server import read_body
from gypsumfield.standins.server import respond
from gypsumfield.standins.server import StandinServer


class FaultyStandin(Protocol):
    """A stand-in whose faults can be armed."""

    server: StandinServer

    def apply_faults(self, faults: FaultOrder) -> None:
        """Replace the armed faults."""


def add_common_routes(app: Any, standin: FaultyStandin) -> None:
    """Add the health page and the route of the faults."""
    app.add_route("/healthz", _Health())
    app.add_route("/standin/faults", _Faults(standin))


class _Health:
    def on_get(self, _req: falcon.Request, resp: falcon.Response) -> None:
        resp.text = "ok"


class _Faults:
    def __init__(self, standin: FaultyStandin) -> None:
        self._standin = standin

    def on_get(self, _req: falcon.Request, resp: falcon.Response) -> None:
        respond(resp, FaultHitCount(self._standin.server.faults.hits))

    def on_put(self, req: falcon.Request, resp: falcon.Response) -> None:
        faults: FaultOrder = read_body(req, FaultOrder)
        # After a listener fault this connection may be the last that passes.
        respond(resp, faults)
        gevent.spawn(self._standin.apply_faults, faults)
