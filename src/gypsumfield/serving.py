"""The way of one request: identified, limited, served, explained."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import NamedTuple

from gypsumfield.access import check_permission
from gypsumfield.access import check_service
from gypsumfield.access import Identity
from gypsumfield.access import KeyIndex
from gypsumfield.access import matches_route
from gypsumfield.access import UNKNOWN_KEY
from gypsumfield.adapters.backends import AbortHandle
from gypsumfield.attempts import AttemptPorts
from gypsumfield.attempts import DEFAULT_RETRY_AFTER_MS
from gypsumfield.attempts import Job
from gypsumfield.caller_api import estimate_prompt_tokens
from gypsumfield.configuration import Configuration
from gypsumfield.configuration import Service
from gypsumfield.cursors import read_cursor
from gypsumfield.cursors import StreamOrigin
from gypsumfield.decisions.retries import is_refund_due
from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.events import Event
from gypsumfield.events import FirstToken
from gypsumfield.events import InternalFault
from gypsumfield.events import RequestAdmitted
from gypsumfield.events import RequestCompleted
from gypsumfield.events import RequestFailed
from gypsumfield.events import RequestRefused
from gypsumfield.exceptions import CursorError
from gypsumfield.exceptions import Refusal
from gypsumfield.exceptions import RefusedError
from gypsumfield.generations import collect_generation
from gypsumfield.generations import Delivery
from gypsumfield.generations import GenerationPorts
from gypsumfield.generations import GenerationRequest
from gypsumfield.generations import resume_stream
from gypsumfield.generations import stream_generation
from gypsumfield.plain_calls import call_plain_service
from gypsumfield.plain_calls import check_call
from gypsumfield.plain_calls import PlainAnswer
from gypsumfield.plain_calls import PlainCall
from gypsumfield.plain_calls import PlainPorts
from gypsumfield.ports import QuotaDecision
from gypsumfield.ports import QuotaPort
from gypsumfield.verdicts import RunVerdict


class GenerationAsk(NamedTuple):
    """What a caller asks of a model service, as read from its request."""

    request_id: str
    key: str
    model: str
    prompt: str
    max_tokens: int | None
    is_stream: bool
    is_chat: bool


class PlainAsk(NamedTuple):
    """What a caller asks of a plain service, as read from its request."""

    request_id: str
    key: str
    service: str
    method: str
    path: str
    raw_path: str
    query: str
    headers: Mapping[str, str]
    body: bytes


class ServingPorts(NamedTuple):
    """What serving needs from outside.

    Attributes:
        attempts: What attempts need.
        generations: What generations need.
        plain: What plain calls need.
        quotas: Account limits over all entry hosts.
        find_host_hindrance: Says why this host serves nobody, or nothing.
    """

    attempts: AttemptPorts
    generations: GenerationPorts
    plain: PlainPorts
    quotas: QuotaPort
    find_host_hindrance: Callable[[], str]


class Serving:
    """Serves requests of callers; raises `RefusedError` for final refusals."""

    def __init__(self, ports: ServingPorts) -> None:
        self._ports = ports
        self._keys = KeyIndex()

    def identify(self, key: str) -> Identity:
        """Return the identity behind a key.

        Raises:
            RefusedError: 401, or 503 while the host cannot judge any key.
        """
        hindrance = self._ports.find_host_hindrance()
        if hindrance:
            raise RefusedError(
                Refusal(
                    503,
                    "host_not_ready",
                    hindrance,
                    retry_after_ms=DEFAULT_RETRY_AFTER_MS,
                )
            )
        identity = self._keys.find(self._configuration(), key) if key else None
        if identity is None:
            raise RefusedError(UNKNOWN_KEY)
        return identity

    def stream(self, ask: GenerationAsk, abort: AbortHandle) -> Iterator[Delivery]:
        """Yield the events of a new generation.

        Raises:
            RefusedError: Before the first event or in place of a further one.
        """
        request = self._generation_request(ask)
        with self._admitted(request.job):
            deliveries = stream_generation(self._ports.generations, request, abort)
            first = next(deliveries)
        self._note_first_token(request.job)
        return self._finish_stream(request.job, first, deliveries)

    def collect(
        self, ask: GenerationAsk, abort: AbortHandle
    ) -> tuple[int, list[Delivery]]:
        """Return the prompt's length and all events of a new generation.

        Raises:
            RefusedError: With a final answer.
        """
        request = self._generation_request(ask)
        with self._admitted(request.job):
            deliveries = collect_generation(self._ports.generations, request, abort)
        self._note_completed(request.job, deliveries[-1].sequence - 1)
        return request.job.demand.prompt_tokens, deliveries

    def resume(
        self, request_id: str, key: str, cursor: str, abort: AbortHandle
    ) -> tuple[StreamOrigin, Iterator[Delivery]]:
        """Return the origin of a cursor and the events after it.

        A resume continues a request that took its rate token when it was
        admitted, so it takes none.

        Raises:
            RefusedError: The key or cursor is not valid, or the generation is
                not known any more.
        """
        identity = self.identify(key)
        keys = self._configuration().cursor_keys
        try:
            origin, sequence = read_cursor(cursor, keys, identity.account)
        except CursorError as error:
            raise RefusedError(Refusal(400, "bad_cursor", str(error))) from error
        service = self._permitted_service(identity, origin.service, "model")
        demand = self._demand(request_id, origin.service, service, identity, 0, 0)
        job = self._job(request_id, identity, origin.service, service, demand, True)
        rest = resume_stream(self._ports.generations, job, origin, sequence, abort)
        return origin, rest

    def call(self, ask: PlainAsk, abort: AbortHandle) -> PlainAnswer:
        """Return the whole answer of a plain service.

        Raises:
            RefusedError: With a final answer.
        """
        call = self._plain_call(ask)
        with self._admitted(call.job):
            answer = call_plain_service(self._ports.plain, call, abort)
        self._note_completed(call.job, 0)
        return answer

    def note_refused(self, request_id: str, error: RefusedError) -> None:
        """Log the final refusal of a request."""
        refusal = error.refusal
        self._emit(
            RequestRefused(
                request_id=request_id,
                account=error.account,
                service=error.service,
                status=refusal.status,
                code=refusal.code,
                verdict=refusal.verdict.value,
                reason=refusal.message,
                retry_after_ms=refusal.retry_after_ms,
            )
        )

    def note_failed(self, request_id: str, refusal: Refusal) -> None:
        """Log an answer that ended with an error after it had begun."""
        self._emit(
            RequestFailed(
                request_id=request_id,
                code=refusal.code,
                verdict=refusal.verdict.value,
                reason=refusal.message,
            )
        )

    def note_fault(self, request_id: str, error: Exception) -> None:
        """Log a failure that the program does not foresee."""
        trace = "".join(traceback.format_exception(error))
        self._emit(
            InternalFault(
                request_id=request_id, reason=type(error).__name__, trace=trace
            )
        )

    def _generation_request(self, ask: GenerationAsk) -> GenerationRequest:
        identity = self.identify(ask.key)
        service = self._permitted_service(identity, ask.model, "model")
        profile = self._configuration().profiles[service.profile]
        max_tokens = ask.max_tokens
        if max_tokens is None:
            max_tokens = profile.max_output_tokens
        if not 0 < max_tokens <= profile.max_output_tokens:
            raise RefusedError(
                Refusal(
                    400,
                    "bad_max_tokens",
                    f"max_tokens is {max_tokens}, "
                    f"expected 1 to {profile.max_output_tokens}",
                )
            )
        prompt_tokens = estimate_prompt_tokens(ask.prompt)
        demand = self._demand(
            ask.request_id, ask.model, service, identity, prompt_tokens, max_tokens
        )
        # A generation has no effect but its answer, so it may be repeated as
        # long as nothing of it has been delivered.
        job = self._job(ask.request_id, identity, ask.model, service, demand, True)
        return GenerationRequest(job, ask.prompt, ask.is_chat)

    def _plain_call(self, ask: PlainAsk) -> PlainCall:
        configuration = self._configuration()
        service = configuration.services.get(ask.service)
        is_open = service is not None and matches_route(
            service.open_routes, ask.method, ask.path
        )
        identity = None
        if not is_open:
            identity = self.identify(ask.key)
        checked = check_service(configuration, ask.service, "plain")
        if isinstance(checked, Refusal):
            raise RefusedError(checked)
        if identity is not None:
            self._check_permission(configuration, identity, ask.service)
        refusal = check_call(ask.path, ask.raw_path, ask.key, ask.body)
        if refusal is not None:
            raise RefusedError(refusal)
        demand = self._demand(ask.request_id, ask.service, checked, identity, 0, 0)
        is_idempotent = matches_route(checked.idempotent_routes, ask.method, ask.path)
        job = self._job(
            ask.request_id, identity, ask.service, checked, demand, is_idempotent
        )
        return PlainCall(
            job, ask.method, ask.path, ask.query, ask.headers, ask.body, ask.key
        )

    def _permitted_service(self, identity: Identity, name: str, kind: str) -> Service:
        configuration = self._configuration()
        service = check_service(configuration, name, kind)
        if isinstance(service, Refusal):
            raise RefusedError(service)
        self._check_permission(configuration, identity, name)
        return service

    def _check_permission(
        self, configuration: Configuration, identity: Identity, service: str
    ) -> None:
        refusal = check_permission(configuration, identity, service)
        if refusal is not None:
            raise RefusedError(refusal)

    def _demand(
        self,
        request_id: str,
        name: str,
        service: Service,
        identity: Identity | None,
        prompt_tokens: int,
        max_tokens: int,
    ) -> GenerationDemand:
        return GenerationDemand(
            request_id=request_id,
            service=name,
            profile=service.profile,
            account=identity.account if identity else "",
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            priority=self._configuration().profiles[service.profile].priority,
        )

    def _job(
        self,
        request_id: str,
        identity: Identity | None,
        name: str,
        service: Service,
        demand: GenerationDemand,
        is_idempotent: bool,
    ) -> Job:
        return Job(
            request_id=request_id,
            identity=identity,
            service_name=name,
            service=service,
            profile=self._configuration().profiles[service.profile],
            demand=demand,
            is_idempotent=is_idempotent,
            started_ms=self._ports.attempts.clock.monotonic_ms(),
        )

    def _admitted(self, job: Job) -> _Admission:
        return _Admission(self._ports, job)

    def _finish_stream(
        self, job: Job, first: Delivery, rest: Iterator[Delivery]
    ) -> Iterator[Delivery]:
        yield first
        last = first.sequence
        try:
            for delivery in rest:
                last = delivery.sequence
                yield delivery
        finally:
            rest.close()  # type: ignore[attr-defined]
        self._note_completed(job, last - 1)

    def _note_first_token(self, job: Job) -> None:
        self._emit(
            FirstToken(
                request_id=job.request_id,
                account=job.account,
                service=job.service_name,
                elapsed_ms=self._elapsed_ms(job),
            )
        )

    def _note_completed(self, job: Job, token_count: int) -> None:
        self._emit(
            RequestCompleted(
                request_id=job.request_id,
                account=job.account,
                service=job.service_name,
                elapsed_ms=self._elapsed_ms(job),
                token_count=token_count,
            )
        )

    def _elapsed_ms(self, job: Job) -> float:
        return self._ports.attempts.clock.monotonic_ms() - job.started_ms

    def _configuration(self) -> Configuration:
        return self._ports.attempts.configuration()

    def _emit(self, event: Event) -> None:
        self._ports.attempts.emit(event)


class _Admission:
    """Takes a rate token for the length of a block; returns it if nothing ran."""

    def __init__(self, ports: ServingPorts, job: Job) -> None:
        self._ports = ports
        self._job = job
        self._decision: QuotaDecision | None = None

    def __enter__(self) -> None:
        job = self._job
        if job.identity is not None:
            decision = self._ports.quotas.take(job.account)
            self._decision = decision
            if not decision.is_granted:
                refusal = Refusal(
                    429,
                    "account_over_rate",
                    decision.reason,
                    RunVerdict.NOT_RUN,
                    decision.retry_after_ms,
                )
                raise self._name(RefusedError(refusal))
        self._ports.attempts.emit(
            RequestAdmitted(
                request_id=job.request_id,
                account=job.account,
                service=job.service_name,
            )
        )

    def __exit__(self, kind: object, error: object, trace: object) -> None:
        if not isinstance(error, RefusedError):
            return
        self._name(error)
        if self._decision is not None and is_refund_due(error.refusal.verdict):
            self._ports.quotas.give_back(self._job.account, self._decision)

    def _name(self, error: RefusedError) -> RefusedError:
        error.account = self._job.account
        error.service = self._job.service_name
        return error
