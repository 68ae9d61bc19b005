"""One validated request with its service, profile and deadline."""

from typing import NamedTuple

from gypsumfield.aborts import AbortHandle
from gypsumfield.access import Identity
from gypsumfield.configuration import Profile
from gypsumfield.configuration import Service
from gypsumfield.decisions.workload import GenerationDemand


class Job(NamedTuple):
    """One validated request, ready to be placed on a backend server.

    Attributes:
        request_id: Unique id of the request.
        identity: Account and key of the caller; None on an open route, which
            needs no key.
        service_name: Name of the service.
        service: Configuration of the service.
        profile: Limits and targets of the request.
        demand: Load that the request puts on a backend server.
        is_idempotent: Whether the request may run more than once: always true
            for generations, declared by the service for plain calls.
        started_ms: Monotonic time when the job was created.
        abort: Ends the request's wait when its caller disconnects.
        prefix_digests: Digests of the prompt's prefixes, shortest first.
    """

    request_id: str
    identity: Identity | None
    service_name: str
    service: Service
    profile: Profile
    demand: GenerationDemand
    is_idempotent: bool
    started_ms: float
    abort: AbortHandle
    prefix_digests: tuple[str, ...] = ()

    @property
    def account(self) -> str:
        """Name of the client account, empty on an open route."""
        return self.identity.account if self.identity else ""

    @property
    def deadline_ms(self) -> float:
        """Monotonic time by which the answer must be complete."""
        return self.started_ms + self.profile.deadline_ms
