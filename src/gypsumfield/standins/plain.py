"""Stand-in for a plain service: a ledger of sales with notes and prices.

- ``POST /sales`` (`Sale`) records a sale on every run, so it is not idempotent.
- ``GET /balances/{cart}`` is idempotent.
- ``PUT`` and ``DELETE /notes/{name}`` count every run, so that a request that runs
  twice can be detected.
- ``GET /prices`` needs no account key in the sample configuration.
- ``GET /standin/runs`` returns `PlainRuns`; ``PUT /standin/faults`` takes a
  `gypsumfield.standins.faults.FaultSet`.
"""

import uuid
from collections import Counter
from typing import Any
from typing import NamedTuple

import falcon
import gevent
import msgspec

from gypsumfield.clock import MS_PER_S
from gypsumfield.engine_api import REQUEST_ID_HEADER
from gypsumfield.standins.common_routes import add_common_routes
from gypsumfield.standins.faults import FaultSet
from gypsumfield.standins.server import make_app
from gypsumfield.standins.server import read_body
from gypsumfield.standins.server import respond
from gypsumfield.standins.server import StandinServer

_PRICES_CENTS = {"coconut": 150, "coconut_water": 200}


class PlainSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a plain service stand-in.

    Attributes:
        listen_address: IP address to listen on.
        listen_port: Port to listen on; 0 lets the operating system choose one.
    """

    listen_address: str = "127.0.0.1"
    listen_port: int = 0


class Sale(msgspec.Struct, frozen=True):
    """Body of a ``POST /sales`` request: an amount to add to a cart's balance."""

    cart: str
    amount: float


class SaleAnswer(msgspec.Struct, frozen=True):
    """Body of the response to ``POST /sales``.

    Attributes:
        sale_id: Number of the sale, from 1.
        balance: Balance of the cart after the sale.
    """

    sale_id: int
    balance: float


class Balance(msgspec.Struct, frozen=True):
    """Body of the response to ``GET /balances/{cart}``."""

    cart: str
    balance: float


class NoteAnswer(msgspec.Struct, frozen=True):
    """Body of the response to ``PUT`` and ``DELETE /notes/{name}``.

    Attributes:
        name: Name of the note.
        change_count: How often the note was changed, with this change.
    """

    name: str
    change_count: int


class Prices(msgspec.Struct, frozen=True):
    """Body of the response to ``GET /prices``: prices in cents by product."""

    prices_cents: dict[str, int]


class PlainRuns(msgspec.Struct, frozen=True):
    """Body of the response to ``GET /standin/runs``.

    Attributes:
        runs: Number of runs by ``METHOD /route``.
        request_ids: Request id of each run, oldest first.
        header_names: Lower-case names of all request headers received so far.
    """

    runs: dict[str, int]
    request_ids: list[str]
    header_names: list[str]


class _SentResponse(NamedTuple):
    request_id: str
    message: msgspec.Struct


class PlainStandin:
    """Plain service that listens on one port.

    Args:
        settings: Settings of the stand-in; the defaults when None.
    """

    def __init__(self, settings: PlainSettings | None = None) -> None:
        settings = settings or PlainSettings()
        self.boot_id = uuid.uuid4().hex
        self.faults = FaultSet()
        self.sales: list[Sale] = []
        self.balances: Counter[str] = Counter()
        self.note_changes: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self.request_ids: list[str] = []
        self.header_names: set[str] = set()
        self._last_response = _SentResponse("nobody", Balance("nobody", 0.0))
        app = make_app()
        app.add_route("/sales", _SalesResource(self))
        app.add_route("/balances/{cart}", _BalancesResource(self))
        app.add_route("/notes/{name}", _NotesResource(self))
        app.add_route("/prices", _PricesResource(self))
        app.add_route("/standin/runs", _RunsResource(self))
        add_common_routes(app, self)
        self.server = StandinServer(app, settings.listen_address, settings.listen_port)

    @property
    def url(self) -> str:
        """Base URL; valid once started."""
        return self.server.url

    @property
    def address(self) -> str:
        """``IP:PORT``; valid once started."""
        return self.server.address

    def start(self) -> str:
        """Start serving; return the base URL."""
        return self.server.start()

    def stop(self) -> None:
        """Stop serving requests."""
        self.server.stop()

    def apply_faults(self, faults: FaultSet) -> None:
        """Replace all armed faults."""
        self.faults = faults
        self.server.arm(faults.faults)

    def record_and_respond(
        self,
        route: str,
        req: falcon.Request,
        resp: falcon.Response,
        message: msgspec.Struct,
        status: int = 200,
    ) -> None:
        """Record one run and respond; a fault sends the previous response instead."""
        request_id = req.get_header(REQUEST_ID_HEADER) or ""
        self.runs[route] += 1
        self.request_ids.append(request_id)
        self.header_names.update(name.lower() for name in req.headers)
        previous_response = self._last_response
        self._last_response = _SentResponse(request_id, message)
        respond(resp, message, status)
        if self.faults.crossed_answer_count > 0:
            remaining = self.faults.crossed_answer_count - 1
            self.faults = msgspec.structs.replace(
                self.faults, crossed_answer_count=remaining
            )
            respond(resp, previous_response.message, status)
            resp.set_header(REQUEST_ID_HEADER, previous_response.request_id)
        if self.faults.late_answer_ms > 0:
            gevent.sleep(self.faults.late_answer_ms / MS_PER_S)


class _SalesResource:
    def __init__(self, ledger: PlainStandin) -> None:
        self._ledger = ledger

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        sale: Sale = read_body(req, Sale)
        ledger = self._ledger
        ledger.sales.append(sale)
        ledger.balances[sale.cart] += sale.amount  # type: ignore[assignment]
        answer = SaleAnswer(len(ledger.sales), ledger.balances[sale.cart])
        ledger.record_and_respond("POST /sales", req, resp, answer, 201)


class _BalancesResource:
    def __init__(self, ledger: PlainStandin) -> None:
        self._ledger = ledger

    def on_get(self, req: falcon.Request, resp: falcon.Response, cart: str) -> None:
        balance = Balance(cart, self._ledger.balances[cart])
        self._ledger.record_and_respond("GET /balances/{cart}", req, resp, balance)


class _NotesResource:
    def __init__(self, ledger: PlainStandin) -> None:
        self._ledger = ledger

    def on_put(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        read_body(req, Any)
        self._append_change("PUT", req, resp, name)

    def on_delete(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        self._append_change("DELETE", req, resp, name)

    def _append_change(
        self, method: str, req: falcon.Request, resp: falcon.Response, name: str
    ) -> None:
        ledger = self._ledger
        ledger.note_changes[name] += 1
        answer = NoteAnswer(name, ledger.note_changes[name])
        ledger.record_and_respond(f"{method} /notes/{{name}}", req, resp, answer)


class _PricesResource:
    def __init__(self, ledger: PlainStandin) -> None:
        self._ledger = ledger

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        self._ledger.record_and_respond("GET /prices", req, resp, Prices(_PRICES_CENTS))


class _RunsResource:
    def __init__(self, ledger: PlainStandin) -> None:
        self._ledger = ledger

    def on_get(self, _req: falcon.Request, resp: falcon.Response) -> None:
        ledger = self._ledger
        runs = PlainRuns(
            runs=dict(ledger.runs),
            request_ids=ledger.request_ids,
            header_names=sorted(ledger.header_names),
        )
        respond(resp, runs)
