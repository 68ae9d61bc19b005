"""Catalogue of what an entry host decides and sees, as typed events.

The tag of a type is its ``event`` field in the log. Empty fields are left out.
"""

from typing import ClassVar

import msgspec


class Event(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag_field="event"
):
    """Base of all events.

    Attributes:
        request_id: Request it belongs to.
        account: Client account of the request.
        service: Service of the request.
        backend_server: Host id of the backend server.
        availability_zone: Zone it concerns, where not the host's own.

    ``IS_HOT`` marks a type that may be sampled. Refusals and faults are not.
    """

    IS_HOT: ClassVar[bool] = False

    request_id: str = ""
    account: str = ""
    service: str = ""
    backend_server: str = ""
    availability_zone: str = ""


class RequestAdmitted(Event, frozen=True, kw_only=True, tag="request_admitted"):
    """A request passed its key, rate and service checks."""


class RequestQueued(Event, frozen=True, kw_only=True, tag="request_queued"):
    """A request waits for a backend server that bears it."""

    queue_length: int


class RequestRefused(Event, frozen=True, kw_only=True, tag="request_refused"):
    """A request got its final answer without being served."""

    status: int
    code: str
    verdict: str
    reason: str
    retry_after_ms: float | None = None


class RequestSent(Event, frozen=True, kw_only=True, tag="request_sent"):
    """A request was sent to a backend server."""

    attempt: int


class FirstToken(Event, frozen=True, kw_only=True, tag="first_token"):
    """The first token left for the caller."""

    elapsed_ms: float


class StreamStalled(Event, frozen=True, kw_only=True, tag="stream_stalled"):
    """A stream was silent for longer than its profile allows."""

    silent_ms: float


class StreamResumed(Event, frozen=True, kw_only=True, tag="stream_resumed"):
    """A stream goes on from the same generation after an offset."""

    after_sequence: int


class AttemptFailed(Event, frozen=True, kw_only=True, tag="attempt_failed"):
    """One attempt against a backend server failed."""

    attempt: int
    stage: str
    verdict: str
    reason: str


class RequestRetried(Event, frozen=True, kw_only=True, tag="request_retried"):
    """A request is sent again, to another backend server."""

    attempt: int


class RequestCompleted(Event, frozen=True, kw_only=True, tag="request_completed"):
    """A caller got its whole answer, with the server's status."""

    elapsed_ms: float
    token_count: int = 0
    longest_gap_ms: float = 0.0
    status: int = 200


class RequestFailed(Event, frozen=True, kw_only=True, tag="request_failed"):
    """A caller's answer ended with an error after it had begun."""

    code: str
    verdict: str
    reason: str


class CallerGone(Event, frozen=True, kw_only=True, tag="caller_gone"):
    """The caller left before its answer was complete."""


class GenerationCancelled(Event, frozen=True, kw_only=True, tag="generation_cancelled"):
    """An engine was told to stop a generation that nobody waits for."""

    generation_id: str


class EnginePreempted(Event, frozen=True, kw_only=True, tag="engine_preempted"):
    """An engine reported preemptions since its last report."""

    preemption_count: int


class SlotGranted(Event, frozen=True, kw_only=True, tag="slot_granted"):
    """An owner granted slots of a backend server."""

    holder: str
    slot_count: int


class SlotReturned(Event, frozen=True, kw_only=True, tag="slot_returned"):
    """A holder gave slots of a backend server back."""

    holder: str
    slot_count: int


class ShareMoved(Event, frozen=True, kw_only=True, tag="share_moved"):
    """Rate tokens of an account moved between entry hosts."""

    sender: str
    receiver: str
    token_count: float


class OwnerChanged(Event, frozen=True, kw_only=True, tag="owner_changed"):
    """Another entry host owns a backend server now."""

    owner: str


class BackendTurnedCold(Event, frozen=True, kw_only=True, tag="backend_turned_cold"):
    """A backend server bears only a little load again."""

    reason: str


class BackendHealthChanged(
    Event, frozen=True, kw_only=True, tag="backend_health_changed"
):
    """This host trusts a backend server more or less than before."""

    health: str
    reason: str


class ConfigurationInForce(
    Event, frozen=True, kw_only=True, tag="configuration_in_force"
):
    """A revision is in force on this host."""

    revision: int
    source: str
    changed_count: int


class ConfigurationRejected(
    Event, frozen=True, kw_only=True, tag="configuration_rejected"
):
    """A published value does not fit and the last good one stays."""

    key: str
    reason: str


class PlatformUnreachable(Event, frozen=True, kw_only=True, tag="platform_unreachable"):
    """The platform's service did not answer."""

    reason: str


class ZoneOut(Event, frozen=True, kw_only=True, tag="zone_out"):
    """An availability zone gets no new work."""


class ZoneBack(Event, frozen=True, kw_only=True, tag="zone_back"):
    """An availability zone gets new work again."""


class HostPaused(Event, frozen=True, kw_only=True, tag="host_paused"):
    """This process found that it had been paused."""

    pause_ms: float


class HostStarted(Event, frozen=True, kw_only=True, tag="host_started"):
    """This entry host serves."""

    address: str


class HostDraining(Event, frozen=True, kw_only=True, tag="host_draining"):
    """This entry host takes no new work."""

    in_flight_count: int


class HostDrained(Event, frozen=True, kw_only=True, tag="host_drained"):
    """This entry host has ended; clean when no answer was cut."""

    cut_count: int


class InternalFault(Event, frozen=True, kw_only=True, tag="internal_fault"):
    """The program failed in a way it does not foresee."""

    reason: str
    trace: str


class MessageSent(Event, frozen=True, kw_only=True, tag="message_sent"):
    """A control message left for a peer."""

    IS_HOT: ClassVar[bool] = True

    message_id: str
    receiver: str
    kind: str


class MessageReceived(Event, frozen=True, kw_only=True, tag="message_received"):
    """A control message arrived from a peer."""

    IS_HOT: ClassVar[bool] = True

    message_id: str
    sender: str
    kind: str


class ControlMessageRefused(
    Event, frozen=True, kw_only=True, tag="control_message_refused"
):
    """A frame on the control socket was dropped unread."""

    reason: str


class ControlHandlerFailed(
    Event, frozen=True, kw_only=True, tag="control_handler_failed"
):
    """A handler or tick of the control loop raised an error."""

    handler: str
    reason: str


class OrderGiven(Event, frozen=True, kw_only=True, tag="order_given"):
    """An engine was given an order."""

    kind: str
    name: str
    version: str
    fencing_number: int
    is_accepted: bool


class OrderFailed(Event, frozen=True, kw_only=True, tag="order_failed"):
    """An order or a look at an inventory did not succeed; it is tried again."""

    reason: str
