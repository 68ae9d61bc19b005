"""Handle by which one greenlet ends the wait of another one."""

from collections.abc import Callable


class AbortHandle:
    """Ends the current wait of one request and all its later ones.

    Attributes:
        reason: Why the request was aborted; empty while it is not.
    """

    def __init__(self) -> None:
        self.reason = ""
        self._cancel_wait: Callable[[], None] | None = None

    def attach(self, cancel_wait: Callable[[], None] | None) -> None:
        """Set the function that ends the wait about to begin; None after the wait.

        It is called at once when the request has already been aborted.
        """
        self._cancel_wait = cancel_wait
        if cancel_wait is not None and self.reason:
            cancel_wait()

    def abort(self, reason: str) -> None:
        """End the current wait and all later ones; the first reason is retained."""
        self.reason = self.reason or reason
        if self._cancel_wait is not None:
            self._cancel_wait()
