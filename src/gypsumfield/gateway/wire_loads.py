"""Wire format of what hosts tell each other about the load of engines."""

import msgspec


class WireLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load on one engine: runs, planned memory, prompt tokens not yet processed."""

    server_id: str
    run_count: int
    committed_tokens: int
    waiting_prompt_tokens: int


class WireReport(msgspec.Struct, frozen=True, array_like=True):
    """Report of one engine with its age; hosts of earlier builds end with the age.

    Attributes:
        started_wall_ms: Start that the engine names, or 0.
        asked_age_ms: Time since the engine was asked.
    """

    server_id: str
    waiting_count: int
    used_tokens: int
    is_leaving: bool
    age_ms: int
    started_wall_ms: int = 0
    asked_age_ms: int = 0
