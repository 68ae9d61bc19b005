"""HTTP routes for callers."""

import uuid
from collections.abc import Callable
from typing import Any

import falcon
import gevent
import msgspec

from gypsumfield.aborts import AbortHandle
from gypsumfield.access import bearer_key
from gypsumfield.adapters.body_buffer import BodyBuffer
from gypsumfield.adapters.caller_server import ABANDON_BODY_KEY
from gypsumfield.adapters.caller_server import CALLER_SOCKET_KEY
from gypsumfield.adapters.caller_server import DisconnectWatcher
from gypsumfield.adapters.caller_server import RAW_PATH_KEY
from gypsumfield.adapters.caller_stream import CallerStream
from gypsumfield.adapters.held_requests import held_application
from gypsumfield.adapters.held_requests import hold_of
from gypsumfield.adapters.http_endpoints import add_endpoints
from gypsumfield.adapters.http_endpoints import EndpointDependencies
from gypsumfield.caller_api import build_completion
from gypsumfield.caller_api import chat_prompt
from gypsumfield.caller_api import ChatBody
from gypsumfield.caller_api import CompletionBody
from gypsumfield.caller_api import DONE_EVENT
from gypsumfield.caller_api import error_body
from gypsumfield.caller_api import event_encoder
from gypsumfield.caller_api import retry_after_seconds
from gypsumfield.clock import MS_PER_S
from gypsumfield.decoding import decode
from gypsumfield.exceptions import CallerGoneError
from gypsumfield.exceptions import HeldMemoryError
from gypsumfield.exceptions import InvalidDataError
from gypsumfield.exceptions import Refusal
from gypsumfield.exceptions import RefusedError
from gypsumfield.held_memory import HeldMemory
from gypsumfield.held_memory import HeldPart
from gypsumfield.request_validation import GenerationRequest
from gypsumfield.request_validation import PlainRequest
from gypsumfield.request_validation import ResumeRequest
from gypsumfield.serving import Serving
from gypsumfield.verdicts import RunVerdict

READ_SIZE_BYTES = 16_384
# Longest time to receive a request body.
BODY_TIMEOUT_MS = 10_000.0
# The host has memory again when the answers that it holds are sent.
MEMORY_RETRY_AFTER_MS = 500.0
REQUEST_ID_HEADER = "X-Request-Id"
PLAIN_PREFIX = r"/services/(?P<service>[^/]+)(?P<path>/.*)?$"


def build_application(
    serving: Serving,
    deps: EndpointDependencies,
    body_limit_bytes: int,
    memory: HeldMemory,
) -> Callable[..., Any]:
    """Return the WSGI application that serves callers and the state endpoints.

    Args:
        serving: Serves requests.
        deps: State of the host.
        body_limit_bytes: Largest accepted request body.
        memory: Bounds the bytes that all requests hold together.
    """
    app = falcon.App()
    app.req_options.strip_url_path_trailing_slash = False
    app.add_route("/v1/completions", _Completions(serving, body_limit_bytes, False))
    app.add_route("/v1/chat/completions", _Completions(serving, body_limit_bytes, True))
    app.add_route("/v1/generations/resume", _Resume(serving))
    add_endpoints(app, deps)
    app.add_sink(_plain_sink(serving, body_limit_bytes), prefix=PLAIN_PREFIX)
    app.add_error_handler(RefusedError, _refusal_handler(serving))
    app.add_error_handler(CallerGoneError, _caller_gone_handler(serving))
    app.add_error_handler(falcon.HTTPError, _answer_http_error)
    app.add_error_handler(Exception, _fault_handler(serving))
    return held_application(app, memory)


class _Completions:
    def __init__(self, serving: Serving, body_limit_bytes: int, is_chat: bool) -> None:
        self._serving = serving
        self._body_limit_bytes = body_limit_bytes
        self._is_chat = is_chat

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        request_id = _assign_request_id(req, resp)
        self._serving.check_key(_read_key(req))
        abort = AbortHandle()
        generation_request = self._read_generation_request(req, request_id, abort)
        watch = DisconnectWatcher(req.env[CALLER_SOCKET_KEY], abort)
        if generation_request.is_stream:
            self._send_stream(generation_request, resp, watch)
        else:
            self._send_complete_answer(req, generation_request, resp, watch)

    def _read_generation_request(
        self, req: falcon.Request, request_id: str, abort: AbortHandle
    ) -> GenerationRequest:
        data = _read_body(req, self._body_limit_bytes)
        body_type = ChatBody if self._is_chat else CompletionBody
        try:
            body: Any = decode(msgspec.json.Decoder(body_type), data)
        except InvalidDataError as error:
            raise RefusedError(Refusal(400, "bad_body", f"body: {error}")) from error
        prompt = chat_prompt(body.messages) if self._is_chat else body.prompt
        return GenerationRequest(
            request_id=request_id,
            key=_read_key(req),
            model=body.model,
            prompt=prompt,
            max_tokens=body.max_tokens,
            is_stream=body.stream,
            is_chat=self._is_chat,
            abort=abort,
        )

    def _send_stream(
        self,
        generation_request: GenerationRequest,
        resp: falcon.Response,
        watch: DisconnectWatcher,
    ) -> None:
        try:
            rest = self._serving.stream(generation_request)
            first = next(rest)
        except BaseException:
            watch.stop()
            raise
        encode = event_encoder(
            generation_request.request_id,
            generation_request.model,
            generation_request.is_chat,
        )
        _set_event_stream_headers(resp)
        resp.stream = CallerStream(
            first,
            rest,
            encode,
            watch,
            generation_request.request_id,
            self._serving,
        )

    def _send_complete_answer(
        self,
        req: falcon.Request,
        generation_request: GenerationRequest,
        resp: falcon.Response,
        watch: DisconnectWatcher,
    ) -> None:
        try:
            prompt_tokens, deliveries = self._serving.collect(generation_request)
        finally:
            watch.stop()
        answer = build_completion(
            generation_request.request_id,
            generation_request.model,
            generation_request.is_chat,
            prompt_tokens,
            deliveries,
        )
        resp.content_type = falcon.MEDIA_JSON
        resp.data = msgspec.json.encode(answer)
        hold_of(req.env).record_complete(HeldPart.ANSWER, len(resp.data))


class _Resume:
    def __init__(self, serving: Serving) -> None:
        self._serving = serving

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        request_id = _assign_request_id(req, resp)
        abort = AbortHandle()
        cursor = req.get_header("Last-Event-ID") or ""
        resume_request = ResumeRequest(request_id, _read_key(req), cursor, abort)
        watch = DisconnectWatcher(req.env[CALLER_SOCKET_KEY], abort)
        try:
            origin, rest = self._serving.resume(resume_request)
            first = next(rest, None)
        except BaseException:
            watch.stop()
            raise
        _set_event_stream_headers(resp)
        if first is None:
            watch.stop()
            resp.stream = iter((DONE_EVENT,))
            return
        encode = event_encoder(origin.request_id, origin.service, origin.is_chat)
        resp.stream = CallerStream(
            first,
            rest,
            encode,
            watch,
            request_id,
            self._serving,
        )


def _plain_sink(serving: Serving, body_limit_bytes: int) -> Callable[..., None]:
    def handle(
        req: falcon.Request,
        resp: falcon.Response,
        service: str,
        path: str | None = None,
    ) -> None:
        request_id = _assign_request_id(req, resp)
        body = _read_body(req, body_limit_bytes)
        abort = AbortHandle()
        raw_path, _, query = req.env[RAW_PATH_KEY].partition("?")
        plain_request = PlainRequest(
            request_id=request_id,
            key=_read_key(req),
            service=service,
            method=req.method,
            path=path or "/",
            raw_path=raw_path,
            query=query,
            headers=dict(req.headers),
            body=body,
            abort=abort,
        )
        watch = DisconnectWatcher(req.env[CALLER_SOCKET_KEY], abort)
        try:
            answer = serving.call(plain_request)
        finally:
            watch.stop()
        resp.status = falcon.code_to_http_status(answer.status)
        for name, value in answer.headers:
            resp.append_header(name, value)
        resp.data = answer.body
        hold_of(req.env).record_complete(HeldPart.ANSWER, len(answer.body))

    return handle


def _assign_request_id(req: falcon.Request, resp: falcon.Response) -> str:
    # The caller's request id is not used, because the id is sent to backend servers
    # and must be unique.
    request_id = uuid.uuid4().hex
    req.context.request_id = request_id
    resp.set_header(REQUEST_ID_HEADER, request_id)
    return request_id


def _set_event_stream_headers(resp: falcon.Response) -> None:
    resp.content_type = "text/event-stream"
    resp.set_header("Cache-Control", "no-store")


def _read_key(req: falcon.Request) -> str:
    return bearer_key(req.get_header("Authorization"))


def _read_body(req: falcon.Request, limit_bytes: int) -> bytes:
    try:
        return _read_bounded_body(req, limit_bytes)
    except RefusedError:
        # The end of this body, and so the start of the next request, is unknown.
        req.env[ABANDON_BODY_KEY]()
        raise


def _read_bounded_body(req: falcon.Request, limit_bytes: int) -> bytes:
    too_large = Refusal(413, "body_too_large", f"the body is above {limit_bytes} bytes")
    if (req.content_length or 0) > limit_bytes:
        raise RefusedError(too_large)
    body = BodyBuffer(req.content_length or 0)
    stream = req.env["wsgi.input"]
    hold = hold_of(req.env)
    late = Refusal(408, "body_late", "the body took too long")
    try:
        with gevent.Timeout(BODY_TIMEOUT_MS / MS_PER_S, RefusedError(late)):
            while chunk := stream.read(min(READ_SIZE_BYTES, limit_bytes + 1)):
                body.append(chunk)
                if len(body) > limit_bytes:
                    raise RefusedError(too_large)
                hold.resize(HeldPart.REQUEST, len(body))
    except HeldMemoryError as error:
        body.clear()
        raise RefusedError(
            Refusal(
                503, "memory_full", str(error), retry_after_ms=MEMORY_RETRY_AFTER_MS
            )
        ) from error
    except OSError as error:
        raise RefusedError(
            Refusal(400, "bad_body", "the body is cut or badly encoded")
        ) from error
    if req.content_length is not None and len(body) < req.content_length:
        raise RefusedError(Refusal(400, "bad_body", "the body is shorter than stated"))
    return body.take()


def _refusal_handler(serving: Serving) -> Callable[..., None]:
    def handle(
        req: falcon.Request, resp: falcon.Response, error: RefusedError, params: Any
    ) -> None:
        serving.log_refusal(getattr(req.context, "request_id", ""), error)
        _answer_refusal(req, resp, error, params)

    return handle


def _answer_refusal(
    req: falcon.Request, resp: falcon.Response, error: RefusedError, params: Any
) -> None:
    refusal = error.refusal
    resp.status = falcon.code_to_http_status(refusal.status)
    resp.content_type = falcon.MEDIA_JSON
    retry_after = retry_after_seconds(refusal)
    if retry_after is not None:
        resp.set_header("Retry-After", retry_after)
    if refusal.status == 401:
        resp.set_header("WWW-Authenticate", "Bearer")
    resp.data = error_body(refusal, getattr(req.context, "request_id", ""))


def _caller_gone_handler(serving: Serving) -> Callable[..., None]:
    def handle(
        req: falcon.Request, resp: falcon.Response, error: CallerGoneError, params: Any
    ) -> None:
        # The caller does not receive this answer; the connection is closed after it.
        serving.log_caller_gone(getattr(req.context, "request_id", ""))
        resp.status = falcon.HTTP_400
        resp.data = b""

    return handle


def _answer_http_error(
    req: falcon.Request, resp: falcon.Response, error: falcon.HTTPError, params: Any
) -> None:
    status = error.status_code
    code = "unknown_route" if status == 404 else "bad_request"
    message = error.description or error.title or "the request cannot be served"
    refused = RefusedError(Refusal(status, code, message))
    _answer_refusal(req, resp, refused, params)
    for name, value in dict(error.headers or {}).items():
        resp.set_header(name, value)


def _fault_handler(serving: Serving) -> Callable[..., None]:
    def handle(
        req: falcon.Request, resp: falcon.Response, error: Exception, params: Any
    ) -> None:
        # The fault may have occurred after the request was sent to a server, so the
        # verdict of the refusal is that it may have run.
        serving.log_internal_fault(getattr(req.context, "request_id", ""), error)
        _answer_refusal(req, resp, RefusedError(_fault_refusal(error)), params)

    return handle


def _fault_refusal(error: Exception) -> Refusal:
    message = f"internal error: {type(error).__name__}"
    return Refusal(500, "internal_error", message, RunVerdict.MAY_HAVE_RUN)
