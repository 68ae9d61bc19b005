"""HTTP routes of the engine stand-in."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import falcon
import gevent
import msgspec

from gypsumfield.clock import MS_PER_S
from gypsumfield.engine_api import EngineError
from gypsumfield.engine_api import EngineRefusal
from gypsumfield.engine_api import Inventory
from gypsumfield.engine_api import LEAVING_CODE
from gypsumfield.engine_api import Order
from gypsumfield.engine_api import REQUEST_ID_HEADER
from gypsumfield.engine_api import StartGeneration
from gypsumfield.standins.common_routes import add_common_routes
from gypsumfield.standins.engine_runs import EngineRuns
from gypsumfield.standins.server import make_app
from gypsumfield.standins.server import read_body
from gypsumfield.standins.server import respond

if TYPE_CHECKING:
    from gypsumfield.standins.engine import EngineStandin

_STATUS_BY_CODE = {
    LEAVING_CODE: 503,
    "engine_cold": 503,
    "engine_full": 429,
    "prompt_too_long": 400,
    "duplicate_generation": 400,
    "unknown_model": 400,
    "bad_request": 400,
}
_RETRY_AFTER_MS = 500.0


def build_engine_app(engine: EngineStandin) -> Any:
    """Return the Falcon application of an engine stand-in."""
    app = make_app()
    app.add_route("/v1/generations", _GenerationsResource(engine))
    app.add_route("/v1/generations/{generation_id}", _GenerationResource(engine))
    app.add_route("/v1/load", _LoadResource(engine))
    app.add_route("/v1/cache-events", _CacheEventsResource(engine))
    app.add_route("/v1/orders", _OrdersResource(engine))
    app.add_route("/v1/inventory", _InventoryResource(engine))
    app.add_route("/standin/runs", _RunsResource(engine))
    add_common_routes(app, engine)
    return app


def _refuse(resp: falcon.Response, code: str, message: str) -> None:
    status = _STATUS_BY_CODE[code]
    retry_after_ms = None if status == 400 else _RETRY_AFTER_MS
    error = EngineError(code, message, retry_after_ms=retry_after_ms)
    respond(resp, EngineRefusal(error), status)


class _GenerationsResource:
    def __init__(self, engine: EngineStandin) -> None:
        self._engine = engine

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        engine = self._engine
        engine.header_names.update(name.lower() for name in req.headers)
        request_id = req.get_header(REQUEST_ID_HEADER) or ""
        if engine.faults.late_answer_ms > 0:
            gevent.sleep(engine.faults.late_answer_ms / MS_PER_S)
        try:
            start = msgspec.json.decode(req.bounded_stream.read(), type=StartGeneration)
        except msgspec.MsgspecError as error:
            _refuse(resp, "bad_request", str(error))
            return
        refusal = engine.submit(start, request_id)
        if refusal is not None:
            _refuse(resp, refusal, f"generation {start.generation_id}: {refusal}")
            return
        _respond_with_events(engine, req, resp, start.generation_id, 0)


class _GenerationResource:
    def __init__(self, engine: EngineStandin) -> None:
        self._engine = engine

    def on_get(
        self, req: falcon.Request, resp: falcon.Response, generation_id: str
    ) -> None:
        self._engine.header_names.update(name.lower() for name in req.headers)
        if generation_id not in self._engine.generations:
            resp.status = falcon.HTTP_404
            return
        after_sequence = req.get_param_as_int("after", min_value=0) or 0
        _respond_with_events(self._engine, req, resp, generation_id, after_sequence)

    def on_delete(
        self, _req: falcon.Request, resp: falcon.Response, generation_id: str
    ) -> None:
        is_known = self._engine.cancel(generation_id)
        resp.status = falcon.HTTP_204 if is_known else falcon.HTTP_404


def _respond_with_events(
    engine: EngineStandin,
    req: falcon.Request,
    resp: falcon.Response,
    generation_id: str,
    after_sequence: int,
) -> None:
    request_id = req.get_header(REQUEST_ID_HEADER) or ""
    resp.set_header(REQUEST_ID_HEADER, engine.select_response_request_id(request_id))
    resp.content_type = "text/event-stream"
    resp.stream = engine.events(generation_id, after_sequence)


class _LoadResource:
    def __init__(self, engine: EngineStandin) -> None:
        self._engine = engine

    def on_get(self, _req: falcon.Request, resp: falcon.Response) -> None:
        engine = self._engine
        respond(resp, engine.model.load_report(engine.clock.monotonic_ms()))


class _CacheEventsResource:
    def __init__(self, engine: EngineStandin) -> None:
        self._engine = engine

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        after_sequence = req.get_param_as_int("after", min_value=0) or 0
        now_ms = self._engine.clock.monotonic_ms()
        respond(resp, self._engine.model.cache_events(after_sequence, now_ms))


class _OrdersResource:
    def __init__(self, engine: EngineStandin) -> None:
        self._engine = engine

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        outcome = self._engine.apply_order(read_body(req, Order))
        respond(resp, outcome, 200 if outcome.is_accepted else 409)


class _InventoryResource:
    def __init__(self, engine: EngineStandin) -> None:
        self._engine = engine

    def on_get(self, _req: falcon.Request, resp: falcon.Response) -> None:
        engine = self._engine
        inventory = Inventory(
            boot_id=engine.model.boot_id,
            role=engine.role,
            models=engine.models,
            adapters=tuple(engine.adapters),
        )
        respond(resp, inventory)


class _RunsResource:
    def __init__(self, engine: EngineStandin) -> None:
        self._engine = engine

    def on_get(self, _req: falcon.Request, resp: falcon.Response) -> None:
        engine = self._engine
        runs = EngineRuns(
            generations=engine.runs,
            header_names=sorted(engine.header_names),
            boot_id=engine.model.boot_id,
            orders=engine.orders,
            refused_count=engine.refused_count,
        )
        respond(resp, runs)
