"""What the decisions know of a generation: its demand and its progress."""

from typing import NamedTuple


class GenerationDemand(NamedTuple):
    """What a request asks of an engine, as far as it is known ahead.

    Attributes:
        request_id: Unique name of the request.
        service: Name of the service.
        profile: Name of the profile the service runs under.
        account: Name of the client account.
        prompt_tokens: Length of the prompt, as estimated.
        max_tokens: Largest number of output tokens.
        priority: Larger is served first.
    """

    request_id: str
    service: str
    profile: str
    account: str
    prompt_tokens: int
    max_tokens: int
    priority: int = 0


class RunningGeneration(NamedTuple):
    """A generation that an engine works on."""

    demand: GenerationDemand
    generated_tokens: int
