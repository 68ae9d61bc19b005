"""Turns what callers ask into admitted jobs, or refuses it as not run."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from gypsumfield.aborts import AbortHandle
from gypsumfield.access import check_permission
from gypsumfield.access import check_service
from gypsumfield.access import Identity
from gypsumfield.access import KeyIndex
from gypsumfield.access import matches_route
from gypsumfield.access import UNKNOWN_KEY
from gypsumfield.clock import Clock
from gypsumfield.configuration import Configuration
from gypsumfield.configuration import Profile
from gypsumfield.configuration import Service
from gypsumfield.cursors import read_cursor
from gypsumfield.cursors import StreamOrigin
from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.dispatch import DEFAULT_RETRY_AFTER_MS
from gypsumfield.exceptions import CursorError
from gypsumfield.exceptions import Refusal
from gypsumfield.exceptions import RefusedError
from gypsumfield.generations import GenerationRequest
from gypsumfield.jobs import Job
from gypsumfield.plain_calls import check_call
from gypsumfield.plain_calls import PlainCall
from gypsumfield.prefixes import count_prompt_tokens
from gypsumfield.prefixes import prefix_digests


class GenerationAsk(NamedTuple):
    """What a caller asks of a model service, as read from its request."""

    request_id: str
    key: str
    model: str
    prompt: str
    max_tokens: int | None
    is_stream: bool
    is_chat: bool
    abort: AbortHandle


class PlainRequest(NamedTuple):
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
    abort: AbortHandle


class ResumeAsk(NamedTuple):
    """What a caller asks that continues a stream."""

    request_id: str
    key: str
    cursor: str
    abort: AbortHandle


class ResumeRequest(NamedTuple):
    """A job that continues a generation after a sequence number."""

    job: Job
    origin: StreamOrigin
    after_sequence: int


class RequestValidatorDependencies(NamedTuple):
    """What the intake needs from outside.

    Attributes:
        configuration: Returns the configuration in force.
        clock: Time.
        find_not_ready_reason: Says why this host serves nobody, or nothing.
        platform_age_ms: Returns how long ago the platform last answered this
            host or a peer it hears; None when it never did.
    """

    configuration: Callable[[], Configuration]
    clock: Clock
    find_not_ready_reason: Callable[[], str]
    platform_age_ms: Callable[[], float | None]


class RequestValidator:
    """Checks keys, services and inputs against the configuration in force."""

    def __init__(self, ports: RequestValidatorDependencies) -> None:
        self._ports = ports
        self._configuration = ports.configuration
        self._keys = KeyIndex()

    def identify(self, key: str) -> Identity:
        """Return the identity behind a key.

        Raises:
            RefusedError: 401, or 503 while the host cannot judge any key.
        """
        hindrance = self._ports.find_not_ready_reason()
        if hindrance:
            retry_after_ms = DEFAULT_RETRY_AFTER_MS
            refusal = Refusal(
                503, "host_not_ready", hindrance, retry_after_ms=retry_after_ms
            )
            raise RefusedError(refusal)
        identity = self._keys.find(self._configuration(), key) if key else None
        if identity is None:
            raise RefusedError(UNKNOWN_KEY)
        return identity

    def generation_request(self, ask: GenerationAsk) -> GenerationRequest:
        """Return the job for a model engine.

        Raises:
            RefusedError: The key, service or length is not allowed.
        """
        identity = self.identify(ask.key)
        service = self._permitted_service(identity, ask.model)
        max_tokens = self._max_tokens(service, ask.max_tokens)
        prompt_tokens = count_prompt_tokens(ask.prompt)
        # A generation has no effect but its answer, so it may be repeated as
        # long as nothing of it has been delivered.
        job = self._job(
            ask.request_id, ask.abort, identity, ask.model, service, is_idempotent=True
        )
        demand = job.demand._replace(prompt_tokens=prompt_tokens, max_tokens=max_tokens)
        job = job._replace(demand=demand, prefix_digests=prefix_digests(ask.prompt))
        return GenerationRequest(job, ask.prompt, ask.is_chat)

    def resume_request(self, ask: ResumeAsk) -> ResumeRequest:
        """Return the job that continues a generation.

        Raises:
            RefusedError: The key, cursor or service is not allowed.
        """
        identity = self.identify(ask.key)
        keys = self._configuration().cursor_keys
        try:
            origin, sequence = read_cursor(ask.cursor, keys, identity.account)
        except CursorError as error:
            raise RefusedError(Refusal(400, "bad_cursor", str(error))) from error
        service = self._permitted_service(identity, origin.service)
        job = self._job(
            ask.request_id,
            ask.abort,
            identity,
            origin.service,
            service,
            is_idempotent=True,
        )
        return ResumeRequest(job, origin, sequence)

    def plain_call(self, ask: PlainRequest) -> PlainCall:
        """Return the job for a plain service.

        Raises:
            RefusedError: The key, service, path or body is not allowed.
        """
        identity = None if self._is_open(ask) else self.identify(ask.key)
        service = self._service(ask.service, "plain")
        if identity is not None:
            self._check_permission(identity, ask.service)
        refusal = check_call(ask.path, ask.raw_path, ask.key, ask.body)
        if refusal is not None:
            raise RefusedError(refusal)
        is_idempotent = matches_route(service.idempotent_routes, ask.method, ask.path)
        job = self._job(
            ask.request_id, ask.abort, identity, ask.service, service, is_idempotent
        )
        return PlainCall(
            job, ask.method, ask.path, ask.query, ask.headers, ask.body, ask.key
        )

    def _is_open(self, ask: PlainRequest) -> bool:
        service = self._configuration().services.get(ask.service)
        return service is not None and matches_route(
            service.open_routes, ask.method, ask.path
        )

    def _max_tokens(self, service: Service, wanted: int | None) -> int:
        limit = self._configuration().profiles[service.profile].max_output_tokens
        if wanted is None:
            return limit
        if 0 < wanted <= limit:
            return wanted
        message = f"max_tokens is {wanted}, expected 1 to {limit}"
        raise RefusedError(Refusal(400, "bad_max_tokens", message))

    def _permitted_service(self, identity: Identity, name: str) -> Service:
        service = self._service(name, "model")
        self._check_permission(identity, name)
        return service

    def _service(self, name: str, kind: str) -> Service:
        service = check_service(self._configuration(), name, kind)
        if isinstance(service, Refusal):
            raise RefusedError(service)
        return service

    def _check_permission(self, identity: Identity, service: str) -> None:
        refusal = check_permission(self._configuration(), identity, service)
        if refusal is not None:
            raise RefusedError(refusal)

    def _check_cut_off(self, service: str, profile: Profile) -> None:
        limit_ms = profile.cut_off_limit_ms
        if limit_ms is None:
            return
        age_ms = self._ports.platform_age_ms()
        if age_ms is None or age_ms > limit_ms:
            message = f"service {service!r} stops on a host that is cut off this long"
            raise RefusedError(
                Refusal(503, "cut_off", message, retry_after_ms=DEFAULT_RETRY_AFTER_MS)
            )

    def _job(
        self,
        request_id: str,
        abort: AbortHandle,
        identity: Identity | None,
        name: str,
        service: Service,
        is_idempotent: bool,
    ) -> Job:
        profile = self._configuration().profiles[service.profile]
        self._check_cut_off(name, profile)
        demand = GenerationDemand(
            request_id=request_id,
            service=name,
            profile=service.profile,
            account=identity.account if identity else "",
            prompt_tokens=0,
            max_tokens=0,
            priority=profile.priority,
        )
        return Job(
            request_id=request_id,
            identity=identity,
            service_name=name,
            service=service,
            profile=profile,
            demand=demand,
            is_idempotent=is_idempotent,
            started_ms=self._ports.clock.monotonic_ms(),
            abort=abort,
        )
