"""Typed messages about one call: to and from callers, servers and engines."""

from typing import NamedTuple


class CallHeaders(NamedTuple):
    """What the headers of a caller's request say.

    Attributes:
        request_id: Id of this attempt of the caller.
        host: Host name it asks for, lower case, without a port.
        key: The caller's key, or empty.
        time_limit_ms: How long the caller waits, or None.
        last_event_id: Last event the caller has of a broken stream, or empty.
        prompt_tokens: Tokens of the prompt; 0 for a plain call.
        max_tokens: Most tokens of the output.
        expected_tokens: The caller's guess of the output, 0 for none.
    """

    request_id: str
    host: str
    key: str
    time_limit_ms: float | None
    last_event_id: str
    prompt_tokens: int
    max_tokens: int
    expected_tokens: int


class ResumePoint(NamedTuple):
    """Where a run goes on.

    Attributes:
        last_event_id: Last event that has left for the caller, or empty.
        copy_address: ``IP:PORT`` of the engine that the copy is named at.
        copy_name: Name of the run's memory there, or empty to read anew.
    """

    last_event_id: str
    copy_address: str = ""
    copy_name: str = ""


class SendOptions(NamedTuple):
    """What a backend server is told beside the caller's own request.

    Attributes:
        server_id: The server that is meant; another one refuses.
        time_limit_ms: Time left.
        account: Client account of the key, or empty.
        resume: Where a run goes on, or None for a new one.
        backup_address: ``IP:PORT`` of the engine that keeps a copy, or empty.
        reservation: Name of the memory that the engine has reserved, or empty.
    """

    server_id: str
    time_limit_ms: float
    account: str = ""
    resume: ResumePoint | None = None
    backup_address: str = ""
    reservation: str = ""


class AnswerMetadata(NamedTuple):
    """What a server's answer says about itself.

    Attributes:
        request_id: The request it answers, or empty.
        is_sealed: Whether the server vouches for status and body.
        is_not_run: Whether the server states that it did not run the request.
        is_encoded: Whether the body is not the server's plain one.
        is_leaving: Whether the server is about to be gone.
        quiet_ms: For how long it asks for no more requests, or None.
        invalid_header: Name and value of a header about the server that makes no sense,
            or empty.
    """

    request_id: str
    is_sealed: bool
    is_not_run: bool
    is_encoded: bool
    is_leaving: bool = False
    quiet_ms: float | None = None
    invalid_header: str = ""


class EngineState(NamedTuple):
    """Report of an engine; some hundred ms old when it arrives.

    Attributes:
        is_leaving: Whether the engine is about to be gone.
        waiting_count: Requests that wait for a slot or for memory.
        used_tokens: Memory that cannot be freed.
    """

    is_leaving: bool
    waiting_count: int
    used_tokens: int


class CopyResult(NamedTuple):
    """Outcome of one copy of a run's memory.

    Attributes:
        is_complete: Whether the copy is complete at the target.
        copy_name: Name of the copy, or empty.
        event_count: Events generated so far.
        status: Status of the answer.
    """

    is_complete: bool
    copy_name: str
    event_count: int
    status: int
