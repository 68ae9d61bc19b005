"""A stream in the queue of a host, and its rank there."""

import math

from gevent.event import Event as Signal

from gypsumfield.decisions.software_versions import VersionRequirement
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.scheduling import WaitingStream


class QueueEntry:
    """A stream in the queue and the signal that wakes it.

    Attributes:
        job: Call of the stream.
        requirement: Software version that it needs.
        stream: Its need of memory.
        is_above_share: Whether its account leaves memory to others at the moment.
        memory_ratio: Share of an engine's memory that it was allowed to fill at its
            last attempt.
        retry_signal: Set when the stream should retry its placement.
    """

    def __init__(
        self, job: Job, requirement: VersionRequirement, stream: WaitingStream
    ) -> None:
        self.job = job
        self.requirement = requirement
        self.stream = stream
        self.is_above_share = False
        self.memory_ratio = math.inf
        self.retry_signal = Signal()

    @property
    def standing(self) -> tuple[int, bool]:
        """Rank that does not depend on the time of arrival; the lowest is first."""
        return self.job.priority, self.is_above_share


def queue_rank(entry: QueueEntry) -> tuple[bool, tuple[int, bool], float]:
    """Return the rank in the queue; streams that have begun fit on fewer engines."""
    has_begun = entry.requirement.has_begun
    return not has_begun, entry.standing, entry.job.started_ms
