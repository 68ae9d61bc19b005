"""Validates the requests of callers and turns them into jobs, or refuses them."""

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
from gypsumfield.generations import GenerationJob
from gypsumfield.jobs import Job
from gypsumfield.plain_calls import check_call
from gypsumfield.plain_calls import PlainCall
from gypsumfield.prefixes import count_prompt_tokens
from gypsumfield.prefixes import prefix_digests


class GenerationRequest(NamedTuple):
    """Request of a caller to a model service, as decoded from HTTP.

    `max_tokens` is None when the caller sets no limit.
    """

    request_id: str
    key: str
    model: str
    prompt: str
    max_tokens: int | None
    is_stream: bool
    is_chat: bool
    abort: AbortHandle


class PlainRequest(NamedTuple):
    """Request of a caller to a plain service, as decoded from HTTP.

    `path` is decoded and begins below the service; `raw_path` is as received.
    """

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


class ResumeRequest(NamedTuple):
    """Request of a caller to continue a stream from a resume cursor."""

    request_id: str
    key: str
    cursor: str
    abort: AbortHandle


class ResumeJob(NamedTuple):
    """A job that continues a generation after a sequence number."""

    job: Job
    origin: StreamOrigin
    after_sequence: int


class RequestValidatorDependencies(NamedTuple):
    """Dependencies of a `RequestValidator`.

    Attributes:
        configuration: Returns the configuration in force.
        clock: Monotonic clock.
        find_not_ready_reason: Returns why this host can't serve any request yet,
            or an empty string.
        platform_age_ms: Returns the ms since the platform last answered this
            host or a peer that it receives messages from; None if it never did.
    """

    configuration: Callable[[], Configuration]
    clock: Clock
    find_not_ready_reason: Callable[[], str]
    platform_age_ms: Callable[[], float | None]


class RequestValidator:
    """Checks keys, services and inputs against the configuration in force."""

    def __init__(self, deps: RequestValidatorDependencies) -> None:
        self._deps = deps
        self._configuration = deps.configuration
        self._keys = KeyIndex()

    def identify(self, key: str) -> Identity:
        """Return the identity behind a key.

        Raises:
            RefusedError: 401 for a missing or unknown key; 503 while the host has
                no configuration to check keys against.
        """
        not_ready_reason = self._deps.find_not_ready_reason()
        if not_ready_reason:
            retry_after_ms = DEFAULT_RETRY_AFTER_MS
            refusal = Refusal(
                503, "host_not_ready", not_ready_reason, retry_after_ms=retry_after_ms
            )
            raise RefusedError(refusal)
        identity = self._keys.find(self._configuration(), key) if key else None
        if identity is None:
            raise RefusedError(UNKNOWN_KEY)
        return identity

    def build_generation_job(self, request: GenerationRequest) -> GenerationJob:
        """Return the job for a model engine.

        Raises:
            RefusedError: The key or service is not allowed, or the number of
                output tokens exceeds the profile's limit.
        """
        identity = self.identify(request.key)
        service = self._find_permitted_service(identity, request.model)
        max_tokens = self._check_max_tokens(service, request.max_tokens)
        prompt_tokens = count_prompt_tokens(request.prompt)
        # A generation has no side effect, so it may be retried until its first
        # event has been delivered.
        job = self._build_job(
            request.request_id,
            request.abort,
            identity,
            request.model,
            service,
            is_idempotent=True,
        )
        demand = job.demand._replace(prompt_tokens=prompt_tokens, max_tokens=max_tokens)
        job = job._replace(demand=demand, prefix_digests=prefix_digests(request.prompt))
        return GenerationJob(job, request.prompt, request.is_chat)

    def build_resume_job(self, request: ResumeRequest) -> ResumeJob:
        """Return the job that continues a generation.

        Raises:
            RefusedError: The key, cursor or service is not allowed.
        """
        identity = self.identify(request.key)
        keys = self._configuration().cursor_keys
        try:
            origin, sequence = read_cursor(request.cursor, keys, identity.account)
        except CursorError as error:
            raise RefusedError(Refusal(400, "bad_cursor", str(error))) from error
        service = self._find_permitted_service(identity, origin.service)
        job = self._build_job(
            request.request_id,
            request.abort,
            identity,
            origin.service,
            service,
            is_idempotent=True,
        )
        return ResumeJob(job, origin, sequence)

    def build_plain_call(self, request: PlainRequest) -> PlainCall:
        """Return the job for a plain service.

        Raises:
            RefusedError: The key, service, path or body is not allowed.
        """
        identity = None if self._is_open_route(request) else self.identify(request.key)
        service = self._find_service(request.service, "plain")
        if identity is not None:
            self._check_permission(identity, request.service)
        refusal = check_call(request.path, request.raw_path, request.key, request.body)
        if refusal is not None:
            raise RefusedError(refusal)
        is_idempotent = matches_route(
            service.idempotent_routes, request.method, request.path
        )
        job = self._build_job(
            request.request_id,
            request.abort,
            identity,
            request.service,
            service,
            is_idempotent,
        )
        return PlainCall(
            job,
            request.method,
            request.path,
            request.query,
            request.headers,
            request.body,
            request.key,
        )

    def _is_open_route(self, request: PlainRequest) -> bool:
        service = self._configuration().services.get(request.service)
        return service is not None and matches_route(
            service.open_routes, request.method, request.path
        )

    def _check_max_tokens(self, service: Service, requested: int | None) -> int:
        limit = self._configuration().profiles[service.profile].max_output_tokens
        if requested is None:
            return limit
        if 0 < requested <= limit:
            return requested
        message = f"max_tokens is {requested}, expected 1 to {limit}"
        raise RefusedError(Refusal(400, "bad_max_tokens", message))

    def _find_permitted_service(self, identity: Identity, name: str) -> Service:
        service = self._find_service(name, "model")
        self._check_permission(identity, name)
        return service

    def _find_service(self, name: str, kind: str) -> Service:
        service = check_service(self._configuration(), name, kind)
        if isinstance(service, Refusal):
            raise RefusedError(service)
        return service

    def _check_permission(self, identity: Identity, service: str) -> None:
        refusal = check_permission(self._configuration(), identity, service)
        if refusal is not None:
            raise RefusedError(refusal)

    def _check_platform_age(self, service: str, profile: Profile) -> None:
        limit_ms = profile.cut_off_limit_ms
        if limit_ms is None:
            return
        age_ms = self._deps.platform_age_ms()
        if age_ms is None or age_ms > limit_ms:
            message = f"service {service!r} stops on a host that is cut off this long"
            raise RefusedError(
                Refusal(503, "cut_off", message, retry_after_ms=DEFAULT_RETRY_AFTER_MS)
            )

    def _build_job(
        self,
        request_id: str,
        abort: AbortHandle,
        identity: Identity | None,
        name: str,
        service: Service,
        is_idempotent: bool,
    ) -> Job:
        profile = self._configuration().profiles[service.profile]
        self._check_platform_age(name, profile)
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
            started_ms=self._deps.clock.monotonic_ms(),
            abort=abort,
        )
