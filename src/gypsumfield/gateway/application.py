"""WSGI application for callers: forwards each call to a backend server."""

import itertools
import random
import traceback
from collections.abc import Callable
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any
from typing import NamedTuple

import gevent
import msgspec

from gypsumfield.aborts import AbortHandle
from gypsumfield.adapters.caller_server import ABANDON_BODY_KEY
from gypsumfield.adapters.caller_server import CALLER_SOCKET_KEY
from gypsumfield.adapters.caller_server import CONNECTION_KEY
from gypsumfield.adapters.caller_server import DisconnectWatcher
from gypsumfield.adapters.caller_server import RAW_HEADERS_KEY
from gypsumfield.adapters.caller_server import RAW_PATH_KEY
from gypsumfield.adapters.loop_lag import name_greenlet
from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.decisions.draining import accepts_call
from gypsumfield.decisions.draining import accepts_stream
from gypsumfield.decisions.draining import DRAIN_RETRY_AFTER_MS
from gypsumfield.decisions.draining import expected_stream_ms
from gypsumfield.events import CallerGone
from gypsumfield.events import InternalFault
from gypsumfield.events import RequestCompleted
from gypsumfield.events import RequestRefused
from gypsumfield.exceptions import Refusal
from gypsumfield.exceptions import RefusedError
from gypsumfield.gateway.attempt import NO_PATH_CODE
from gypsumfield.gateway.bodies import HeldAnswer
from gypsumfield.gateway.bodies import MEMORY_FULL_CODE
from gypsumfield.gateway.bodies import OpenStream
from gypsumfield.gateway.bodies import read_body
from gypsumfield.gateway.bodies import StreamBody
from gypsumfield.gateway.calls import CallHeaders
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.forwarding import Forwarder
from gypsumfield.gateway.forwarding import REFUSAL_HEADER
from gypsumfield.gateway.http_endpoints import FORWARDED_KEY
from gypsumfield.gateway.job import content_id_of
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.job import predict_tokens
from gypsumfield.gateway.model import CallKind
from gypsumfield.gateway.model import may_repeat
from gypsumfield.gateway.model import Route
from gypsumfield.gateway.part_guard import CONDEMNED_REASONS
from gypsumfield.gateway.plain_calls import BufferedAnswer
from gypsumfield.gateway.plain_calls import call_plain_service
from gypsumfield.gateway.plain_calls import PlainCallDependencies
from gypsumfield.gateway.routes import Permit
from gypsumfield.gateway.routes import permit_call
from gypsumfield.gateway.routes import select_service
from gypsumfield.gateway.stream_dependencies import StreamDependencies
from gypsumfield.gateway.streams import Stream
from gypsumfield.gateway.wire_format import WireFormat
from gypsumfield.held_memory import HeldMemory
from gypsumfield.held_memory import Hold
from gypsumfield.interfaces import EmitEvent
from gypsumfield.verdicts import RunVerdict

# A call is aborted this long before its time limit ends, so that the refusal still
# arrives in time.
DEADLINE_MARGIN_MS = 20.0

StartResponse = Callable[..., Any]


class GatewayDependencies(NamedTuple):
    """Dependencies of the application.

    Attributes:
        wire: Decoding and encoding of headers.
        catalogue: Configuration in force.
        plain: Dependencies of calls to plain services.
        streams: Dependencies of streams.
        forwarder: Sends calls through other hosts.
        memory: Bounds the bytes that all calls hold together.
        draining_ms: Returns the time since the signal to stop, None without one.
        stop_limit_ms: Returns the time between the signal to stop and the kill.
        clock: Monotonic clock, in milliseconds.
        rng: Source of the random selection between a route's services.
        emit: Logs an event.
    """

    wire: WireFormat
    catalogue: Catalogue
    plain: PlainCallDependencies
    streams: StreamDependencies
    forwarder: Forwarder
    memory: HeldMemory
    draining_ms: Callable[[], float | None]
    stop_limit_ms: Callable[[], float]
    clock: Clock
    rng: random.Random
    emit: EmitEvent


class Gateway:
    """Forwards each permitted call to a server of its route's services."""

    def __init__(self, deps: GatewayDependencies) -> None:
        self._deps = deps
        self._numbers = itertools.count(1)

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request of a caller.

        Args:
            environ: WSGI environment with the additions of `CallerHandler`.
            start_response: WSGI callable that takes the status line and the headers.
        """
        hold = self._deps.memory.open(environ.get(CONNECTION_KEY))
        try:
            return HeldAnswer(self._answer(environ, start_response, hold), hold)
        except BaseException:
            hold.release()
            raise

    def _answer(
        self, environ: dict[str, Any], start_response: StartResponse, hold: Hold
    ) -> Iterable[bytes]:
        request = self._deps.wire.decode_request(environ[RAW_HEADERS_KEY])
        name_greenlet(f"request {request.request_id}")
        try:
            job = self._admit(environ, request, hold)
        except RefusedError as error:
            return self._refuse(environ, start_response, request, error)
        watch = DisconnectWatcher(environ[CALLER_SOCKET_KEY], job.abort)
        deadline = gevent.spawn_later(
            max(0.0, job.remaining_ms(self._deps.clock)) / MS_PER_S,
            job.abort.abort,
            "its time is over",
        )

        def stop_watching() -> None:
            watch.stop()
            deadline.kill(block=False)

        try:
            answer = self._serve(job)
            if isinstance(answer, BufferedAnswer):
                stop_watching()
                return self._send_answer(start_response, job, answer)
            start_response("200 OK", answer.headers)
            return StreamBody(
                answer, lambda: self._end_stream(answer, job, watch, stop_watching)
            )
        except RefusedError as error:
            stop_watching()
            return self._refuse(
                environ, start_response, request, self._complete_refusal(job, error)
            )
        except Exception as error:
            stop_watching()
            self._log_internal_fault(job, error)
            raise
        except BaseException:
            # The greenlet was killed: the host stops.
            stop_watching()
            raise

    def _admit(self, environ: dict[str, Any], request: CallHeaders, hold: Hold) -> Job:
        started_ms = self._deps.clock.monotonic_ms()
        target = environ[RAW_PATH_KEY]
        if not target.startswith("/"):
            raise RefusedError(Refusal(400, "bad_target", "the target is no path"))
        publication = self._deps.catalogue.publication
        body_limit = publication.body_limit_bytes if publication else 0
        time_left_ms = environ.get(FORWARDED_KEY)
        permit: Permit = permit_call(publication, request, target.partition("?")[0])
        time_limit_ms = min(
            permit.route.timeout_ms,
            permit.route.timeout_ms
            if request.time_limit_ms is None
            else request.time_limit_ms,
            permit.route.timeout_ms if time_left_ms is None else time_left_ms,
        )
        self._check_draining(permit.route, request, time_limit_ms)
        body = read_body(environ, body_limit, hold)
        method = environ["REQUEST_METHOD"]
        job = Job(
            call=request,
            method=method,
            target=target,
            headers=environ[RAW_HEADERS_KEY],
            body=body,
            route=permit.route,
            account=permit.account,
            service=select_service(permit.route.shares, self._deps.rng),
            started_ms=started_ms,
            deadline_ms=started_ms + max(0.0, time_limit_ms - DEADLINE_MARGIN_MS),
            abort=AbortHandle(),
            content_id=content_id_of(method, target, permit.account, body),
            hold=hold,
        )
        if time_left_ms is None:
            return job
        if self._deps.streams.attempts.placer.has_lost_path(job.service):
            message = "this host has no path to the service either"
            raise RefusedError(Refusal(503, NO_PATH_CODE, message))
        return job._replace(must_serve_here=True)

    def _check_draining(
        self, route: Route, request: CallHeaders, time_limit_ms: float
    ) -> None:
        """Refuse a call that would probably not end before the host stops.

        Raises:
            RefusedError: 503; another host can accept the call at once.
        """
        draining_ms = self._deps.draining_ms()
        limit_ms = self._deps.stop_limit_ms()
        if route.kind is CallKind.STREAM and not route.is_resumable:
            placer = self._deps.streams.attempts.placer
            step_ms = placer.pace(route.shares[0].service).step_ms
            stream_ms = expected_stream_ms(predict_tokens(request), step_ms)
            is_accepted = accepts_stream(draining_ms, limit_ms, stream_ms)
        else:
            is_accepted = accepts_call(draining_ms, limit_ms, time_limit_ms)
        if not is_accepted:
            raise RefusedError(
                Refusal(
                    503,
                    "host_stopping",
                    "this host stops before the call could end",
                    retry_after_ms=DRAIN_RETRY_AFTER_MS,
                )
            )

    def _serve(self, job: Job) -> BufferedAnswer | OpenStream:
        """Serve a call here, or through a host that reaches its service.

        Raises:
            RefusedError: The call is refused, or its only attempt has failed.
        """
        now_ms = self._deps.clock.monotonic_ms()
        if not job.must_serve_here:
            self._deps.plain.retry_share(job.service).record_request(now_ms)
        placer = self._deps.streams.attempts.placer
        failure: Refusal | None = None
        if not placer.should_forward(job):
            try:
                return self._serve_here(job)
            except RefusedError as error:
                has_run = error.refusal.verdict is not RunVerdict.NOT_RUN
                may_send = may_repeat(job.route) or not has_run
                if not (may_send and placer.should_forward(job)):
                    raise
                failure = error.refusal if has_run else None
        answer = self._deps.forwarder.forward(job)
        if answer is None and failure is not None:
            # A later refusal would state that the call has not run.
            raise RefusedError(failure)
        return answer or self._serve_here(job._replace(must_serve_here=True))

    def _serve_here(self, job: Job) -> BufferedAnswer | OpenStream:
        if job.route.kind is not CallKind.STREAM:
            return call_plain_service(self._deps.plain, job)
        stream = Stream(self._deps.streams, job)
        return stream.open() or stream

    def _end_stream(
        self,
        stream: OpenStream,
        job: Job,
        watch: DisconnectWatcher,
        stop_watching: Callable[[], None],
    ) -> None:
        stop_watching()
        stream.close()
        if watch.has_disconnected:
            self._deps.emit(
                CallerGone(
                    request_id=job.request_id,
                    account=job.account_name,
                    service=job.service,
                )
            )

    def _send_answer(
        self, start_response: StartResponse, job: Job, answer: BufferedAnswer
    ) -> Iterable[bytes]:
        start_response(_status_line(answer.status), answer.headers)
        self._deps.emit(
            RequestCompleted(
                request_id=job.request_id,
                account=job.account_name,
                service=job.service,
                elapsed_ms=self._deps.clock.monotonic_ms() - job.started_ms,
                status=answer.status,
            )
        )
        return [answer.body]

    def _complete_refusal(self, job: Job, error: RefusedError) -> RefusedError:
        """Add account and service to a refusal; 502 becomes 504 for an aborted call."""
        error.account = job.account_name
        error.service = job.service
        is_late = bool(job.abort.reason) and job.abort.reason not in CONDEMNED_REASONS
        if is_late and error.refusal.status == HTTPStatus.BAD_GATEWAY:
            return RefusedError(error.refusal._replace(status=504, code="timeout"))
        return error

    def _refuse(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        request: CallHeaders,
        error: RefusedError,
    ) -> Iterable[bytes]:
        refusal = error.refusal
        self._deps.emit(
            RequestRefused(
                request_id=request.request_id,
                account=error.account,
                service=error.service,
                status=refusal.status,
                code=refusal.code,
                verdict=refusal.verdict.value,
                reason=refusal.message,
                retry_after_ms=refusal.retry_after_ms,
            )
        )
        headers = [
            ("Content-Type", "application/json"),
            *self._deps.wire.error_headers(request.request_id),
        ]
        if FORWARDED_KEY in environ and refusal.verdict is RunVerdict.NOT_RUN:
            headers.append((REFUSAL_HEADER, refusal.code))
        if refusal.retry_after_ms is not None:
            headers.append(("Retry-After", f"{refusal.retry_after_ms / MS_PER_S:.2f}"))
        if refusal.status in (400, 408, 413) or refusal.code == MEMORY_FULL_CODE:
            environ[ABANDON_BODY_KEY]()
        start_response(_status_line(refusal.status), headers)
        return [
            msgspec.json.encode(
                {
                    "error": {
                        "code": refusal.code,
                        "message": refusal.message,
                        "run": refusal.verdict.value,
                        "request_id": request.request_id,
                    }
                }
            )
        ]

    def _log_internal_fault(self, job: Job, error: Exception) -> None:
        trace = "".join(traceback.format_exception(error))
        self._deps.emit(
            InternalFault(
                request_id=job.request_id, reason=repr(error), trace=trace[-400:]
            )
        )


def _status_line(status: int) -> str:
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"
