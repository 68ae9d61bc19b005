"""Keeps the last refusal of each client account, for the status page."""

from collections import OrderedDict
from collections.abc import Mapping

import msgspec

from gypsumfield.events import Event
from gypsumfield.events import RequestRefused

ACCOUNT_LIMIT = 2_048


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


class RefusalMemory:
    """Last refusals by account; the longest unrefused accounts go first."""

    def __init__(self) -> None:
        self._refusals: OrderedDict[str, tuple[float, RequestRefused]] = OrderedDict()

    def observe(self, event: Event, now_ms: float) -> None:
        """Note an event if it is the refusal of a known account's request."""
        if not isinstance(event, RequestRefused) or not event.account:
            return
        self._refusals[event.account] = (now_ms, event)
        self._refusals.move_to_end(event.account)
        if len(self._refusals) > ACCOUNT_LIMIT:
            self._refusals.popitem(last=False)

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
