"""One permitted call on its way through the host."""

from typing import NamedTuple

from gypsumfield.aborts import AbortHandle
from gypsumfield.clock import Clock
from gypsumfield.gateway.calls import CallHeaders
from gypsumfield.gateway.model import Account
from gypsumfield.gateway.model import Route

# Callers guess the length right at the median; the memory is planned for a
# longer run, up to their token limit.
LENGTH_MARGIN = 1.1


def predict_tokens(call: CallHeaders) -> int:
    """Return the predicted tokens of the whole output of a stream."""
    if not call.expected_tokens:
        return call.max_tokens
    guess = int(call.expected_tokens * LENGTH_MARGIN)
    return min(guess, call.max_tokens) if call.max_tokens else guess


class Job(NamedTuple):
    """One permitted call.

    Attributes:
        call: What its headers say.
        method: HTTP method.
        target: Path and query, as sent.
        headers: Headers as sent, in order.
        body: Whole body.
        route: Route it takes.
        account: Client account it runs for, or None.
        service: Service that was drawn for it.
        started_ms: Monotonic time of its arrival.
        deadline_ms: Monotonic time at which its final answer is due.
        abort: Ends it when its caller leaves.
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

    @property
    def request_id(self) -> str:
        """Id of this attempt of the caller."""
        return self.call.request_id

    @property
    def account_name(self) -> str:
        """Name of the client account, or empty."""
        return self.account.name if self.account else ""

    @property
    def expected_tokens(self) -> int:
        """Predicted tokens of the whole output of a stream."""
        return predict_tokens(self.call)

    @property
    def priority(self) -> int:
        """Rank among the calls that wait, 0 first; the account's goes first."""
        if self.account is None or self.account.priority is None:
            return self.route.priority
        return self.account.priority

    def remaining_ms(self, clock: Clock) -> float:
        """Return the time until the final answer is due."""
        return self.deadline_ms - clock.monotonic_ms()
