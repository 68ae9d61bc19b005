"""Advice of the first delegate of a zone on the engine for a stream, in large fleets.

Many hosts of a large fleet place streams in less time than load reports take to
arrive. All of them see the same idle engine and select it, and the prompts then wait
for each other. The first delegate of the zone therefore selects engines for all hosts
of the zone, one request after the other, and counts each placement at once. The answer
is advice only: no limit depends on it, and without it a host selects an engine itself.
"""

from collections.abc import Callable

import gevent
from gevent.event import AsyncResult

from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.gateway.events import AdviserSilent
from gypsumfield.gateway.host_updates import UpdateKind
from gypsumfield.gateway.pending_replies import PendingReplies
from gypsumfield.gateway.scheduling import Advice
from gypsumfield.gateway.scheduling import PlacementQuery
from gypsumfield.gateway.update_writer import UpdateWriter
from gypsumfield.interfaces import EmitEvent

# A host of the same zone answers within 1 ms; one that gets no processor time does
# not answer in time.
ANSWER_TIMEOUT_MS = 20.0
# A delegate that did not answer gets no queries for this time.
SILENT_PAUSE_MS = 500.0

# Selects an engine as the first delegate; returns its id, or empty for none.
SelectEngine = Callable[[PlacementQuery], str]


class Adviser:
    """Queries the first delegate of the zone for engines, or answers as that host.

    Args:
        writer: Encodes and sends datagrams, and holds the roster.
        clock: Monotonic clock.
        emit: Writes an event to the log.

    Attributes:
        select_engine: Selects an engine when this host is the first delegate.
    """

    def __init__(self, writer: UpdateWriter, clock: Clock, emit: EmitEvent) -> None:
        self.select_engine: SelectEngine = lambda _placement_query: ""
        self._writer = writer
        self._clock = clock
        self._emit = emit
        self._replies: PendingReplies[str] = PendingReplies()
        self._paused_until_ms: dict[str, float] = {}

    def request_engine(self, placement_query: PlacementQuery) -> str | None:
        """Return the advised engine, empty when none is suitable, None without advice.

        There is no advice in a small fleet, without a delegate, and when the delegate
        has not answered within `ANSWER_TIMEOUT_MS`. Blocks for that time at most.

        Args:
            placement_query: Requirements of the stream; its number is replaced by a
                new one.
        """
        roster = self._writer.deps.roster
        if not roster.is_large:
            return None
        if roster.is_first_delegate:
            return self.select_engine(placement_query)
        delegates = roster.live_local_delegates()
        if not delegates:
            return None
        card = delegates[0].card
        now_ms = self._clock.monotonic_ms()
        if self._paused_until_ms.get(card.host_id, 0.0) > now_ms:
            return None
        pending = AsyncResult()
        number = self._replies.add(pending.set)
        with_number = placement_query.with_number(number)
        datagram = self._writer.encode(UpdateKind.QUERY, query=with_number)
        self._writer.deps.send(card.ip, datagram)
        try:
            return str(pending.get(timeout=ANSWER_TIMEOUT_MS / MS_PER_S))
        except gevent.Timeout:
            self._paused_until_ms = {card.host_id: now_ms + SILENT_PAUSE_MS}
            self._emit(AdviserSilent(peer=card.host_id, pause_ms=SILENT_PAUSE_MS))
            return None
        finally:
            self._replies.discard(number)

    def answer(self, ip: str, placement_query: PlacementQuery) -> None:
        """Answer the query of a host of the zone, if this is the first delegate."""
        if self._writer.deps.roster.is_first_delegate:
            advice = Advice(placement_query.number, self.select_engine(placement_query))
            datagram = self._writer.encode(UpdateKind.ADVICE, advice=advice)
            self._writer.deps.send(ip, datagram)

    def receive_advice(self, advice: Advice) -> None:
        """Receive an answer; one that arrives after the timeout is ignored."""
        self._replies.resolve(advice.number, advice.server_id)
