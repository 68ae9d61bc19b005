"""Events that an entry host writes to its log.

The tag of an event type is its ``event`` field in the log. A field that has its
default value is left out.
"""

from typing import ClassVar

import msgspec


class Event(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag_field="event"
):
    """Base class of all events.

    Attributes:
        request_id: Request that the event belongs to.
        account: Client account of the request.
        service: Service of the request.
        backend_server: Host id of the backend server.
        availability_zone: Zone that the event is about, if it is not the zone of
            this host.

    ``IS_HOT`` marks a frequent type of which only a sample may be logged. Refusals
    and faults are always logged.
    """

    IS_HOT: ClassVar[bool] = False

    request_id: str = ""
    account: str = ""
    service: str = ""
    backend_server: str = ""
    availability_zone: str = ""


class RequestAdmitted(Event, frozen=True, kw_only=True, tag="request_admitted"):
    """A request passed the checks of its API key, rate limit and service."""


class RequestQueued(Event, frozen=True, kw_only=True, tag="request_queued"):
    """A request waits in the queue until a backend server has capacity for it."""

    queue_length: int


class RequestRefused(Event, frozen=True, kw_only=True, tag="request_refused"):
    """A request was answered with an error before any part of an answer was sent."""

    status: int
    code: str
    verdict: str
    reason: str
    retry_after_ms: float | None = None


class RequestSent(Event, frozen=True, kw_only=True, tag="request_sent"):
    """A request was sent to a backend server."""

    attempt: int


class FirstToken(Event, frozen=True, kw_only=True, tag="first_token"):
    """The first token of an answer was sent to the caller."""

    elapsed_ms: float


class StreamStalled(Event, frozen=True, kw_only=True, tag="stream_stalled"):
    """A stream delivered no token for longer than its profile allows."""

    silent_ms: float


class StreamResumed(Event, frozen=True, kw_only=True, tag="stream_resumed"):
    """A stream continues the same generation after a given sequence number.

    ``begun_version`` and ``software_version`` are the versions of the server's software
    at which it began and goes on, or empty if unknown.
    """

    after_sequence: int
    begun_version: str = ""
    software_version: str = ""


class StreamTakenUp(Event, frozen=True, kw_only=True, tag="stream_taken_up"):
    """A caller takes up a broken stream again.

    ``resumed_id`` is the attempt that brought its first event, ``begun_version`` the
    software version at which it began, or empty. ``source`` is where this host has
    learnt that: here, from another host, or nowhere.
    """

    resumed_id: str
    begun_version: str
    source: str


class PathLost(Event, frozen=True, kw_only=True, tag="path_lost"):
    """This host reaches no server of a service; its requests go through other hosts."""


class RequestForwarded(Event, frozen=True, kw_only=True, tag="request_forwarded"):
    """A request was sent through another host.

    ``reason`` says why that host did not serve it; empty if it did.
    """

    peer: str
    remaining_ms: float
    reason: str


class PromptCrashed(Event, frozen=True, kw_only=True, tag="prompt_crashed"):
    """An engine has crashed before the first token of a prompt.

    ``source`` is the engine, or the host that saw it.
    """

    paragraph_count: int
    source: str


class AttemptFailed(Event, frozen=True, kw_only=True, tag="attempt_failed"):
    """One attempt to run a request on a backend server failed.

    ``event_count`` counts the events of a stream that its caller had received by then,
    ``prompt_parts`` are the ids of the parts that other requests may share, and
    ``content_id`` is the same in each repeat of a request.
    """

    attempt: int
    stage: str
    verdict: str
    reason: str
    event_count: int = 0
    prompt_parts: tuple[str, ...] = ()
    content_id: str = ""


class RequestRetried(Event, frozen=True, kw_only=True, tag="request_retried"):
    """A request is retried on another backend server."""

    attempt: int


class HedgeSent(Event, frozen=True, kw_only=True, tag="hedge_sent"):
    """A call without an answer after the hedge delay is sent to a second server."""

    first_server: str
    delay_ms: float


class HedgeEnded(Event, frozen=True, kw_only=True, tag="hedge_ended"):
    """A hedged call has ended; ``winner`` is ``first``, ``hedge`` or ``none``.

    ``backend_server`` is the server of the winner.
    """

    winner: str
    elapsed_ms: float


class RequestCompleted(Event, frozen=True, kw_only=True, tag="request_completed"):
    """A caller received its complete answer, with the status of the server.

    ``max_pause_ms`` is the longest gap that the route allows, or 0.
    """

    elapsed_ms: float
    token_count: int = 0
    longest_gap_ms: float = 0.0
    status: int = 200
    max_pause_ms: float = 0.0


class RequestFailed(Event, frozen=True, kw_only=True, tag="request_failed"):
    """An answer that had begun ended with an error."""

    code: str
    verdict: str
    reason: str


class CallerGone(Event, frozen=True, kw_only=True, tag="caller_gone"):
    """The caller disconnected before its answer was complete."""


class GenerationCancelled(Event, frozen=True, kw_only=True, tag="generation_cancelled"):
    """An engine was asked to stop a generation that no caller waits for."""

    generation_id: str


class EnginePreempted(Event, frozen=True, kw_only=True, tag="engine_preempted"):
    """An engine preempted generations since its previous load report."""

    preemption_count: int


class SlotGranted(Event, frozen=True, kw_only=True, tag="slot_granted"):
    """The owner of a backend server granted slots of it to an entry host."""

    holder: str
    slot_count: int


class SlotReturned(Event, frozen=True, kw_only=True, tag="slot_returned"):
    """An entry host returned slots of a backend server to the owner."""

    holder: str
    slot_count: int


class ShareMoved(Event, frozen=True, kw_only=True, tag="share_moved"):
    """Rate tokens of an account were transferred between entry hosts."""

    sender: str
    receiver: str
    token_count: float


class OwnerChanged(Event, frozen=True, kw_only=True, tag="owner_changed"):
    """The ownership of a backend server passed to another entry host."""

    owner: str


class BackendTurnedCold(Event, frozen=True, kw_only=True, tag="backend_turned_cold"):
    """A backend server is cold again and accepts only little load."""

    reason: str


class BackendHealthChanged(
    Event, frozen=True, kw_only=True, tag="backend_health_changed"
):
    """This host changed its health record of a backend server."""

    health: str
    reason: str


class ConfigurationInForce(
    Event, frozen=True, kw_only=True, tag="configuration_in_force"
):
    """A configuration revision took effect on this host."""

    revision: int
    source: str
    changed_count: int


class ConfigurationRejected(
    Event, frozen=True, kw_only=True, tag="configuration_rejected"
):
    """A published value is invalid; the last valid value stays in force."""

    key: str
    reason: str


class MemberRejected(Event, frozen=True, kw_only=True, tag="member_rejected"):
    """An announced host cannot be used; the others are.

    Its entry in the platform's member list is invalid, or its control address or key.

    Attributes:
        member: Id of that host, where it can be read.
    """

    member: str
    reason: str


class PlatformUnreachable(Event, frozen=True, kw_only=True, tag="platform_unreachable"):
    """The service of the platform did not answer."""

    reason: str


class ZoneOut(Event, frozen=True, kw_only=True, tag="zone_out"):
    """An availability zone was taken out and receives no new requests."""


class ZoneBack(Event, frozen=True, kw_only=True, tag="zone_back"):
    """An availability zone receives new requests again."""


class HostPaused(Event, frozen=True, kw_only=True, tag="host_paused"):
    """This process detected that it had been paused."""

    pause_ms: float


class HostStarted(Event, frozen=True, kw_only=True, tag="host_started"):
    """This entry host started to serve requests."""

    address: str


class HostDraining(Event, frozen=True, kw_only=True, tag="host_draining"):
    """This entry host started to drain and accepts no new requests."""

    in_flight_count: int


class HostDrained(Event, frozen=True, kw_only=True, tag="host_drained"):
    """This entry host has stopped. The stop was clean if no answer was cut off."""

    cut_count: int


class InternalFault(Event, frozen=True, kw_only=True, tag="internal_fault"):
    """The program raised an unexpected exception."""

    reason: str
    trace: str


class LoopFailed(Event, frozen=True, kw_only=True, tag="loop_failed"):
    """A round of one of the host's loops raised an unexpected exception.

    The loop goes on. ``failure_count`` counts its failed rounds since its start.
    """

    loop: str
    reason: str
    trace: str
    failure_count: int


class MessageSent(Event, frozen=True, kw_only=True, tag="message_sent"):
    """A control message was sent to a peer."""

    IS_HOT: ClassVar[bool] = True

    message_id: str
    receiver: str
    kind: str


class MessageReceived(Event, frozen=True, kw_only=True, tag="message_received"):
    """A control message was received from a peer."""

    IS_HOT: ClassVar[bool] = True

    message_id: str
    sender: str
    kind: str


class ControlMessageRefused(
    Event, frozen=True, kw_only=True, tag="control_message_refused"
):
    """A frame on the control socket was dropped without being handled."""

    reason: str


class ControlHandlerFailed(
    Event, frozen=True, kw_only=True, tag="control_handler_failed"
):
    """A message handler or periodic task of the control loop raised an error."""

    handler: str
    reason: str


class OrderGiven(Event, frozen=True, kw_only=True, tag="order_given"):
    """An order was sent to an engine."""

    kind: str
    name: str
    version: str
    fencing_number: int
    is_accepted: bool


class OrderFailed(Event, frozen=True, kw_only=True, tag="order_failed"):
    """An order or an inventory query failed. It will be retried."""

    reason: str


class LoopHeld(Event, frozen=True, kw_only=True, tag="loop_held"):
    """One greenlet ran for long without giving way; all other work waited for it."""

    held_ms: float
    holder: str
