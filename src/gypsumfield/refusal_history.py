"""Stores the last refusal of each client account, for the status page."""

import math
from collections import OrderedDict
from collections.abc import Mapping

import msgspec

from gypsumfield.events import Event
from gypsumfield.events import RequestRefused

MAX_ACCOUNTS = 2_048
OVER_RATE_CODE = "account_over_rate"
OVER_RATE_WINDOW_MS = 60_000.0


class LastRefusal(msgspec.Struct, frozen=True):
    """Last refusal of a request of one account on this host.

    Attributes:
        request_id: Id of the refused request.
        code: Stable short name of the refusal.
        verdict: Whether the request may have run.
        reason: Message of the refusal.
        age_ms: Time since the refusal, when the page was rendered.
    """

    request_id: str
    code: str
    verdict: str
    reason: str
    age_ms: float


class RefusalHistory:
    """Last refusals by account; evicts the accounts refused longest ago first."""

    def __init__(self) -> None:
        self._refusals: OrderedDict[str, tuple[float, RequestRefused]] = OrderedDict()
        self._over_rate_ms: dict[str, float] = {}

    def observe(self, event: Event, now_ms: float) -> None:
        """Record an event if it is the refusal of a request with a known account."""
        if not isinstance(event, RequestRefused) or not event.account:
            return
        self._refusals[event.account] = (now_ms, event)
        self._refusals.move_to_end(event.account)
        if event.code == OVER_RATE_CODE:
            self._over_rate_ms[event.account] = now_ms
        if len(self._refusals) > MAX_ACCOUNTS:
            evicted_account, _ = self._refusals.popitem(last=False)
            self._over_rate_ms.pop(evicted_account, None)

    def is_over_rate(self, account: str, now_ms: float) -> bool:
        """Return whether an account exceeded its rate in `OVER_RATE_WINDOW_MS`."""
        over_rate_ms = self._over_rate_ms.get(account, -math.inf)
        return now_ms - over_rate_ms <= OVER_RATE_WINDOW_MS

    def last_refusals(self, now_ms: float) -> Mapping[str, LastRefusal]:
        """Return the last refusal of each account."""
        return {
            account: LastRefusal(
                refused.request_id,
                refused.code,
                refused.verdict,
                refused.reason,
                now_ms - refused_ms,
            )
            for account, (refused_ms, refused) in self._refusals.items()
        }
