"""Messages between an entry host and a model engine, over HTTP.

Routes of an engine:

- ``POST /v1/generations`` (`StartGeneration`) answers server-sent events, one
  `TokenEvent` each, the last with a finish reason.
- ``GET /v1/generations/{generation_id}?after=N`` continues the same generation
  with the token events whose sequence number is above N; 404 when it is not
  known there.
- ``DELETE /v1/generations/{generation_id}`` cancels it; cancelling twice is
  harmless.
- ``GET /v1/load`` answers a `LoadReport`.
- ``GET /v1/cache-events?after=N`` answers `CacheEvents`.
- ``POST /v1/orders`` (`Order`) answers `OrderOutcome`; 409 when the engine
  checks fencing numbers and the order's is old.
- ``GET /v1/inventory`` answers `Inventory`, to read back what an order did.

A refusal is an `EngineRefusal` with status 400, 429 or 503: the generation has
not run; the code ``engine_leaving`` says that it takes no new work before it
goes. Every answer echoes the ``X-Request-Id`` header of its request.
"""

from typing import Literal

import msgspec

REQUEST_ID_HEADER = "X-Request-Id"
LEAVING_CODE = "engine_leaving"

FinishReason = Literal["stop", "length", "cancelled"]
OrderKind = Literal["load_model", "unload_model", "load_adapter", "set_role"]


class StartGeneration(msgspec.Struct, frozen=True):
    """Start of a generation with an id that the caller chose.

    Attributes:
        generation_id: Unique name; starting the same id twice is refused.
        model: Name of the model.
        prompt: Text to continue.
        max_tokens: Largest number of output tokens.
        priority: Larger is scheduled first.
    """

    generation_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int = 0


class TokenEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One output token; sequence numbers start at 1 and have no gap.

    The last event carries the finish reason, an empty text and the sequence
    number after the last token.
    """

    generation_id: str
    sequence: int
    text: str = ""
    finish_reason: FinishReason | None = None


class LoadReport(msgspec.Struct, frozen=True):
    """Load of an engine; it lags behind what the engine does now.

    Attributes:
        boot_id: Changes whenever the engine restarts.
        is_cold: Whether the engine bears only a little load yet.
        running_count: Generations in the batch.
        waiting_count: Generations that wait for memory, preempted ones included.
        memory_used_tokens: Key-value memory in use.
        memory_limit_tokens: Key-value memory in all.
        preemption_count: Preemptions since boot.
        step_time_ms: Duration of the latest decode step.
        report_age_ms: How long ago the engine took this report.
    """

    boot_id: str
    is_cold: bool
    running_count: int
    waiting_count: int
    memory_used_tokens: int
    memory_limit_tokens: int
    preemption_count: int
    step_time_ms: float
    report_age_ms: float


class CacheEvent(msgspec.Struct, frozen=True):
    """A prompt prefix was cached or dropped; published late and with gaps."""

    sequence: int
    kind: Literal["stored", "evicted"]
    prefix_digest: str


class CacheEvents(msgspec.Struct, frozen=True):
    """Cache events after a sequence number, as far as they are published."""

    boot_id: str
    events: tuple[CacheEvent, ...]


class Order(msgspec.Struct, frozen=True):
    """Order to an engine; the fencing number is a configuration revision."""

    kind: OrderKind
    name: str
    version: str = ""
    fencing_number: int = 0


class OrderOutcome(msgspec.Struct, frozen=True):
    """What became of an order."""

    is_accepted: bool
    highest_fencing_number: int


class Inventory(msgspec.Struct, frozen=True):
    """What an engine holds and serves as."""

    boot_id: str
    role: str
    models: dict[str, str]
    adapters: tuple[str, ...] = ()


class EngineError(msgspec.Struct, frozen=True):
    """Body of a refusal's ``error`` field."""

    code: str
    message: str
    run: Literal["not-run"] = "not-run"
    retry_after_ms: float | None = None


class EngineRefusal(msgspec.Struct, frozen=True):
    """Refusal of a generation that has not run."""

    error: EngineError
