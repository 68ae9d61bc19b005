"""A permitted call that this host handles."""

from typing import NamedTuple

import msgspec
import xxhash

from gypsumfield.aborts import AbortHandle
from gypsumfield.clock import Clock
from gypsumfield.gateway.calls import CallHeaders
from gypsumfield.gateway.model import Account
from gypsumfield.gateway.model import Route
from gypsumfield.held_memory import Hold

# Callers estimate the output length correctly at the median. Memory is planned for
# a longer run, up to the caller's token limit.
LENGTH_MARGIN_FACTOR = 1.1


def predict_tokens(call: CallHeaders) -> int:
    """Return the predicted length of a stream's whole output, in tokens."""
    if not call.expected_tokens:
        return call.max_tokens
    prediction = int(call.expected_tokens * LENGTH_MARGIN_FACTOR)
    return min(prediction, call.max_tokens) if call.max_tokens else prediction


def content_id_of(
    method: str, target: str, account: Account | None, body: bytes
) -> int:
    """Return a number in 63 bits for what a request and its repeats have in common."""
    account_name = account.name if account else ""
    # JSON keeps the fields apart, whatever they contain.
    digest = xxhash.xxh64(msgspec.json.encode((method, target, account_name)))
    digest.update(body)
    return digest.intdigest() >> 1


class Job(NamedTuple):
    """A permitted call and what this host has determined about it.

    Attributes:
        call: Decoded headers of the caller's request.
        method: HTTP method.
        target: Path and query, as received.
        headers: Headers as received, in order.
        body: Whole body of the request.
        route: Route that matches the request.
        account: Client account that it runs for, or None.
        service: Service that was sampled from the route's shares.
        started_ms: Monotonic time of its arrival.
        deadline_ms: Monotonic time by which the final answer must be sent; it lies a
            little before the end of the caller's time limit.
        abort: Cancels the call when its caller disconnects or its deadline passes.
        content_id: Number of its content, which is the same in each repeat; 0 for none.
        hold: Counts the bytes that the call holds on this host, or None.
        must_serve_here: Whether it may go through no other host: another one has
            forwarded it, or none could take it.
    """

    call: CallHeaders
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    route: Route
    account: Account | None
    service: str
    started_ms: float
    deadline_ms: float
    abort: AbortHandle
    content_id: int = 0
    must_serve_here: bool = False
    hold: Hold | None = None

    @property
    def request_id(self) -> str:
        """Id of this attempt by the caller, from the request's headers."""
        return self.call.request_id

    @property
    def account_name(self) -> str:
        """Name of the client account, or empty."""
        return self.account.name if self.account else ""

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the parts of the prompt that other requests may share."""
        return self.call.prompt_parts[:-1]

    @property
    def expected_tokens(self) -> int:
        """Predicted length of a stream's whole output, in tokens."""
        return predict_tokens(self.call)

    @property
    def priority(self) -> int:
        """Priority in the queue, 0 first; the account's overrides the route's."""
        if self.account is None or self.account.priority is None:
            return self.route.priority
        return self.account.priority

    def remaining_ms(self, clock: Clock) -> float:
        """Return the time until the deadline, in milliseconds."""
        return self.deadline_ms - clock.monotonic_ms()
