"""Explains in sentences what happened to one request."""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple
from typing import Union

import msgspec

from gypsumfield import events
from gypsumfield.timeline.filter import format_time
from gypsumfield.timeline.merge import TimedLine
from gypsumfield.timeline.text import make_printable

CONTEXT_BEFORE_MS = 10_000.0
CONTEXT_LIMIT = 200
HISTORY_LIMIT = 2_000
CONTEXT_PRINTED_LIMIT = 20

# Events that can explain what happened to requests that they do not name.
CONTEXT_TYPES = (
    events.BackendTurnedCold,
    events.ConfigurationInForce,
    events.ConfigurationRejected,
    events.EnginePreempted,
    events.HostDraining,
    events.HostPaused,
    events.OwnerChanged,
    events.PlatformUnreachable,
    events.ZoneBack,
    events.ZoneOut,
)
FINAL_TYPES = (
    events.RequestRefused,
    events.RequestCompleted,
    events.RequestFailed,
    events.CallerGone,
)

_decoder = msgspec.json.Decoder(
    Union[tuple(events.Event.__subclasses__())]  # type: ignore[arg-type]  # noqa: UP007
)


class HistoryEntry(NamedTuple):
    """One event with its corrected time and host."""

    time_ms: float
    host_id: str
    event: events.Event


class RequestHistory(NamedTuple):
    """The events of the logs that concern one request.

    Attributes:
        request_id: Id of the request.
        request_events: Events that name the request, in order of time.
        context_events: Other events around that time that may explain them.
        omitted_count: Number of events of the request beyond `HISTORY_LIMIT`.
    """

    request_id: str
    request_events: list[HistoryEntry]
    context_events: list[HistoryEntry]
    omitted_count: int = 0


def collect_history(lines: Iterable[TimedLine], request_id: str) -> RequestHistory:
    """Read the whole timeline once and collect the events of one request."""
    request_events: list[HistoryEntry] = []
    recent: deque[HistoryEntry] = deque(maxlen=CONTEXT_LIMIT)
    context_candidates: deque[HistoryEntry] = deque(maxlen=CONTEXT_LIMIT)
    omitted_count = 0
    for line in lines:
        if line.fields.request_id == request_id:
            entry = _decode(line)
            if entry is None:
                continue
            if len(request_events) >= HISTORY_LIMIT:
                omitted_count += 1
                continue
            request_events.append(entry)
            context_candidates.extend(recent)
            recent.clear()
        elif line.fields.event in _CONTEXT_TAGS:
            entry = _decode(line)
            if entry is not None:
                recent.append(entry)
    context_events = [
        candidate
        for candidate in context_candidates
        if _may_explain(candidate, request_events)
    ]
    return RequestHistory(request_id, request_events, context_events, omitted_count)


def explain_request(history: RequestHistory) -> list[str]:
    """Return the explanation as lines of text, with the outcome in the first line."""
    if not history.request_events:
        return [f"request {make_printable(history.request_id)}: no event in these logs"]
    first = history.request_events[0]
    lines = [
        f"request {make_printable(history.request_id)}: {_outcome_sentence(history)}",
        f"arrived {format_time(first.time_ms)} at {make_printable(first.host_id)}"
        + _sender_text(history),
        "",
    ]
    lines += [_timed_sentence(entry, first.time_ms) for entry in history.request_events]
    if history.omitted_count:
        lines.append(f"and {history.omitted_count} more events")
    if history.context_events:
        lines += ["", "meanwhile:"]
        printed_events = history.context_events[-CONTEXT_PRINTED_LIMIT:]
        lines += [_timed_sentence(entry, first.time_ms) for entry in printed_events]
    return lines


def describe_event(event: events.Event) -> str:
    """Return one event as part of a sentence, without control characters."""
    return make_printable(_request_sentence(event) or _control_sentence(event))


def _request_sentence(event: events.Event) -> str:
    match event:
        case events.RequestAdmitted():
            return "admitted: passed the checks of key, rate and service"
        case events.RequestQueued(queue_length=length):
            return f"queued, {length} waiting"
        case events.RequestRefused():
            return _refusal_sentence(event)
        case events.RequestSent(backend_server=server, attempt=attempt):
            return f"sent to {server}, attempt {attempt}"
        case events.FirstToken(elapsed_ms=elapsed_ms):
            return f"first token after {elapsed_ms:,.0f} ms"
        case events.StreamStalled(silent_ms=silent_ms, backend_server=server):
            return (
                f"stalled: {_server_text(server)} sent nothing for {silent_ms:,.0f} ms"
            )
        case events.StreamResumed(after_sequence=sequence, backend_server=server):
            return f"resumed at {_server_text(server)} after token {sequence}"
        case events.AttemptFailed(attempt=attempt, verdict=verdict, reason=reason):
            failure = f"attempt {attempt} failed at stage {event.stage}"
            return f"{failure}, {_verdict_text(verdict)}: {reason}"
        case events.RequestRetried(backend_server=server, attempt=attempt):
            return f"retried at {_server_text(server)}, attempt {attempt}"
        case events.HedgeSent(backend_server=server, delay_ms=delay_ms):
            sent = f"also sent to {_server_text(server)}"
            return f"{sent}: no answer after {delay_ms:,.0f} ms"
        case events.HedgeEnded(winner=winner, elapsed_ms=elapsed_ms):
            return f"hedge ended after {elapsed_ms:,.0f} ms, winner: {winner}"
        case events.RequestCompleted(elapsed_ms=elapsed_ms, token_count=count):
            tokens = f", {count} tokens" if count else ""
            return f"complete answer after {elapsed_ms:,.0f} ms{tokens}"
        case events.RequestFailed(code=code, verdict=verdict, reason=reason):
            return (
                f"failed after the answer began: {_verdict_text(verdict)}, "
                f"{reason} ({code})"
            )
        case events.CallerGone():
            return "the caller disconnected before the answer was complete"
        case events.GenerationCancelled(backend_server=server):
            return f"the generation was cancelled at {_server_text(server)}"
        case _:
            return ""


def _refusal_sentence(event: events.RequestRefused) -> str:
    sentence = f"refused: {_verdict_text(event.verdict)}, {event.reason}"
    sentence += f" ({event.code}, status {event.status})"
    if event.retry_after_ms is not None:
        sentence += f", retry after {event.retry_after_ms:,.0f} ms"
    return sentence


def _control_sentence(event: events.Event) -> str:
    match event:
        case events.BackendTurnedCold(backend_server=server, reason=reason):
            return f"{server} turned cold: {reason}"
        case events.EnginePreempted(backend_server=server, preemption_count=count):
            return f"{server} preempted {count} generations"
        case events.OwnerChanged(backend_server=server, owner=owner):
            return f"{owner} became owner of {server}"
        case events.SlotGranted(holder=holder, backend_server=server):
            return f"{event.slot_count} slots of {server} granted to {holder}"
        case events.SlotReturned(holder=holder, backend_server=server):
            return f"{event.slot_count} slots of {server} returned by {holder}"
        case events.ShareMoved(sender=sender, receiver=receiver, token_count=count):
            return f"{count:g} rate tokens moved from {sender} to {receiver}"
        case events.ConfigurationInForce(revision=revision, source=source):
            return f"configuration {revision} in force, from {source}"
        case events.ConfigurationRejected(key=key, reason=reason):
            return f"published value {key} rejected: {reason}"
        case events.PlatformUnreachable(reason=reason):
            return f"the platform did not answer: {reason}"
        case events.ZoneOut(availability_zone=zone):
            return f"availability zone {zone} taken out of service"
        case events.ZoneBack(availability_zone=zone):
            return f"availability zone {zone} back in service"
        case events.HostPaused(pause_ms=pause_ms):
            return f"the process was paused for {pause_ms:,.0f} ms"
        case events.HostDraining(in_flight_count=count):
            return f"the host is draining, {count} requests in flight"
        case _:
            return str(type(event).__struct_config__.tag).replace("_", " ")


_CONTEXT_TAGS = frozenset(
    str(context_type.__struct_config__.tag) for context_type in CONTEXT_TYPES
)


def _decode(line: TimedLine) -> HistoryEntry | None:
    try:
        event = _decoder.decode(line.raw)
    except msgspec.MsgspecError:
        return None
    return HistoryEntry(line.time_ms, line.fields.host_id, event)


def _may_explain(candidate: HistoryEntry, request_events: list[HistoryEntry]) -> bool:
    if (
        not request_events
        or candidate.time_ms < request_events[0].time_ms - CONTEXT_BEFORE_MS
    ):
        return False
    servers = {entry.event.backend_server for entry in request_events} - {""}
    if candidate.event.backend_server:
        return candidate.event.backend_server in servers
    return candidate.host_id in {entry.host_id for entry in request_events}


def _outcome_sentence(history: RequestHistory) -> str:
    for entry in reversed(history.request_events):
        if isinstance(entry.event, FINAL_TYPES):
            return describe_event(entry.event)
    return (
        "no final event in these logs; last event: "
        f"{describe_event(history.request_events[-1].event)}"
    )


def _sender_text(history: RequestHistory) -> str:
    account = next(
        (
            entry.event.account
            for entry in history.request_events
            if entry.event.account
        ),
        "",
    )
    service = next(
        (
            entry.event.service
            for entry in history.request_events
            if entry.event.service
        ),
        "",
    )
    sender_text = f", from account {account}" if account else ""
    sender_text += f", for service {service}" if service else ""
    return make_printable(sender_text)


def _timed_sentence(entry: HistoryEntry, start_ms: float) -> str:
    elapsed = f"{entry.time_ms - start_ms:+,.0f} ms"
    return (
        f"{elapsed:>12}  {make_printable(entry.host_id)}: {describe_event(entry.event)}"
    )


def _server_text(server: str) -> str:
    return server or "the backend server"


def _verdict_text(verdict: str) -> str:
    return verdict.replace("-", " ")
