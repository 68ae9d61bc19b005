"""Interfaces to events, account limits and slots that the serving code uses."""

import math
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.events import Event

EmitEvent = Callable[[Event], None]


# Takes the id of a host, which may be empty, and why it cannot be used.
RecordInvalidHost = Callable[[str, str], None]


def discard_event(_event: Event) -> None:
    """Drop an event. Used by tests and tools that write no log."""


def ignore_invalid_host(_host_id: str, _reason: str) -> None:
    """Record nothing. Used by tests."""


class QuotaDecision(NamedTuple):
    """Decision of the account limit on one request.

    Attributes:
        is_granted: Whether one rate token was taken for the request.
        retry_after_ms: Time after which a refused caller should retry.
        reason: Reason of a refusal, for the caller and the log.
        token_epoch: Epoch in which the token was taken, for `QuotaLimiter.refund`.
    """

    is_granted: bool
    retry_after_ms: float = 0.0
    reason: str = ""
    token_epoch: int = 0


class QuotaLimiter(NamedTuple):
    """Interface to the account limits, which hold over all entry hosts together.

    Attributes:
        take: Takes one rate token of the named account. May wait a few
            milliseconds for a transfer from a peer.
        refund: Returns the token of a request that has not run, given the
            account and the decision that granted it.
    """

    take: Callable[[str], QuotaDecision]
    refund: Callable[[str, QuotaDecision], None]


class SlotLease(NamedTuple):
    """Permission to send one request to one backend server.

    Attributes:
        lease_id: Unique id of the lease.
        backend_server: Host id of the backend server.
        boot_id: Boot of the backend server that the lease is for.
        owner: Host id of the entry host that granted the lease.
        send_before_ms: Monotonic time after which the request must not be sent.
            To be checked immediately before sending.
    """

    lease_id: str
    backend_server: str
    boot_id: str
    owner: str
    send_before_ms: float = math.inf


class SlotRefusal(NamedTuple):
    """Answer to a slot request that was not granted.

    Attributes:
        reason: Reason of the refusal, for the caller and the log.
        retry_after_ms: Time after which to request a slot again.
        is_account_held_back: Whether only this account is limited, so that a
            request of another account might get the slot now.
    """

    reason: str
    retry_after_ms: float
    is_account_held_back: bool = False


class SlotOutcome(Enum):
    """Outcome of the request of a lease, reported to the owner."""

    COMPLETED = "completed"
    SLOW = "slow"
    REFUSED = "refused"
    FAILED = "failed"
    NOT_SENT = "not-sent"


class SlotUse(NamedTuple):
    """Report on the use of a slot that the holder returns with the lease.

    Attributes:
        outcome: How the request ended.
        generated_tokens: Number of tokens in the answer.
        first_token_ms: Time from sending to the first token, or None if there was
            no token.
    """

    outcome: SlotOutcome
    generated_tokens: int = 0
    first_token_ms: float | None = None


class SlotAllocator(NamedTuple):
    """Interface to the slots of backend servers, which all entry hosts share.

    Attributes:
        acquire: Requests a slot from the owner of the named backend server and
            waits for the answer, with a timeout.
        report_progress: Reports the number of tokens that the answer of a lease
            has so far.
        release: Returns a lease with a report on its use. Must be called for every
            lease.
    """

    acquire: Callable[[str, GenerationDemand], SlotLease | SlotRefusal]
    report_progress: Callable[[SlotLease, int], None]
    release: Callable[[SlotLease, SlotUse], None]
