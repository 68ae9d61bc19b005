"""Exceptions of the package; each message names what is at fault."""

from typing import NamedTuple

from gypsumfield.verdicts import RunVerdict


class GypsumfieldError(Exception):
    """Base class of all exceptions that this package raises."""


class SettingsError(GypsumfieldError):
    """A settings file cannot be used; the message names file and field."""


class ListenError(GypsumfieldError):
    """The host cannot listen on one of its addresses; the message names it."""


class ConfigurationError(GypsumfieldError):
    """A published value cannot be used; the message names key and field."""


class InvalidDataError(GypsumfieldError):
    """Data from outside the process are malformed or out of bounds."""


class CursorError(GypsumfieldError):
    """A cursor is invalid or of another account, or no key can seal a new one."""


class PlatformError(GypsumfieldError):
    """The platform did not answer, or its answer was malformed."""


class HistoryGoneError(PlatformError):
    """The platform no longer has the changes after the requested revision."""


class BackendError(GypsumfieldError):
    """An attempt on a backend server failed.

    Attributes:
        verdict: Whether the request may have run on that server.
        code: Stable short name of the failure.
        retry_after_ms: Delay before a retry that the backend server requested,
            or None.
    """

    def __init__(
        self,
        message: str,
        verdict: RunVerdict,
        code: str = "backend_failed",
        retry_after_ms: float | None = None,
    ) -> None:
        super().__init__(message)
        self.verdict = verdict
        self.code = code
        self.retry_after_ms = retry_after_ms

    def without_traceback(self) -> "BackendError":
        """Return a copy to store beyond the ``except`` clause.

        A stored traceback holds the frames of the request, and they the error: the
        cycle would keep the request until the next run of the garbage collector.
        """
        return BackendError(str(self), self.verdict, self.code, self.retry_after_ms)


class HeldMemoryError(GypsumfieldError):
    """The host holds as many bytes of callers and servers as it may."""


class CallerGoneError(GypsumfieldError):
    """The caller closed its connection before the answer was complete."""


class Refusal(NamedTuple):
    """Error response to a request that the entry host does not serve.

    Attributes:
        status: HTTP status code.
        code: Stable short name, ``account_over_rate`` for example.
        message: Message for the caller; names what is at fault, never a key.
        verdict: Whether the request may have run.
        retry_after_ms: Delay after which the caller may retry, or None.
    """

    status: int
    code: str
    message: str
    verdict: RunVerdict = RunVerdict.NOT_RUN
    retry_after_ms: float | None = None


class RefusedError(GypsumfieldError):
    """A request is refused; holds the answer for its caller.

    Attributes:
        refusal: Error response for the caller.
        account: Client account of the request, empty if unknown.
        service: Service of the request, empty if unknown.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal
        self.account = ""
        self.service = ""
