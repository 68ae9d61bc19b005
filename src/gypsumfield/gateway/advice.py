"""Advice on the engine for a stream, from the host that knows its zone's engines best.

Load answered: many hosts of a large fleet that place streams within the age of their
news. All see the same engine idle and take it; prompts then wait for each other. The
first delegate of the zone places for all of them one after the other, and counts what
it has just handed out. Its word is advice only: no bound rests on it, and without it
a host chooses by itself.
"""

import itertools
from collections.abc import Callable

import gevent
from gevent.event import AsyncResult

from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.gateway.events import AdviserSilent
from gypsumfield.gateway.news import Advice
from gypsumfield.gateway.news import NewsKind
from gypsumfield.gateway.news import PlaceQuestion
from gypsumfield.gateway.news_desk import NewsDesk
from gypsumfield.ports import EmitEvent

# A host of the own zone answers within a ms; one without processor time does not.
PATIENCE_MS = 20.0
# A host that did not answer is asked again after this time.
PAUSE_MS = 500.0

# Answers a question as the first delegate: the engine, or empty for none.
Choose = Callable[[PlaceQuestion], str]


class Adviser:
    """Asks the first delegate of the zone for an engine, or answers as that host.

    Args:
        desk: Writes and sends datagrams.
        clock: Time.
        emit: Log.

    Attributes:
        select_engine: Chooses an engine on the first delegate itself.
    """

    def __init__(self, desk: NewsDesk, clock: Clock, emit: EmitEvent) -> None:
        self.select_engine: Choose = lambda _question: ""
        self._desk = desk
        self._clock = clock
        self._emit = emit
        self._numbers = itertools.count(1)
        self._waiting: dict[int, AsyncResult] = {}
        self._silent_until_ms: dict[str, float] = {}

    def request_engine(self, question: PlaceQuestion) -> str | None:
        """Return the engine to take, empty for none, or None without advice.

        Args:
            question: What is asked; its number is filled in here.
        """
        roster = self._desk.ports.roster
        if not roster.is_large:
            return None
        if roster.is_first:
            return self.select_engine(question)
        delegates = roster.delegates_told()
        if not delegates:
            return None
        card = delegates[0].card
        now_ms = self._clock.monotonic_ms()
        if self._silent_until_ms.get(card.host_id, 0.0) > now_ms:
            return None
        number = next(self._numbers)
        waiting = self._waiting[number] = AsyncResult()
        asked = question.numbered(number)
        datagram = self._desk.write(NewsKind.QUESTION, question=asked)
        self._desk.ports.send(card.ip, datagram)
        try:
            return str(waiting.get(timeout=PATIENCE_MS / MS_PER_S))
        except gevent.Timeout:
            self._silent_until_ms = {card.host_id: now_ms + PAUSE_MS}
            self._emit(AdviserSilent(peer=card.host_id, pause_ms=PAUSE_MS))
            return None
        finally:
            del self._waiting[number]

    def answer(self, ip: str, question: PlaceQuestion) -> None:
        """Answer a host of the zone."""
        if self._desk.ports.roster.is_first:
            advice = Advice(question.number, self.select_engine(question))
            datagram = self._desk.write(NewsKind.ADVICE, advice=advice)
            self._desk.ports.send(ip, datagram)

    def receive_advice(self, advice: Advice) -> None:
        """Take an answer; one that comes too late is of no use."""
        waiting = self._waiting.get(advice.number)
        if waiting is not None:
            waiting.set(advice.server_id)
