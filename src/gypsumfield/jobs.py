"""One admitted request on its way through the entry host."""

from typing import NamedTuple

from gypsumfield.aborts import AbortHandle
from gypsumfield.access import Identity
from gypsumfield.configuration import Profile
from gypsumfield.configuration import Service
from gypsumfield.decisions.workload import GenerationDemand


class Job(NamedTuple):
    """One admitted request.

    Attributes:
        request_id: Unique name.
        identity: Whose request it is; None on a route that is open to all.
        service_name: Name of the service.
        service: The service.
        profile: The profile it runs under.
        demand: What it asks of a backend server.
        is_idempotent: Whether it may be repeated, by the service's statement.
        started_ms: Monotonic time of its arrival.
        abort: Ends it when its caller leaves.
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
        """Monotonic time at which the whole answer is due."""
        return self.started_ms + self.profile.deadline_ms
