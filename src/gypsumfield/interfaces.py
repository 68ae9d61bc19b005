"""What the serving code needs from outside, as callables."""

import math
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.events import Event

EmitEvent = Callable[[Event], None]


def discard_event(_event: Event) -> None:
    """Drop an event; for tests and tools without a log."""


class QuotaDecision(NamedTuple):
    """Answer of the account limit to one request.

    Attributes:
        is_granted: Whether one rate token was taken for the request.
        retry_after_ms: When a refused caller should come back.
        reason: Why it was refused, for the caller and the log.
        token_epoch: Tells `QuotaLimiter.refund` when the token was taken.
    """

    is_granted: bool
    retry_after_ms: float = 0.0
    reason: str = ""
    token_epoch: int = 0


class QuotaLimiter(NamedTuple):
    """Account limits over all entry hosts.

    Attributes:
        take: Takes one rate token of the named account; may wait a few ms for
            a transfer from a peer.
        refund: Returns the token of a request that has not run; takes the
            account and the decision that granted it.
    """

    take: Callable[[str], QuotaDecision]
    refund: Callable[[str, QuotaDecision], None]


class SlotLease(NamedTuple):
    """Permission to send one request to one backend server.

    Attributes:
        lease_id: Unique name.
        backend_server: Host id of the backend server.
        boot_id: Boot of the backend server that the lease is for.
        owner: Host id of the entry host that granted it.
        send_before_ms: Monotonic time after which the request must not be sent
            any more; to be checked right before sending.
    """

    lease_id: str
    backend_server: str
    boot_id: str
    owner: str
    send_before_ms: float = math.inf


class SlotRefusal(NamedTuple):
    """No slot was granted.

    Attributes:
        reason: Why, for the caller and the log.
        retry_after_ms: When to ask again.
        is_account_held_back: Whether another account's request might get the
            slot now.
    """

    reason: str
    retry_after_ms: float
    is_account_held_back: bool = False


class SlotOutcome(Enum):
    """How the request of a lease ended, as evidence for the owner."""

    COMPLETED = "completed"
    SLOW = "slow"
    REFUSED = "refused"
    FAILED = "failed"
    NOT_SENT = "not-sent"


class SlotUse(NamedTuple):
    """Evidence that a holder returns together with a lease.

    Attributes:
        outcome: How the request ended.
        generated_tokens: Tokens the answer had.
        first_token_ms: Time from sending to the first token, or None.
    """

    outcome: SlotOutcome
    generated_tokens: int = 0
    first_token_ms: float | None = None


class SlotAllocator(NamedTuple):
    """Admission to backend servers over all entry hosts.

    Attributes:
        acquire: Asks the owner of the named backend server for a slot; waits
            for its answer, with a timeout.
        report_progress: Tells how many tokens a lease's answer has so far.
        release: Returns a lease with its evidence; must always be called.
    """

    acquire: Callable[[str, GenerationDemand], SlotLease | SlotRefusal]
    report_progress: Callable[[SlotLease, int], None]
    release: Callable[[SlotLease, SlotUse], None]
