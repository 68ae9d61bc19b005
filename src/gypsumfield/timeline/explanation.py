"""Explanation of one request as a short narrative."""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple
from typing import Union

import msgspec

from gypsumfield import events
from gypsumfield.timeline.filter import format_time
from gypsumfield.timeline.merge import TimedLine
from gypsumfield.timeline.text import printable

CONTEXT_BEFORE_MS = 10_000.0
CONTEXT_LIMIT = 200
STORY_LIMIT = 2_000
CONTEXT_SHOWN_LIMIT = 20

# Events that can explain what happened to requests they do not name.
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


class StoryEvent(NamedTuple):
    """One event of the story with its time and host."""

    time_ms: float
    host_id: str
    event: events.Event


class RequestStory(NamedTuple):
    """All that the logs tell about one request.

    Attributes:
        request_id: The request.
        own: Its own events, in order.
        context: Events of the same time that may explain them.
        left_out_count: Own events beyond `STORY_LIMIT`.
    """

    request_id: str
    own: list[StoryEvent]
    context: list[StoryEvent]
    left_out_count: int = 0


def collect_history(lines: Iterable[TimedLine], request_id: str) -> RequestStory:
    """Read the whole time line once and keep what concerns one request."""
    own: list[StoryEvent] = []
    recent: deque[StoryEvent] = deque(maxlen=CONTEXT_LIMIT)
    kept: deque[StoryEvent] = deque(maxlen=CONTEXT_LIMIT)
    left_out_count = 0
    for line in lines:
        if line.fields.request_id == request_id:
            known = _decode(line)
            if known is None:
                continue
            if len(own) >= STORY_LIMIT:
                left_out_count += 1
                continue
            own.append(known)
            kept.extend(recent)
            recent.clear()
        elif line.fields.event in _CONTEXT_TAGS:
            known = _decode(line)
            if known is not None:
                recent.append(known)
    context = [found for found in kept if _may_explain(found, own)]
    return RequestStory(request_id, own, context, left_out_count)


def explain_request(story: RequestStory) -> list[str]:
    """Return the narrative, the outcome first."""
    if not story.own:
        return [f"request {printable(story.request_id)}: no event in these logs"]
    first = story.own[0]
    lines = [
        f"request {printable(story.request_id)}: {_outcome(story)}",
        f"arrived {format_time(first.time_ms)} at {printable(first.host_id)}"
        + _subject(story),
        "",
    ]
    lines += [_timed_sentence(known, first.time_ms) for known in story.own]
    if story.left_out_count:
        lines.append(f"and {story.left_out_count} more events")
    if story.context:
        lines += ["", "meanwhile:"]
        shown = story.context[-CONTEXT_SHOWN_LIMIT:]
        lines += [_timed_sentence(known, first.time_ms) for known in shown]
    return lines


def tell_event(event: events.Event) -> str:
    """Return one event as part of a sentence."""
    return printable(_request_sentence(event) or _control_sentence(event))


def _request_sentence(event: events.Event) -> str:
    match event:
        case events.RequestAdmitted():
            return "admitted: key, rate and service are in order"
        case events.RequestQueued(queue_length=length):
            return f"queued, {length} waiting"
        case events.RequestRefused():
            return _refusal_sentence(event)
        case events.RequestSent(backend_server=server, attempt=attempt):
            return f"sent to {server}, attempt {attempt}"
        case events.FirstToken(elapsed_ms=elapsed_ms):
            return f"first token after {elapsed_ms:,.0f} ms"
        case events.StreamStalled(silent_ms=silent_ms, backend_server=server):
            return f"stalled: {_named(server)} silent for {silent_ms:,.0f} ms"
        case events.StreamResumed(after_sequence=sequence, backend_server=server):
            return f"resumed at {_named(server)} after token {sequence}"
        case events.AttemptFailed(attempt=attempt, verdict=verdict, reason=reason):
            at_stage = f"attempt {attempt} failed at stage {event.stage}"
            return f"{at_stage}, {_spaced(verdict)}: {reason}"
        case events.RequestRetried(backend_server=server, attempt=attempt):
            return f"tried again at {_named(server)}, attempt {attempt}"
        case events.RequestCompleted(elapsed_ms=elapsed_ms, token_count=count):
            tokens = f", {count} tokens" if count else ""
            return f"answered whole after {elapsed_ms:,.0f} ms{tokens}"
        case events.RequestFailed(code=code, verdict=verdict, reason=reason):
            return f"broke off: {_spaced(verdict)}, {reason} ({code})"
        case events.CallerGone():
            return "the caller left before the end"
        case events.GenerationCancelled(backend_server=server):
            return f"the generation was cancelled at {_named(server)}"
        case _:
            return ""


def _refusal_sentence(event: events.RequestRefused) -> str:
    sentence = f"refused: {_spaced(event.verdict)}, {event.reason}"
    sentence += f" ({event.code}, status {event.status})"
    if event.retry_after_ms is not None:
        sentence += f", told to come back in {event.retry_after_ms:,.0f} ms"
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
            return f"published value {key} refused: {reason}"
        case events.PlatformUnreachable(reason=reason):
            return f"the platform did not answer: {reason}"
        case events.ZoneOut(availability_zone=zone):
            return f"availability zone {zone} taken out"
        case events.ZoneBack(availability_zone=zone):
            return f"availability zone {zone} back"
        case events.HostPaused(pause_ms=pause_ms):
            return f"the process had been paused for {pause_ms:,.0f} ms"
        case events.HostDraining(in_flight_count=count):
            return f"the host drains, {count} requests in flight"
        case _:
            return str(type(event).__struct_config__.tag).replace("_", " ")


_CONTEXT_TAGS = frozenset(
    str(context_type.__struct_config__.tag) for context_type in CONTEXT_TYPES
)


def _decode(line: TimedLine) -> StoryEvent | None:
    try:
        event = _decoder.decode(line.raw)
    except msgspec.MsgspecError:
        return None
    return StoryEvent(line.time_ms, line.fields.host_id, event)


def _may_explain(found: StoryEvent, own: list[StoryEvent]) -> bool:
    if not own or found.time_ms < own[0].time_ms - CONTEXT_BEFORE_MS:
        return False
    servers = {known.event.backend_server for known in own} - {""}
    if found.event.backend_server:
        return found.event.backend_server in servers
    return found.host_id in {known.host_id for known in own}


def _outcome(story: RequestStory) -> str:
    for known in reversed(story.own):
        if isinstance(known.event, FINAL_TYPES):
            return tell_event(known.event)
    return f"no end in these logs; last: {tell_event(story.own[-1].event)}"


def _subject(story: RequestStory) -> str:
    account = next(
        (known.event.account for known in story.own if known.event.account), ""
    )
    service = next(
        (known.event.service for known in story.own if known.event.service), ""
    )
    subject = f", from account {account}" if account else ""
    subject += f", for service {service}" if service else ""
    return printable(subject)


def _timed_sentence(known: StoryEvent, start_ms: float) -> str:
    elapsed = f"{known.time_ms - start_ms:+,.0f} ms"
    return f"{elapsed:>12}  {printable(known.host_id)}: {tell_event(known.event)}"


def _named(server: str) -> str:
    return server or "the backend server"


def _spaced(verdict: str) -> str:
    return verdict.replace("-", " ")
