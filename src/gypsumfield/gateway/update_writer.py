"""Encodes and sends the updates of this host to other hosts."""

import math
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING
from typing import TypeVar

from gypsumfield.clock import Clock
from gypsumfield.decisions.server_limits import LimitRecords
from gypsumfield.decisions.server_limits import LimitStatement
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.engine_reports import EngineReport
from gypsumfield.gateway.engine_reports import EngineReportCache
from gypsumfield.gateway.host_updates import encode_update
from gypsumfield.gateway.host_updates import HostUpdate
from gypsumfield.gateway.host_updates import LeavingServer
from gypsumfield.gateway.host_updates import UpdateKind
from gypsumfield.gateway.host_updates import WireItem
from gypsumfield.gateway.host_updates import WireLimit
from gypsumfield.gateway.host_updates import WirePart
from gypsumfield.gateway.host_updates import WireRefusal
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.ledger import ServerLoad
from gypsumfield.gateway.part_guard import PartGuard
from gypsumfield.gateway.roster import Roster
from gypsumfield.gateway.scheduling import LackRecords
from gypsumfield.gateway.server_notices import ServerNotices
from gypsumfield.gateway.wake_watch import WakeWatch
from gypsumfield.gateway.wire_loads import WireLoad
from gypsumfield.gateway.wire_loads import WireReport

if TYPE_CHECKING:
    from gypsumfield.gateway.scheduling import EnginePaces

# Changes up to this size are sent within an update; larger ones are pulled by peers.
MAX_INLINE_CHANGES_BYTES = 900
# Limits of servers in one update: those that changed lately in every round, the others
# in slow rounds. With more of them, updates take turns.
CHANGED_LIMITS_PER_UPDATE = 8
UNCHANGED_LIMITS_PER_UPDATE = 2
# Parts of prompts in one update, as for limits.
CHANGED_PARTS_PER_UPDATE = 6
NEWEST_PARTS_PER_UPDATE = 3
UNCHANGED_PARTS_PER_UPDATE = 2
REFUSALS_PER_UPDATE = 16
# Hosts that a hello lists in addition to the best ranked of each zone.
HELLO_HOST_COUNT = 4
# The notice of a server that it will leave is sent again in each round for this time.
LEAVING_RESEND_MS = 3_000.0
# Planned memory is compared in steps: the growth of a few runs causes no update at
# once, one prompt more or less does.
LOAD_CHANGE_STEP_TOKENS = 1_024


NameT = TypeVar("NameT")


# Datagrams between hosts arrive within some tens of milliseconds.
MAX_DATAGRAM_DELAY_MS = 100.0


class SendRound(NamedTuple):
    """Which updates are due when `PeerLink` sends.

    Attributes:
        is_heartbeat_due: Whether the regular heartbeats are due.
        is_slow_heartbeat_due: Whether the slow heartbeats are due; see
            ``SLOW_HEARTBEAT_INTERVAL_MS``.
        round_number: Number of regular heartbeats so far.
    """

    is_heartbeat_due: bool
    is_slow_heartbeat_due: bool
    round_number: int


class WriterDependencies(NamedTuple):
    """Dependencies of `UpdateWriter`.

    Attributes:
        roster: Hosts that messages arrive from.
        catalogue: The published view.
        ledger: Runs in flight, by server.
        report_cache: Latest reports of engines.
        engine_paces: Time per event of each engine.
        notices: Limits that servers have named.
        part_guard: Evidence on parts of prompts that crash engines.
        lacks: Streams that lack memory.
        is_store_reachable: Whether this host watches the store and gets answers.
        is_receiving_changes: Whether this host receives changes, from the store or
            from other hosts.
        lost_services: Returns the services whose servers this host does not reach.
        send: Sends a datagram to an IP.
        clock: Monotonic clock.
        wake_watch: Tells whether datagrams can have waited while this host stood still.
    """

    roster: Roster
    catalogue: Catalogue
    ledger: Ledger
    report_cache: EngineReportCache
    engine_paces: "EnginePaces"
    notices: ServerNotices
    part_guard: PartGuard
    lacks: LackRecords
    is_store_reachable: Callable[[], bool]
    is_receiving_changes: Callable[[], bool]
    lost_services: Callable[[], list[str]]
    send: Callable[[str, bytes], None]
    clock: Clock
    wake_watch: WakeWatch


class UpdateWriter:
    """Encodes and sends updates of this host.

    Attributes:
        deps: Dependencies for encoding and sending updates.
    """

    def __init__(self, deps: WriterDependencies) -> None:
        self.deps = deps
        self._sent_revision = 0
        self._slow_round_number = 0
        self._sent_parts_version = 0
        self._sent_refusals_version = 0

    def encode(self, kind: UpdateKind, **fields: Any) -> bytes:
        """Return a datagram of a kind; ``fields`` are optional `HostUpdate` fields."""
        deps = self.deps
        update = HostUpdate(
            kind,
            deps.roster.own_card,
            deps.catalogue.revision,
            deps.is_store_reachable(),
            deps.is_receiving_changes(),
            zone_host_count=deps.roster.announced_zone_count,
            fleet_host_count=deps.roster.announced_fleet_count,
            lost_services=deps.lost_services(),
            **fields,
        )
        return encode_update(update)

    def send_hello(self, ip: str) -> None:
        """Send a host the identity of this host and of some others."""
        known_hosts = self.deps.roster.cards_to_announce(0, HELLO_HOST_COUNT)
        hello = self.encode(
            UpdateKind.HELLO, known_hosts=known_hosts, parts=self.first_parts()
        )
        self.deps.send(ip, hello)

    def collect_changes(self) -> tuple[list[WireItem], int]:
        """Return the items changed since the last call, if they fit into a datagram.

        Returns:
            The changes and the revision that they are based on; an empty list and -1
            when peers have to pull them, an empty list and 0 when nothing changed.
        """
        catalogue = self.deps.catalogue
        after, self._sent_revision = self._sent_revision, catalogue.revision
        if after == catalogue.revision:
            return [], 0
        changes = [WireItem(*item) for item in catalogue.items_after(after)]
        size = sum(len(item.key) + len(item.value or b"") for item in changes)
        return (
            (changes, after) if after and size <= MAX_INLINE_CHANGES_BYTES else ([], -1)
        )

    def leaving(self) -> list[LeavingServer]:
        """Return the servers that recently announced that they will leave."""
        starts = self.deps.catalogue.recently_leaving(LEAVING_RESEND_MS)
        return [LeavingServer(*start) for start in starts]

    def wire_reports(self, reports: Mapping[str, EngineReport]) -> list[WireReport]:
        """Return the wire form of engines' reports."""
        now_ms = self.deps.clock.monotonic_ms()
        return [
            WireReport(
                server_id,
                report.waiting_count,
                report.used_tokens,
                report.is_leaving,
                int(now_ms - report.received_ms),
                report.started_wall_ms,
                math.ceil(now_ms - report.asked_ms),
                *self.deps.engine_paces.shared_times(server_id),
            )
            for server_id, report in reports.items()
        ]

    def own_wire_loads(self, loads: Mapping[str, ServerLoad]) -> list[WireLoad]:
        """Return the wire form of this host's loads, with the pace it observes."""
        paces = self.deps.engine_paces
        return [
            WireLoad(server_id, *load, paces.own_event_ms(server_id))
            for server_id, load in loads.items()
        ]

    def wire_limits(self, server_ids: Iterable[str]) -> list[WireLimit]:
        """Return the wire form of what servers said about their limits."""
        return self._wire_statements(self.deps.notices.limits, server_ids)

    def _wire_statements(
        self, records: LimitRecords, server_ids: Iterable[str]
    ) -> list[WireLimit]:
        now_ms = self.deps.clock.monotonic_ms()
        limits = []
        for server_id in server_ids:
            record = records.find(server_id)
            if record is None:
                continue
            statement = record.statement
            has_sent_time = statement.sent_ms > -math.inf
            limits.append(
                WireLimit(
                    server_id,
                    record.started_wall_ms,
                    statement.limit_per_s,
                    math.ceil(now_ms - statement.sent_ms) if has_sent_time else None,
                    int(now_ms - statement.received_ms),
                )
            )
        return limits

    def due_limits(self, send_round: SendRound) -> dict[str, Any]:
        """Return what is passed on of servers' limits in a round, as update fields."""
        notices = self.deps.notices
        fields: dict[str, Any] = {}
        if send_round.is_slow_heartbeat_due:
            self._slow_round_number += 1
        if send_round.is_heartbeat_due:
            fields["limits"] = self._due_statements(notices.limits, send_round)
            fields["brittle"] = self._due_statements(notices.brittle, send_round)
        if self.has_unsent_refusals or send_round.is_heartbeat_due:
            self._sent_refusals_version = notices.refusals.version
            now_ms = self.deps.clock.monotonic_ms()
            fields["refusals"] = [
                WireRefusal(server_id, started_wall_ms, int(now_ms - at_ms))
                for server_id, started_wall_ms, at_ms in notices.refusals.recent(now_ms)
            ][:REFUSALS_PER_UPDATE]
        return fields

    def _due_statements(
        self, records: LimitRecords, send_round: SendRound
    ) -> list[WireLimit]:
        changed, unchanged = records.to_pass_on(self.deps.clock.monotonic_ms())
        due = _take_turns(changed, send_round.round_number, CHANGED_LIMITS_PER_UPDATE)
        if send_round.is_slow_heartbeat_due:
            due += _take_turns(
                unchanged, self._slow_round_number, UNCHANGED_LIMITS_PER_UPDATE
            )
        return self._wire_statements(records, due)

    @property
    def has_unsent_refusals(self) -> bool:
        """Whether a brittle server has refused a request since `due_limits`."""
        return self.deps.notices.refusals.version != self._sent_refusals_version

    @property
    def has_unsent_parts(self) -> bool:
        """Whether evidence on parts of prompts has changed since `due_parts`."""
        return self.deps.part_guard.evidence.version != self._sent_parts_version

    def first_parts(self) -> list[WirePart]:
        """Return the evidence on parts for a host that may know nothing yet."""
        guard = self.deps.part_guard
        changed, unchanged = guard.evidence.to_pass_on(self.deps.clock.monotonic_ms())
        return guard.wire_parts([*changed, *unchanged][:CHANGED_PARTS_PER_UPDATE])

    def due_parts(self, send_round: SendRound) -> list[WirePart]:
        """Return the evidence on parts that is passed on to other hosts in a round."""
        guard = self.deps.part_guard
        if not (self.has_unsent_parts or send_round.is_heartbeat_due):
            return []
        self._sent_parts_version = guard.evidence.version
        changed, unchanged = guard.evidence.to_pass_on(self.deps.clock.monotonic_ms())
        due = changed[:NEWEST_PARTS_PER_UPDATE]
        # A crash may change many at once: the contents of all requests of its engine.
        due += _take_turns(
            changed[NEWEST_PARTS_PER_UPDATE:],
            send_round.round_number,
            CHANGED_PARTS_PER_UPDATE - len(due),
        )
        if send_round.is_slow_heartbeat_due:
            due += _take_turns(
                unchanged, self._slow_round_number, UNCHANGED_PARTS_PER_UPDATE
            )
        return guard.wire_parts(due)

    def store_limits(self, update: HostUpdate) -> None:
        """Record the limits and refusals that another host has sent."""
        notices = self.deps.notices
        now_ms = self.deps.clock.monotonic_ms()
        source = f"peer {update.sender.host_id}"
        for wire_limits, record in (
            (update.limits, notices.record_limit),
            (update.brittle, notices.record_brittle),
        ):
            for limit in wire_limits:
                sent_age_ms = limit.sent_age_ms
                statement = LimitStatement(
                    limit.limit_per_s,
                    -math.inf if sent_age_ms is None else now_ms - sent_age_ms,
                    now_ms - limit.received_age_ms,
                )
                record(limit.server_id, limit.started_wall_ms, statement, source)
        for refusal in update.refusals:
            at_ms = now_ms - refusal.age_ms
            start = (refusal.server_id, refusal.started_wall_ms)
            notices.refusals.record(*start, at_ms, is_own=False)

    def store_reports(self, update: HostUpdate) -> None:
        """Record the engine reports that another host has sent."""
        now_ms = self.deps.clock.monotonic_ms()
        is_fresh = self.deps.wake_watch.is_awake()
        for wire_report in update.reports:
            asked_ms = now_ms - wire_report.asked_age_ms - MAX_DATAGRAM_DELAY_MS
            report = EngineReport(
                wire_report.waiting_count,
                wire_report.used_tokens,
                wire_report.is_leaving,
                now_ms - wire_report.age_ms,
                # A datagram may have waited while this host stood still.
                wire_report.started_wall_ms if is_fresh else 0,
                asked_ms,
            )
            source = f"peer {update.sender.host_id}"
            self.deps.report_cache.put(wire_report.server_id, report, source)
            if is_fresh:
                self.deps.engine_paces.record_shared(
                    wire_report.server_id,
                    report.started_wall_ms,
                    wire_report.event_ms,
                    wire_report.usual_event_ms,
                    report.received_ms,
                )


def _take_turns(names: list[NameT], round_number: int, count: int) -> list[NameT]:
    """Return ``count`` of the names, in the next rounds the ones after them."""
    first = round_number * count % max(1, len(names))
    return (names[first:] + names[:first])[:count]


def wire_loads(loads: Mapping[str, ServerLoad]) -> list[WireLoad]:
    """Return the wire form of loads by server."""
    return [WireLoad(server_id, *load) for server_id, load in loads.items()]


def loads_by_server(wire: list[WireLoad]) -> dict[str, ServerLoad]:
    """Return loads by server from their wire form."""
    return {
        load.server_id: ServerLoad(
            load.run_count, load.committed_tokens, load.waiting_prompt_tokens
        )
        for load in wire
    }


def coarse_loads(loads: list[WireLoad]) -> list[tuple[str, int, int]]:
    """Return loads rounded so that differences too small to send disappear."""
    return [
        (
            load.server_id,
            load.run_count,
            load.committed_tokens // LOAD_CHANGE_STEP_TOKENS,
        )
        for load in loads
    ]
