"""What an engine stand-in tells of the generations that it ran."""

from typing import Literal

import msgspec

from gypsumfield.engine_api import Order


class EngineRun(msgspec.Struct):
    """What became of one generation id.

    Attributes:
        request_id: Request id of its first start.
        start_count: How often it was really started; refusals do not count.
        generated_tokens: Tokens it made.
        state: How it stands.
    """

    request_id: str
    start_count: int = 1
    generated_tokens: int = 0
    state: Literal["running", "finished", "cancelled", "lost"] = "running"


class EngineRuns(msgspec.Struct, frozen=True):
    """Answer of ``GET /standin/runs``.

    Attributes:
        generations: Runs by generation id, over all boots.
        header_names: Lower-case names of the headers it ever saw.
        boot_id: The current boot.
        orders: Orders it accepted, oldest first.
        refused_count: Generations it refused.
    """

    generations: dict[str, EngineRun]
    header_names: list[str]
    boot_id: str
    orders: list[Order]
    refused_count: int
