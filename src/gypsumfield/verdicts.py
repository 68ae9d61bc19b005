"""Verdicts on whether a request may have run on a backend server."""

from enum import Enum


class RunVerdict(Enum):
    """Whether a request ran, as far as the entry host can determine.

    ``NOT_RUN`` is used only when no byte of the request can have reached a
    backend server, or when the backend server itself refused the request in a
    form that its protocol defines.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


class Stage(Enum):
    """How far an attempt on a backend server got before it failed."""

    BEFORE_CONNECT = "before-connect"
    CONNECTED = "connected"
    SENDING = "sending"
    SENT = "sent"
    ANSWERING = "answering"
    ANSWERED = "answered"


def verdict_of_stage(stage: Stage) -> RunVerdict:
    """Return the verdict for an attempt that failed at ``stage``."""
    if stage in (Stage.BEFORE_CONNECT, Stage.CONNECTED):
        return RunVerdict.NOT_RUN
    if stage is Stage.ANSWERED:
        return RunVerdict.RAN
    return RunVerdict.MAY_HAVE_RUN
