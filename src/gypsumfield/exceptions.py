"""Errors of the package, each with a message that names what is at fault."""

from typing import NamedTuple

from gypsumfield.verdicts import RunVerdict


class GypsumfieldError(Exception):
    """Base of all errors that this package raises."""


class SettingsError(GypsumfieldError):
    """A settings file cannot be used; the message names file and field."""


class ConfigurationError(GypsumfieldError):
    """A published value cannot be used; the message names key and field."""


class CursorError(GypsumfieldError):
    """A resume cursor is not authentic, or belongs to another account."""


class PlatformError(GypsumfieldError):
    """The platform's service did not answer, or not in its proper form."""


class HistoryGoneError(PlatformError):
    """The platform no longer knows the changes after a revision."""


class BackendError(GypsumfieldError):
    """An attempt against a backend server failed.

    Attributes:
        verdict: Whether the request may have run there.
        code: Stable short name of the failure.
        retry_after_ms: When the backend server asked to be tried again.
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


class CallerGoneError(GypsumfieldError):
    """The caller closed its connection before the answer was complete."""


class Refusal(NamedTuple):
    """Final answer to a request that the entry host does not serve.

    Attributes:
        status: HTTP status code.
        code: Stable short name, ``account_over_rate`` for example.
        message: Sentence for the caller; names what is at fault, never a key.
        verdict: Whether the request may have run.
        retry_after_ms: When to come back, or None.
    """

    status: int
    code: str
    message: str
    verdict: RunVerdict = RunVerdict.NOT_RUN
    retry_after_ms: float | None = None


class RefusedError(GypsumfieldError):
    """A request gets its final answer instead of being served.

    Attributes:
        refusal: The answer.
        account: Client account of the request, where it is known.
        service: Service of the request, where it is known.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal
        self.account = ""
        self.service = ""
