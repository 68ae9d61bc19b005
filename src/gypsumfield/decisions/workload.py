"""Demand and progress of a generation, as input of the decisions."""

from typing import NamedTuple


class GenerationDemand(NamedTuple):
    """Demand of a request on an engine, as far as it is known before it runs.

    Attributes:
        request_id: Unique id of the request.
        service: Name of the service.
        profile: Name of the profile of the service.
        account: Name of the client account.
        prompt_tokens: Estimated length of the prompt.
        max_tokens: Largest number of output tokens.
        priority: A larger priority is served first.
    """

    request_id: str
    service: str
    profile: str
    account: str
    prompt_tokens: int
    max_tokens: int
    priority: int = 0


class RunningGeneration(NamedTuple):
    """A generation that runs on an engine, and its output tokens so far."""

    demand: GenerationDemand
    generated_tokens: int
