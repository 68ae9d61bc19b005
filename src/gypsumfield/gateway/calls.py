"""Decoded headers and results of one call, without their wire format."""

from collections.abc import Mapping
from typing import NamedTuple

from gypsumfield.decisions.software_versions import VersionRequirement


class CallHeaders(NamedTuple):
    """Decoded headers of a caller's request.

    Attributes:
        request_id: Id of this attempt by the caller; servers repeat it in answers.
        host: Requested host name, in lower case and without a port.
        key: The caller's key, or empty.
        time_limit_ms: How long the caller waits for the answer, or None.
        last_event_id: Id of the last event that the caller received of a broken
            stream, or empty.
        prompt_tokens: Length of the prompt in tokens; 0 for a plain call.
        max_tokens: Upper limit of the output in tokens.
        expected_tokens: The caller's estimate of the output length; 0 for none.
        prompt_parts: Ids of the parts of the prompt, in order; the last part belongs
            to this request or to its session alone.
        resumed_id: Id of the attempt that brought the first event of the stream that
            the request takes up again, or empty.
    """

    request_id: str
    host: str
    key: str
    time_limit_ms: float | None
    last_event_id: str
    prompt_tokens: int
    max_tokens: int
    expected_tokens: int
    prompt_parts: tuple[str, ...] = ()
    resumed_id: str = ""


class ResumePoint(NamedTuple):
    """Position from which an engine resumes a run.

    Attributes:
        last_event_id: Id of the last event sent to the caller, or empty.
        copy_address: ``IP:PORT`` of the engine under whose address the copy of the
            key-value cache is registered, or empty.
        copy_name: Name of the copy there; when empty, the engine processes the
            prompt again.
    """

    last_event_id: str
    copy_address: str = ""
    copy_name: str = ""


class TakeUp(NamedTuple):
    """Position from which another request goes on with a stream.

    Attributes:
        last_event_id: Id of the last event that the caller has.
        resumed_id: Id of the attempt that brought its first event.
    """

    last_event_id: str
    resumed_id: str


class SendOptions(NamedTuple):
    """What a backend server receives in addition to the caller's own request.

    Attributes:
        server_id: The intended server; any other server refuses the request.
        requirement: Software version that the server must have.
        time_limit_ms: Time that the server has for the request.
        account: Client account of the caller's key, or empty.
        resume: Position from which the run resumes, or None for a new run.
        backup_address: ``IP:PORT`` of the engine that keeps a copy of the run from
            its start, or empty.
        reservation: Name of the engine's memory reservation, or empty.
    """

    server_id: str
    requirement: VersionRequirement
    time_limit_ms: float
    account: str = ""
    resume: ResumePoint | None = None
    backup_address: str = ""
    reservation: str = ""


class AnswerMetadata(NamedTuple):
    """Decoded headers of a server's answer that describe the answer and the server.

    Attributes:
        request_id: Id of the request that the answer belongs to, or empty.
        is_sealed: Whether the server confirms that status and body are its own.
        is_not_run: Whether the server states that it did not run the request.
        is_encoded: Whether the body has a content encoding, for example gzip.
        is_leaving: Whether the server announces that it will leave.
        pause_ms: Time for which the server wants no more requests (``Retry-After``),
            or None.
        has_limit: Whether the server names a limit on its requests, valid or not.
        limit_per_s: The limit in requests a second from all hosts, or None when it
            names none or an invalid one.
        invalid_header: Name and value of a header about the server that is invalid,
            or empty.
        is_brittle: Whether the server says that it falls over when it has to refuse
            many requests.
        refusals_per_s: Requests a second that it can refuse, or None if it names no
            valid number.
    """

    request_id: str
    is_sealed: bool
    is_not_run: bool
    is_encoded: bool
    is_leaving: bool = False
    pause_ms: float | None = None
    has_limit: bool = False
    limit_per_s: float | None = None
    invalid_header: str = ""
    is_brittle: bool = False
    refusals_per_s: float | None = None


class EngineState(NamedTuple):
    """State that an engine reports; a few hundred milliseconds old when received.

    Attributes:
        is_leaving: Whether the engine announces that it will leave.
        waiting_count: Requests that wait for a slot or for memory.
        used_tokens: Key-value cache memory that cannot be freed, in tokens.
        started_wall_ms: Wall-clock time of its start; 0 if the report names none.
        event_counts: Events that each run has made so far, by request id.
    """

    is_leaving: bool
    waiting_count: int
    used_tokens: int
    started_wall_ms: int = 0
    event_counts: Mapping[str, int] = {}


class EngineRuns(NamedTuple):
    """What an engine says of its start and its runs; as old as its state.

    Attributes:
        started_wall_ms: Wall-clock time of its start, as in its registration.
        event_counts: Events that each run has made so far, by request id.
        lists_runs: Whether the engine lists its runs at all.
    """

    started_wall_ms: int
    event_counts: Mapping[str, int]
    lists_runs: bool = True


class ServerIdentity(NamedTuple):
    """What a server says of itself.

    Attributes:
        server_id: Its id, or empty.
        started_wall_ms: Wall-clock time of its start, as in its registration, or 0.
    """

    server_id: str
    started_wall_ms: int


class CopyResult(NamedTuple):
    """Result of copying a run's key-value cache to another engine.

    Attributes:
        is_complete: Whether the copy is complete on the target engine.
        copy_name: Name of the copy, or empty.
        event_count: Events that the run has generated so far.
        status: HTTP status of the source engine's answer.
    """

    is_complete: bool
    copy_name: str
    event_count: int
    status: int
