"""Structs in which an engine stand-in reports the generations that it ran."""

from typing import Literal

import msgspec

from gypsumfield.engine_api import Order


class EngineRun(msgspec.Struct):
    """Record of the runs of one generation id, over all boots.

    Attributes:
        request_id: Request id of the first start.
        start_count: How often the generation was started, without refused starts.
        generated_tokens: Tokens generated in all its runs.
        state: State of the latest run.
    """

    request_id: str
    start_count: int = 1
    generated_tokens: int = 0
    state: Literal["running", "finished", "cancelled", "lost"] = "running"


class EngineRuns(msgspec.Struct, frozen=True):
    """Body of the response to ``GET /standin/runs``.

    Attributes:
        generations: Runs by generation id, over all boots.
        header_names: Lower-case names of all request headers received so far.
        boot_id: Id of the current boot.
        orders: Accepted orders, oldest first.
        refused_count: Number of refused generations.
    """

    generations: dict[str, EngineRun]
    header_names: list[str]
    boot_id: str
    orders: list[Order]
    refused_count: int
