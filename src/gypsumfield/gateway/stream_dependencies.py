"""Dependencies of streams."""

from collections.abc import Callable
from typing import NamedTuple

from gypsumfield.decisions.fleet_shares import RetryShare
from gypsumfield.gateway.attempt import AttemptDependencies
from gypsumfield.gateway.forwarding import ForwardedStream
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.run_copies import CopyDependencies
from gypsumfield.gateway.run_ends import RunEnds
from gypsumfield.gateway.stream_queue import StreamQueue
from gypsumfield.gateway.stream_registry import StreamRegistry
from gypsumfield.gateway.stream_takeover import StreamTakeover


class StreamDependencies(NamedTuple):
    """Dependencies of `Stream`.

    Attributes:
        attempts: Dependencies for sending requests.
        queue: Selects engines and queues streams that none can accept yet.
        ledger: Runs in flight.
        retry_share: Returns this host's share of a service's retry budget.
        host_count: Returns how many hosts may exist; None while too little is known.
        tokens_per_event: Returns the tokens in one event of a service's streams.
        copies: Dependencies for copies of runs.
        registry: Streams that run now; `Protector` copies them off leaving engines.
        forward: Lets a stream go on at another host after an event; None if it can't.
        takeover: Software versions of streams that callers may take up again.
        run_ends: Makes sure that a run has ended before its stream goes on elsewhere.
    """

    attempts: AttemptDependencies
    queue: StreamQueue
    ledger: Ledger
    retry_share: Callable[[str], RetryShare]
    host_count: Callable[[], int | None]
    tokens_per_event: Callable[[str], int]
    copies: CopyDependencies
    registry: StreamRegistry
    forward: Callable[[Job, str], ForwardedStream | None]
    takeover: StreamTakeover
    run_ends: RunEnds
