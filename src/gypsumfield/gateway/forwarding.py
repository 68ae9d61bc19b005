"""Sends requests through another host while this one has no path to their service.

The other host serves a forwarded request like one of its own callers', with the same
id, account, body and headers. It never forwards it again.
"""

import random
from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

from gypsumfield.adapters.backends import Exchange
from gypsumfield.adapters.backends import ExchangeTimeouts
from gypsumfield.adapters.outgoing_requests import OutgoingRequest
from gypsumfield.clock import Clock
from gypsumfield.event_stream import EventSplitter
from gypsumfield.events import RequestForwarded
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import RefusedError
from gypsumfield.gateway.attempt import NO_PATH_CODE
from gypsumfield.gateway.attempt import OpenAnswer
from gypsumfield.gateway.attempt import refusal_after_failure
from gypsumfield.gateway.attempt import SUCCESS_STATUSES
from gypsumfield.gateway.calls import TakeUp
from gypsumfield.gateway.host_updates import HostCard
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.model import CallKind
from gypsumfield.gateway.model import may_repeat
from gypsumfield.gateway.plain_calls import BufferedAnswer
from gypsumfield.gateway.roster import Roster
from gypsumfield.gateway.wire_format import WireFormat
from gypsumfield.held_memory import HeldPart
from gypsumfield.interfaces import EmitEvent
from gypsumfield.verdicts import RunVerdict

FORWARD_PREFIX = "/forward"
# Start of the host to which a request is forwarded; callers do not know it.
START_HEADER = "Forwarded-To-Start"
TIME_LEFT_HEADER = "Forwarded-Time-Left-Ms"
# Code with which the other host itself has refused the request.
REFUSAL_HEADER = "Forwarded-Refusal"
# Refusals of one host that say nothing about the others.
HOST_REFUSALS = frozenset(
    {NO_PATH_CODE, "host_stopping", "no_configuration", "other_start"}
)
# Other hosts are a few milliseconds away and accept at once.
CONNECT_TIMEOUT_MS = 150.0
MAX_FORWARD_ATTEMPTS = 4
ANSWER_LIMIT_BYTES = 8 * 1_048_576
HOP_UNREACHABLE_LIMIT_MS = 3_000.0


class ForwardDependencies(NamedTuple):
    """Dependencies of `Forwarder`.

    Attributes:
        wire: Reads and writes HTTP headers.
        roster: Other hosts.
        peer_port: Port on which hosts serve other hosts.
        clock: Monotonic clock.
        rng: Spreads requests over the other hosts.
        emit: Writes an event to the log.
    """

    wire: WireFormat
    roster: Roster
    peer_port: int
    clock: Clock
    rng: random.Random
    emit: EmitEvent


class ForwardedStream:
    """Stream of another host that is passed on as it arrives.

    Attributes:
        answer: Open answer of that host.
        headers: Headers of the answer for the caller.
    """

    def __init__(
        self,
        answer: OpenAnswer,
        log_broken: Callable[[Exception], None],
    ) -> None:
        self.answer = answer
        self.headers = answer.headers
        self._log_broken = log_broken

    def events(self) -> Iterator[bytes]:
        """Yield the stream's bytes, in complete events.

        Raises:
            BackendError: The answer was broken off, or has other bytes than events.
        """
        splitter = EventSplitter()
        while chunk := self.answer.exchange.read_chunk():
            pieces = splitter.feed(chunk)
            self.answer.exchange.record_held(HeldPart.EVENTS, splitter.buffered_bytes)
            if pieces:
                yield b"".join(piece.data for piece in pieces)
        if remainder := splitter.remainder():
            yield remainder

    def close(self) -> None:
        """Close the connection to the other host; it stops serving."""
        self.answer.exchange.close()

    def log_broken_stream(self, error: BackendError | RefusedError) -> None:
        """Log that the caller's stream was cut off before its last event."""
        self._log_broken(error)


class Forwarder:
    """Selects hosts that have a path, and sends them requests."""

    def __init__(self, deps: ForwardDependencies) -> None:
        self._deps = deps

    def forward(
        self, job: Job, take_up: TakeUp | None = None
    ) -> BufferedAnswer | ForwardedStream | None:
        """Send a request through other hosts, one after the other.

        Args:
            job: The request.
            take_up: Position from which a stream goes on, or None for a new one.

        Returns:
            The answer; None if no other host could take the request.

        Raises:
            RefusedError: The request may have run at another host.
        """
        failure: BackendError | None = None
        for card in self._hosts(job.service)[:MAX_FORWARD_ATTEMPTS]:
            if job.abort.reason or job.remaining_ms(self._deps.clock) <= 0.0:
                break
            try:
                answer = self._send(job, card, take_up)
            except BackendError as error:
                self._log(job, card, str(error))
                if error.verdict is RunVerdict.NOT_RUN:
                    continue
                failure = error.without_traceback()
                if not may_repeat(job.route):
                    break
                continue
            if answer is not None:
                return answer
        if failure is not None:
            is_late = job.remaining_ms(self._deps.clock) <= 0.0
            raise refusal_after_failure(failure, is_late)
        return None

    def resume(self, job: Job, last_event_id: str) -> ForwardedStream | None:
        """Let a stream go on through another host.

        Args:
            job: The call that receives the stream.
            last_event_id: Id of the last event that its caller has.

        Returns:
            The rest of the stream, or None if no other host goes on with it.
        """
        try:
            first_id = job.call.resumed_id or job.request_id
            answer = self.forward(job, TakeUp(last_event_id, first_id))
        except RefusedError:
            # The attempts are in the log.
            return None
        return answer if isinstance(answer, ForwardedStream) else None

    def _hosts(self, service: str) -> list[HostCard]:
        """Return the hosts to try, those of this zone first, else in random order."""
        roster = self._deps.roster
        cards = roster.cards_with_path(service)
        self._deps.rng.shuffle(cards)
        own_zone = roster.own_card.availability_zone
        return sorted(cards, key=lambda card: card.availability_zone != own_zone)

    def _send(
        self, job: Job, card: HostCard, take_up: TakeUp | None
    ) -> BufferedAnswer | ForwardedStream | None:
        remaining_ms = job.remaining_ms(self._deps.clock)
        sent_headers = self._deps.wire.forwarded_headers(job.headers, take_up)
        sent_headers["Host"] = job.call.host
        sent_headers[START_HEADER] = card.boot_id
        sent_headers[TIME_LEFT_HEADER] = str(max(1, int(remaining_ms)))
        request = OutgoingRequest(
            address=f"{card.ip}:{self._deps.peer_port}",
            method=job.method,
            target=FORWARD_PREFIX + job.target,
            headers=sent_headers,
            body=job.body,
            request_id=job.request_id,
            request_id_header=self._deps.wire.request_id_header,
            must_echo_id=False,
        )
        timeouts = ExchangeTimeouts(
            min(CONNECT_TIMEOUT_MS, remaining_ms),
            remaining_ms,
            remaining_ms,
            HOP_UNREACHABLE_LIMIT_MS,
        )
        exchange = Exchange(request, timeouts, job.abort, hold=job.hold)
        status = exchange.open(lambda: "")
        headers = exchange.header_items()
        values = {name.lower(): value for name, value in headers}
        refusal = values.get(REFUSAL_HEADER.lower(), "")
        if refusal in HOST_REFUSALS:
            exchange.close()
            self._log(job, card, refusal)
            return None
        if not exchange.has_end_marker:
            exchange.close()
            raise BackendError(
                "the host's answer has no end marker",
                RunVerdict.MAY_HAVE_RUN,
                "answer_truncated",
            )
        self._log(job, card, "")
        kept = [
            item
            for item in self._deps.wire.answer_headers(headers)
            if item[0].lower() not in (REFUSAL_HEADER.lower(), "date")
        ]
        if job.route.kind is CallKind.STREAM and status in SUCCESS_STATUSES:
            metadata = self._deps.wire.decode_answer(headers)
            return ForwardedStream(
                OpenAnswer(exchange, status, kept, metadata),
                lambda error: self._log(job, card, str(error)),
            )
        try:
            body = exchange.read_body(ANSWER_LIMIT_BYTES)
        finally:
            exchange.close()
        return BufferedAnswer(status, kept, body)

    def _log(self, job: Job, card: HostCard, reason: str) -> None:
        self._deps.emit(
            RequestForwarded(
                request_id=job.request_id,
                account=job.account_name,
                service=job.service,
                peer=card.host_id,
                remaining_ms=job.remaining_ms(self._deps.clock),
                reason=reason,
            )
        )
