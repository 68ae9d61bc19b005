"""Messages between an entry host and a model engine, over HTTP.

Routes of an engine:

- ``POST /v1/generations`` (`StartGeneration`) returns server-sent events, one
  `TokenEvent` each, the last with a finish reason.
- ``GET /v1/generations/{generation_id}?after=N`` returns the events of the same
  generation whose sequence number is above N; 404 when the engine doesn't have it.
- ``DELETE /v1/generations/{generation_id}`` cancels the generation; cancelling
  is idempotent.
- ``GET /v1/load`` returns a `LoadReport`.
- ``GET /v1/cache-events?after=N`` returns `CacheEvents`.
- ``POST /v1/orders`` (`Order`) returns an `OrderOutcome`; 409 when the engine
  checks fencing numbers and the order's number is outdated.
- ``GET /v1/inventory`` returns an `Inventory`, to verify the effect of an order.

A refusal is an `EngineRefusal` with status 400, 429 or 503: the generation has
not run. The code ``engine_leaving`` says that the engine accepts no new work
because it is about to leave. Each answer echoes the ``X-Request-Id`` header.
"""

from typing import Literal

import msgspec

REQUEST_ID_HEADER = "X-Request-Id"
LEAVING_CODE = "engine_leaving"

FinishReason = Literal["stop", "length", "cancelled"]
OrderKind = Literal["load_model", "unload_model", "load_adapter", "set_role"]


class StartGeneration(msgspec.Struct, frozen=True):
    """Starts a generation under an id that the sender chooses.

    Attributes:
        generation_id: Unique id; a second start with the same id is refused.
        model: Name of the model.
        prompt: Text to continue.
        max_tokens: Largest number of output tokens.
        priority: Generations with a larger priority are scheduled first.
    """

    generation_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int = 0


class TokenEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One output token; sequence numbers start at 1 and have no gaps.

    The last event carries no token: it has the finish reason, an empty text and
    the sequence number after the last token.
    """

    generation_id: str
    sequence: int
    text: str = ""
    finish_reason: FinishReason | None = None


class LoadReport(msgspec.Struct, frozen=True):
    """Load of an engine at the time of the report, `report_age_ms` ago.

    Attributes:
        boot_id: Changes whenever the engine restarts.
        is_cold: Whether the engine is cold and accepts only little load.
        running_count: Generations in the batch.
        waiting_count: Generations that wait for memory, including preempted ones.
        memory_used_tokens: Key-value cache memory in use.
        memory_limit_tokens: Total key-value cache memory.
        preemption_count: Preemptions since boot.
        step_time_ms: Duration of the latest decode step.
        report_age_ms: Time since the engine took these measurements.
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
    """A prompt prefix was cached or evicted.

    Events are published with a delay, and some are never published.
    """

    sequence: int
    kind: Literal["stored", "evicted"]
    prefix_digest: str


class CacheEvents(msgspec.Struct, frozen=True):
    """Published cache events after the requested sequence number."""

    boot_id: str
    events: tuple[CacheEvent, ...]


class Order(msgspec.Struct, frozen=True):
    """Command to an engine; its fencing number is a configuration revision."""

    kind: OrderKind
    name: str
    version: str = ""
    fencing_number: int = 0


class OrderOutcome(msgspec.Struct, frozen=True):
    """Whether an order was accepted, and the highest fencing number seen."""

    is_accepted: bool
    highest_fencing_number: int


class Inventory(msgspec.Struct, frozen=True):
    """Role of an engine, and its loaded models (name to version) and adapters."""

    boot_id: str
    role: str
    models: dict[str, str]
    adapters: tuple[str, ...] = ()


class EngineError(msgspec.Struct, frozen=True):
    """Contents of the ``error`` field of a refusal."""

    code: str
    message: str
    run: Literal["not-run"] = "not-run"
    retry_after_ms: float | None = None


class EngineRefusal(msgspec.Struct, frozen=True):
    """Refusal of a generation that has not run."""

    error: EngineError
