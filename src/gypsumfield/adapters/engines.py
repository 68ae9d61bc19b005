"""Client of model engines: generations, load reports, inventories and orders."""

import uuid
from collections.abc import Callable
from collections.abc import Iterator
from typing import TypeVar

import msgspec
from sseclient import SSEClient

from gypsumfield.aborts import AbortHandle
from gypsumfield.adapters.backends import Exchange
from gypsumfield.adapters.backends import ExchangeTimeouts
from gypsumfield.adapters.backends import refusal_error
from gypsumfield.adapters.outgoing_requests import OutgoingRequest
from gypsumfield.decoding import decode
from gypsumfield.engine_api import EngineRefusal
from gypsumfield.engine_api import Inventory
from gypsumfield.engine_api import LoadReport
from gypsumfield.engine_api import Order
from gypsumfield.engine_api import OrderOutcome
from gypsumfield.engine_api import StartGeneration
from gypsumfield.engine_api import TokenEvent
from gypsumfield.event_stream import EventSplitter
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import InvalidDataError
from gypsumfield.platform_api import Member
from gypsumfield.verdicts import RunVerdict

REFUSAL_LIMIT_BYTES = 65_536
ANSWER_LIMIT_BYTES = 4_194_304
JSON_HEADERS = {"Content-Type": "application/json"}
STATUS_OK = 200
STATUS_CONFLICT = 409
CONTROL_TIMEOUTS = ExchangeTimeouts(1_000.0, 5_000.0, 5_000.0)
REFUSAL_STATUSES = frozenset({400, 409, 429, 503})

AnswerT = TypeVar("AnswerT")

_token_decoder = msgspec.json.Decoder(TokenEvent)
_refusal_decoder = msgspec.json.Decoder(EngineRefusal)
_outcome_decoder = msgspec.json.Decoder(OrderOutcome)


class EngineStream:
    """Token events of one generation; an event of another generation is an error."""

    def __init__(self, exchange: Exchange, generation_id: str) -> None:
        self._exchange = exchange
        self._generation_id = generation_id

    def events(self) -> Iterator[TokenEvent]:
        """Yield events up to and including the one that has a finish reason.

        Raises:
            BackendError: The stream broke, sent no data within the timeout, ended
                without a finish reason or contained another generation's event.
        """
        for sse_event in SSEClient(self._chunks()).events():
            event = self._decode(sse_event.data)
            yield event
            if event.finish_reason is not None:
                return
        raise self._stream_error("the stream ended without a finish reason")

    def close(self) -> None:
        """Close the connection."""
        self._exchange.close()

    def _chunks(self) -> Iterator[bytes]:
        """Yield complete events; the splitter limits them and does linear work."""
        splitter = EventSplitter()
        while chunk := self._exchange.read_chunk():
            for event in splitter.feed(chunk):
                yield event.data

    def _decode(self, data: str) -> TokenEvent:
        try:
            event = decode(_token_decoder, data.encode())
        except InvalidDataError as error:
            raise self._stream_error(f"a token event is damaged: {error}") from error
        if event.generation_id != self._generation_id:
            raise self._stream_error("a token event belongs to another generation")
        return event

    def _stream_error(self, reason: str) -> BackendError:
        return BackendError(reason, RunVerdict.MAY_HAVE_RUN, "stream_broken")


def start_generation(
    address: str,
    start: StartGeneration,
    request_id: str,
    timeouts: ExchangeTimeouts,
    abort: AbortHandle,
    check_before_send: Callable[[], str],
) -> EngineStream:
    """Start a generation on the engine at ``address``.

    Raises:
        BackendError: The start failed. The verdict is ``NOT_RUN`` when the engine
            refused or could not be reached.
    """
    request = OutgoingRequest(
        address=address,
        method="POST",
        target="/v1/generations",
        headers=JSON_HEADERS,
        body=msgspec.json.encode(start),
        request_id=request_id,
    )
    exchange = Exchange(request, timeouts, abort)
    status = exchange.open(check_before_send)
    _check_status(exchange, status)
    return EngineStream(exchange, start.generation_id)


def resume_generation(
    address: str,
    generation_id: str,
    after_sequence: int,
    request_id: str,
    timeouts: ExchangeTimeouts,
    abort: AbortHandle,
) -> EngineStream:
    """Continue a generation after a sequence number.

    Raises:
        BackendError: The engine could not be reached, or it does not have the
            generation; the code is then ``unknown_generation``.
    """
    request = OutgoingRequest(
        address=address,
        method="GET",
        target=f"/v1/generations/{generation_id}?after={after_sequence}",
        headers={},
        body=b"",
        request_id=request_id,
    )
    exchange = Exchange(request, timeouts, abort)
    status = exchange.open(lambda: "")
    _check_status(exchange, status)
    return EngineStream(exchange, generation_id)


def cancel_generation(
    address: str, generation_id: str, request_id: str, timeouts: ExchangeTimeouts
) -> None:
    """Cancel a generation at an engine; cancelling twice has no further effect.

    Raises:
        BackendError: The engine did not answer.
    """
    request = OutgoingRequest(
        address=address,
        method="DELETE",
        target=f"/v1/generations/{generation_id}",
        headers={},
        body=b"",
        request_id=request_id,
    )
    exchange = Exchange(request, timeouts, AbortHandle())
    exchange.open(lambda: "")
    exchange.close()


def fetch_json(
    address: str,
    target: str,
    answer_type: type[AnswerT],
    request_id: str,
    timeouts: ExchangeTimeouts,
) -> AnswerT:
    """Send a ``GET`` request and decode the JSON answer, for example a load report.

    Raises:
        BackendError: The engine did not answer, or the answer is not a valid
            ``answer_type``.
    """
    request = OutgoingRequest(address, "GET", target, {}, b"", request_id)
    exchange = Exchange(request, timeouts, AbortHandle())
    status = exchange.open(lambda: "")
    try:
        body = exchange.read_body(ANSWER_LIMIT_BYTES)
    finally:
        exchange.close()
    if status != STATUS_OK:
        raise BackendError(f"{target} answered {status}", RunVerdict.RAN)
    try:
        return decode(msgspec.json.Decoder(answer_type), body)
    except InvalidDataError as error:
        raise BackendError(f"{target}: {error}", RunVerdict.RAN) from error


def read_inventory(address: str) -> Inventory:
    """Return the inventory of the engine at ``address``: models and generations.

    Raises:
        BackendError: The engine did not answer, or its answer is invalid.
    """
    request_id = uuid.uuid4().hex
    return fetch_json(address, "/v1/inventory", Inventory, request_id, CONTROL_TIMEOUTS)


def read_boot_id(backend: Member) -> str:
    """Return the boot of an engine that answers now.

    Raises:
        BackendError: The engine did not answer, or its answer is invalid.
    """
    request_id = uuid.uuid4().hex
    report = fetch_json(
        backend.address, "/v1/load", LoadReport, request_id, CONTROL_TIMEOUTS
    )
    return report.boot_id


def _check_status(exchange: Exchange, status: int) -> None:
    if status == STATUS_OK:
        return
    try:
        body = exchange.read_body(REFUSAL_LIMIT_BYTES)
    finally:
        exchange.close()
    raise _refusal_error(status, body)


def _refusal_error(status: int, body: bytes) -> BackendError:
    if status in REFUSAL_STATUSES:
        try:
            error = decode(_refusal_decoder, body).error
        except InvalidDataError:
            # Without the engine's error body, it is unknown whether the request ran.
            return BackendError(f"engine answered {status}", RunVerdict.MAY_HAVE_RUN)
        return refusal_error(error.message, error.code, error.retry_after_ms)
    code = "unknown_generation" if status == 404 else "backend_failed"
    return BackendError(f"engine answered {status}", RunVerdict.MAY_HAVE_RUN, code)


def send_order(
    address: str,
    order: Order,
    request_id: str,
    timeouts: ExchangeTimeouts,
    check_before_send: Callable[[], str],
) -> OrderOutcome:
    """Send an order to an engine, unless ``check_before_send`` returns a reason.

    Returns:
        The outcome, also when the engine refused a fencing number that is too low.

    Raises:
        BackendError: The engine did not answer, or refused the order for another
            reason than its fencing number.
    """
    request = OutgoingRequest(
        address=address,
        method="POST",
        target="/v1/orders",
        headers=JSON_HEADERS,
        body=msgspec.json.encode(order),
        request_id=request_id,
    )
    exchange = Exchange(request, timeouts, AbortHandle())
    status = exchange.open(check_before_send)
    try:
        body = exchange.read_body(ANSWER_LIMIT_BYTES)
    finally:
        exchange.close()
    if status not in (STATUS_OK, STATUS_CONFLICT):
        raise _refusal_error(status, body)
    try:
        return decode(_outcome_decoder, body)
    except InvalidDataError as error:
        raise BackendError(f"/v1/orders: {error}", RunVerdict.RAN) from error
