"""Logs the published items that cannot be used, each once."""

from gypsumfield.gateway.events import PublicationRejected
from gypsumfield.interfaces import EmitEvent

# Rejections that are remembered; a writer of odd items repeats them at each heartbeat.
MAX_REJECTIONS = 256


class Rejections:
    """Rejected items by key, with the reason.

    Args:
        emit: Writes an event to the log.
    """

    def __init__(self, emit: EmitEvent) -> None:
        self._emit = emit
        # Used as an ordered set: the item rejected first is removed first.
        self._reasons: dict[str, str] = {}

    def record(
        self, key: str, reason: str, source: str, revision: int = 0, version: int = 0
    ) -> None:
        """Log a rejection, unless the same one was logged for the key.

        Args:
            key: Key of the item, or empty if it has none.
            reason: Why it cannot be used.
            source: Where it came from.
            revision: Its revision.
            version: Version of the configuration that stays in force.
        """
        if self._reasons.get(key) == reason:
            return
        self._reasons[key] = reason
        if len(self._reasons) > MAX_REJECTIONS:
            del self._reasons[next(iter(self._reasons))]
        self._emit(
            PublicationRejected(
                revision=revision, kept_version=version, reason=reason, source=source
            )
        )
