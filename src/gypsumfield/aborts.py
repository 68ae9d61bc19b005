"""Handle by which one greenlet ends what another one waits on."""

from collections.abc import Callable


class AbortHandle:
    """Ends the wait in progress, and all later ones, of one request.

    Attributes:
        reason: Why the request was aborted, or an empty text.
    """

    def __init__(self) -> None:
        self.reason = ""
        self._end_wait: Callable[[], None] | None = None

    def attach(self, end_wait: Callable[[], None] | None) -> None:
        """Name what ends the wait that begins now; None when it is over."""
        self._end_wait = end_wait
        if end_wait is not None and self.reason:
            end_wait()

    def abort(self, reason: str) -> None:
        """End the wait in progress and all later ones."""
        self.reason = self.reason or reason
        if self._end_wait is not None:
            self._end_wait()
