"""Wire format of what hosts tell each other about the load of engines."""

import msgspec


class WireLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load on one engine: runs, planned memory, prompt tokens not yet processed.

    Attributes:
        event_ms: Time per event that the sender observes on its own streams, or 0.
    """

    server_id: str
    run_count: int
    committed_tokens: int
    waiting_prompt_tokens: int
    event_ms: int = 0


class WireReport(msgspec.Struct, frozen=True, array_like=True):
    """Report of one engine with its age; hosts of earlier builds end with the age.

    Attributes:
        started_wall_ms: Start that the engine names, or 0.
        asked_age_ms: Time since the engine was asked.
        event_ms: Time per event of its streams now, or 0 if unknown.
        usual_event_ms: Usual time per event of this start, or 0 if unknown.
    """

    server_id: str
    waiting_count: int
    used_tokens: int
    is_leaving: bool
    age_ms: int
    started_wall_ms: int = 0
    asked_age_ms: int = 0
    event_ms: int = 0
    usual_event_ms: int = 0
