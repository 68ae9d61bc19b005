"""Keeps the last refusal of each client account, for the status page."""

import math
from collections import OrderedDict
from collections.abc import Mapping

import msgspec

from gypsumfield.events import Event
from gypsumfield.events import RequestRefused

ACCOUNT_LIMIT = 2_048
OVER_RATE_CODE = "account_over_rate"
OVER_RATE_MEMORY_MS = 60_000.0


class LastRefusal(msgspec.Struct, frozen=True):
    """Why an account's request was refused last on this host.

    Attributes:
        request_id: The request.
        code: Stable short name.
        verdict: Whether it may have run.
        reason: Sentence for people.
        age_ms: How long ago it was, when the page was made.
    """

    request_id: str
    code: str
    verdict: str
    reason: str
    age_ms: float


class RefusalHistory:
    """Last refusals by account; the longest unrefused accounts go first."""

    def __init__(self) -> None:
        self._refusals: OrderedDict[str, tuple[float, RequestRefused]] = OrderedDict()
        self._over_rate_ms: dict[str, float] = {}

    def observe(self, event: Event, now_ms: float) -> None:
        """Note an event if it is the refusal of a known account's request."""
        if not isinstance(event, RequestRefused) or not event.account:
            return
        self._refusals[event.account] = (now_ms, event)
        self._refusals.move_to_end(event.account)
        if event.code == OVER_RATE_CODE:
            self._over_rate_ms[event.account] = now_ms
        if len(self._refusals) > ACCOUNT_LIMIT:
            forgotten, _ = self._refusals.popitem(last=False)
            self._over_rate_ms.pop(forgotten, None)

    def is_over_rate(self, account: str, now_ms: float) -> bool:
        """Return whether an account was above its rate a short time ago."""
        over_rate_ms = self._over_rate_ms.get(account, -math.inf)
        return now_ms - over_rate_ms <= OVER_RATE_MEMORY_MS

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
