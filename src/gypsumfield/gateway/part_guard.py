"""Keeps requests from the servers that they, or a part of their prompt, would crash."""

import math
import random
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from gypsumfield.clock import Clock
from gypsumfield.decisions.part_crashes import Assessment
from gypsumfield.decisions.part_crashes import PartCrash
from gypsumfield.decisions.part_crashes import PartCrashes
from gypsumfield.decisions.part_crashes import PartRecord
from gypsumfield.decisions.part_crashes import Suspicion
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import Refusal
from gypsumfield.exceptions import RefusedError
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.events import PartEvidence
from gypsumfield.gateway.events import RequestCondemned
from gypsumfield.gateway.host_updates import WirePart
from gypsumfield.gateway.host_updates import WirePartCrash
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.model import CallKind
from gypsumfield.interfaces import EmitEvent

CONDEMNED_REASON = "a part of its prompt has crashed backend servers"
CONDEMNED_CONTENT_REASON = "the same request has crashed backend servers"
CONDEMNED_REASONS = frozenset({CONDEMNED_REASON, CONDEMNED_CONTENT_REASON})
# Codes of attempts that fail with the connection, after the request was sent.
BROKEN_CODES = frozenset({"answer_truncated", "backend_failed"})
# Servers that may have crashed at the same moment do not hide each other's crashes.
WITNESS_COUNT = 3
_PART_ID_LIMIT = 1 << 63


class GuardDependencies(NamedTuple):
    """Dependencies of `PartGuard`.

    Attributes:
        catalogue: Records of servers; the end of one that is leaving is no crash.
        refuses_connections: Returns whether an address actively refuses connections.
        clock: Monotonic clock.
        rng: Selects the other servers that are asked.
        emit: Writes an event to the log.
    """

    catalogue: Catalogue
    refuses_connections: Callable[[str], bool]
    clock: Clock
    rng: random.Random
    emit: EmitEvent


class PartGuard:
    """Collects evidence on parts of prompts and refuses requests with condemned ones.

    Attributes:
        evidence: Crashes and answers by part.
    """

    def __init__(self, deps: GuardDependencies) -> None:
        self.evidence = PartCrashes()
        self._deps = deps
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change that other hosts should learn of."""
        self._listeners.append(listener)

    def is_condemned(self, job: Job) -> bool:
        """Return whether a request must not be sent."""
        return bool(self.condemned_reason(job))

    def condemned_reason(self, job: Job) -> str:
        """Return why a request must not be sent, or an empty string."""
        return _condemned_reason(job, self._assess(job))

    def refuse_condemned(self, job: Job) -> None:
        """Refuse a request that must not be sent.

        Raises:
            RefusedError: 503; the request has not run.
        """
        assessment = self._assess(job)
        reason = _condemned_reason(job, assessment)
        if not reason:
            return
        self._log_condemned(job, assessment)
        is_content = assessment.part == job.content_id
        raise RefusedError(
            Refusal(
                503,
                "request_crashes" if is_content else "prompt_part_crashes",
                reason,
                retry_after_ms=assessment.remaining_ms,
            )
        )

    def exclusion_reason(self, job: Job) -> str:
        """Return why a request must not be sent, or an empty string, and log it."""
        assessment = self._assess(job)
        reason = _condemned_reason(job, assessment)
        if reason:
            self._log_condemned(job, assessment)
        return reason

    def record_failure(
        self,
        job: Job,
        server: BackendServer,
        error: BackendError,
        sent_ms: float,
        event_count: int,
    ) -> None:
        """Record a crash of the server if one explains the failure of a request.

        A broken connection is a crash only if the server then refuses connections. The
        parts of a prompt are innocent once an event was complete; the request is not.

        Args:
            job: The request.
            server: The server to which it was sent.
            error: The failure.
            sent_ms: Monotonic time at which it was sent.
            event_count: Complete events that the server had sent.
        """
        if error.code not in BROKEN_CODES:
            return
        now_ms = self._deps.clock.monotonic_ms()
        if not self.has_crashed(server):
            return
        # A plain service does not show which of its requests it was running.
        is_plain = job.route.kind is not CallKind.STREAM
        was_answering = error.code == "answer_truncated" and not event_count
        crash = PartCrash(_crash_id(server), now_ms, was_answering or is_plain)
        parts = [] if event_count else _shared_part_ids(job)

        def record() -> None:
            if job.content_id:
                self.evidence.record_content_crash(
                    job.content_id, crash, sent_ms, now_ms
                )
            self.evidence.record_crash(parts, crash, now_ms)

        self._apply(record, "crash", server.server_id)

    def record_crash(
        self, parts: Collection[int], crash: PartCrash, server_id: str
    ) -> None:
        """Record that a server crashed with a request that holds these parts."""
        now_ms = self._deps.clock.monotonic_ms()
        self._apply(
            lambda: self.evidence.record_crash(parts, crash, now_ms),
            "crash",
            server_id,
        )

    def has_crashed(self, server: BackendServer) -> bool:
        """Return whether a server that was not leaving has ended.

        If others refuse connections too, this host has lost its own path.
        """
        record = self._deps.catalogue.find_server(server.server_id)
        if record is not None and self._deps.catalogue.is_leaving(record):
            return False
        if not self._deps.refuses_connections(server.address):
            return False
        others = self._other_addresses(server)
        return not others or not all(map(self._deps.refuses_connections, others))

    def _other_addresses(self, server: BackendServer) -> list[str]:
        """Return the addresses of some other servers that should accept connections.

        Those of other services come first: one request may crash all of its service.
        """
        catalogue = self._deps.catalogue
        others = [
            record.server
            for record in catalogue.servers()
            if record.server.server_id != server.server_id
            and not catalogue.is_leaving(record)
        ]
        self._deps.rng.shuffle(others)
        others.sort(key=lambda other: other.service == server.service)
        return [other.address for other in others[:WITNESS_COUNT]]

    def record_answer(self, job: Job, begun_ms: float, is_complete: bool) -> None:
        """Record that a request was answered, and when its answer began.

        Args:
            job: The request.
            begun_ms: Monotonic time at which its answer began.
            is_complete: Whether it was answered to its end. Until then it may still
                crash its server, whatever is known of its parts.
        """
        if job.shared_parts:
            self.record_answered_parts(_shared_part_ids(job), begun_ms)
        if is_complete and job.content_id:
            now_ms = self._deps.clock.monotonic_ms()
            self._apply(
                lambda: self.evidence.record_content_answer(
                    job.content_id, begun_ms, now_ms
                ),
                "answer",
                "",
            )

    def record_answered_parts(self, parts: Collection[int], begun_ms: float) -> None:
        """Record an answer to a request that holds these parts."""
        now_ms = self._deps.clock.monotonic_ms()
        self._apply(
            lambda: self.evidence.record_answer(parts, begun_ms, now_ms), "answer", ""
        )

    def wire_parts(self, parts: Iterable[int]) -> list[WirePart]:
        """Return the wire form of the evidence on parts."""
        now_ms = self._deps.clock.monotonic_ms()
        records = [(part, self.evidence.find(part)) for part in parts]
        return [_wire_part(part, r, now_ms) for part, r in records if r is not None]

    def store_parts(self, wire_parts: Iterable[WirePart], source: str) -> None:
        """Record the evidence that another host has sent."""
        now_ms = self._deps.clock.monotonic_ms()

        def merge_all() -> None:
            for wire in wire_parts:
                crashes = [
                    PartCrash(
                        c.crash_id, now_ms - c.age_ms, c.was_answering, c.is_later
                    )
                    for c in wire.crashes
                ]
                age_ms = wire.answered_age_ms
                answered_ms = -math.inf if age_ms is None else now_ms - age_ms
                self.evidence.merge(
                    wire.part, crashes, answered_ms, now_ms, wire.is_content
                )

        self._apply(merge_all, source, "")

    def _assess(self, job: Job) -> Assessment:
        now_ms = self._deps.clock.monotonic_ms()
        content = [job.content_id] if job.content_id else []
        return self.evidence.assess([*content, *_shared_part_ids(job)], now_ms)

    def _apply(self, change: Callable[[], object], source: str, server_id: str) -> None:
        """Make a change; if it matters to other hosts, log it and notify listeners."""
        version = self.evidence.version
        change()
        if self.evidence.version == version:
            return
        now_ms = self._deps.clock.monotonic_ms()
        changed, _ = self.evidence.to_pass_on(now_ms)
        for part in changed[: self.evidence.version - version]:
            record = self.evidence.find(part) or PartRecord()
            self._deps.emit(
                PartEvidence(
                    backend_server=server_id,
                    part=f"{part:x}",
                    crash_count=len(record.crashes),
                    points=self.evidence.points_of(record),
                    suspicion=self.evidence.suspicion_of(part, now_ms).value,
                    source=source,
                )
            )
        for listener in self._listeners:
            listener()

    def _log_condemned(self, job: Job, assessment: Assessment) -> None:
        self._deps.emit(
            RequestCondemned(
                request_id=job.request_id,
                account=job.account_name,
                service=job.service,
                part=f"{assessment.part:x}",
                remaining_ms=assessment.remaining_ms,
            )
        )


def _condemned_reason(job: Job, assessment: Assessment) -> str:
    if assessment.suspicion is not Suspicion.CONDEMNED:
        return ""
    is_content = assessment.part == job.content_id
    return CONDEMNED_CONTENT_REASON if is_content else CONDEMNED_REASON


def _shared_part_ids(job: Job) -> list[int]:
    return [_part_id(part) for part in job.shared_parts]


def _part_id(part: str) -> int:
    """Return a number for a part; short hexadecimal ids are their own number."""
    try:
        number = int(part, 16)
    except ValueError:
        number = _PART_ID_LIMIT
    return (
        number
        if 0 <= number < _PART_ID_LIMIT
        else xxhash.xxh64_intdigest(part.encode()) >> 1
    )


def _crash_id(server: BackendServer) -> int:
    start = f"{server.server_id}/{server.started_wall_ms}"
    return int(xxhash.xxh32_intdigest(start.encode()))


def _wire_part(part: int, record: PartRecord, now_ms: float) -> WirePart:
    crashes = [
        WirePartCrash(
            crash.crash_id,
            int(now_ms - crash.at_ms),
            crash.was_answering,
            crash.is_later,
        )
        for crash in record.crashes
    ]
    has_answer = record.answered_ms > -math.inf
    age_ms = math.ceil(now_ms - record.answered_ms) if has_answer else None
    return WirePart(part, crashes, age_ms, record.is_content)
