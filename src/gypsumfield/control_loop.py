"""Control loop of an entry host: messages to peers and periodic work."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar

import gevent
from gevent.event import AsyncResult
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from gypsumfield import events
from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.envelopes import decode_body
from gypsumfield.envelopes import decode_envelope
from gypsumfield.envelopes import encode_message
from gypsumfield.envelopes import Envelope
from gypsumfield.exceptions import InvalidDataError
from gypsumfield.interfaces import EmitEvent
from gypsumfield.messages import ControlMessage

PAUSE_CHECK_INTERVAL_MS = 100.0

MessageT = TypeVar("MessageT", bound=ControlMessage)
Handler = Callable[[str, Any], ControlMessage | None]
TimeHandler = Callable[[float], None]


class PeerUnavailable(NamedTuple):
    """Reason for which a request to a peer has no usable answer."""

    host_id: str
    reason: str


class ControlTraffic(NamedTuple):
    """Messages and bytes sent and received by a control loop since its creation.

    Attributes:
        sent_count: Frames accepted by the transport.
        sent_bytes: Total length of these frames.
        received_count: Frames received, including refused ones.
        received_bytes: Total length of these frames.
        refused_count: Frames that could not be decoded or whose sender was not
            authentic.
    """

    sent_count: int
    sent_bytes: int
    received_count: int
    received_bytes: int
    refused_count: int


class Transport(Protocol):
    """Interface of `gypsumfield.adapters.peers.PeerTransport` that the loop uses."""

    def start(self, receive: Callable[[bytes, str], None]) -> None:
        """Call ``receive`` with each frame and the public key of its sender."""

    def send(self, host_id: str, frame: bytes) -> bool:
        """Queue a frame without blocking; return False for an unknown host."""

    def is_peer_key(self, host_id: str, public_key: str) -> bool:
        """Return whether the public key is valid for frames from the host."""

    def stop(self) -> None:
        """Close all sockets."""


class ControlLoop:
    """Sends typed messages, runs handlers and ticks, and detects process pauses.

    Handlers run one after the other in the order of arrival and must not
    block. A message that a handler returns is sent as the answer. If a handler
    raises, the error is logged and the loop continues.
    """

    def __init__(
        self,
        host_id: str,
        boot_id: str,
        transport: Transport,
        clock: Clock,
        emit: EmitEvent,
        lease_ms: float,
    ) -> None:
        """Create a loop; `start` runs it.

        Args:
            host_id: Name of this host.
            boot_id: Unique id of this process start.
            transport: Sends and receives the frames.
            clock: Monotonic clock by which pauses are detected.
            emit: Writes an event to the log.
            lease_ms: Shortest lease in use; a longer pause is reported.
        """
        self.host_id = host_id
        self.boot_id = boot_id
        self._transport = transport
        self._clock = clock
        self._emit = emit
        self._lease_ms = lease_ms
        self._handlers: dict[type[ControlMessage], list[Handler]] = {}
        self._ticks: list[tuple[float, TimeHandler]] = []
        self._pause_handlers: list[TimeHandler] = []
        self._greenlets: list[gevent.Greenlet] = []
        self._pending_requests: dict[int, AsyncResult] = {}
        self._boot_ids: dict[str, str] = {}
        self._last_message_id = 0
        self._last_active_ms = clock.monotonic_ms()
        self._traffic = ControlTraffic(0, 0, 0, 0, 0)

    @property
    def traffic(self) -> ControlTraffic:
        """Messages and bytes sent and received so far."""
        return self._traffic

    def now_ms(self) -> float:
        """Return the monotonic time in milliseconds."""
        return self._clock.monotonic_ms()

    def register(self, message_type: type[MessageT], handler: Handler) -> None:
        """Call ``handler(sender_host_id, message)`` for each message of a type.

        If several handlers are registered for a type, all of them are called,
        in the order of their registration.
        """
        self._handlers.setdefault(message_type, []).append(handler)

    def add_tick(self, interval_ms: float, function: TimeHandler) -> None:
        """Call ``function(now_ms)`` every ``interval_ms`` while running."""
        self._ticks.append((interval_ms, function))
        if self._greenlets:
            self._greenlets.append(gevent.spawn(self._run_tick, interval_ms, function))

    def on_pause(self, handler: TimeHandler) -> None:
        """Call ``handler(pause_ms)`` when this process continues after a pause."""
        self._pause_handlers.append(handler)

    def boot_id_of(self, host_id: str) -> str:
        """Return the boot id of a host's latest message; empty if there was none."""
        return self._boot_ids.get(host_id, "")

    def start(self) -> None:
        """Start receiving messages and running ticks."""
        self._last_active_ms = self._clock.monotonic_ms()
        self._transport.start(self._receive)
        ticks = [(PAUSE_CHECK_INTERVAL_MS, self._ignore_tick), *self._ticks]
        self._greenlets = [gevent.spawn(self._run_tick, *tick) for tick in ticks]

    def stop(self) -> None:
        """Stop all ticks and close the sockets."""
        greenlets, self._greenlets = self._greenlets, []
        gevent.killall(greenlets)
        self._transport.stop()
        for pending in list(self._pending_requests.values()):
            pending.set(Failure(PeerUnavailable("", "this host is stopping")))

    def check_pause(self) -> float:
        """Return the length in ms of a pause that has just ended, 0 if there was none.

        Call it right before an action that depends on an earlier decision, which
        a pause may have made invalid.
        """
        now_ms = self._clock.monotonic_ms()
        elapsed_ms = now_ms - self._last_active_ms
        self._last_active_ms = now_ms
        if elapsed_ms <= self._lease_ms:
            return 0.0
        self._emit(events.HostPaused(pause_ms=elapsed_ms))
        for handler in self._pause_handlers:
            self._call_handler(handler, elapsed_ms)
        return elapsed_ms

    def send(self, host_id: str, message: ControlMessage) -> bool:
        """Send a message; return whether the host is known, not whether it arrived."""
        return self._send(host_id, message, reply_to=0) > 0

    def request(
        self,
        host_id: str,
        message: ControlMessage,
        reply_type: type[MessageT],
        timeout_ms: float,
    ) -> Result[MessageT, PeerUnavailable]:
        """Send a message and wait for its answer, at most ``timeout_ms``.

        Returns:
            The answer, or a failure when the host is unknown, the timeout has
            expired or the answer has another type.
        """
        message_id = self._send(host_id, message, reply_to=0)
        if message_id == 0:
            return Failure(PeerUnavailable(host_id, "unknown host"))
        pending = self._pending_requests[message_id] = AsyncResult()
        try:
            answer = pending.get(timeout=timeout_ms / MS_PER_S)
        except gevent.Timeout:
            return Failure(
                PeerUnavailable(host_id, f"no answer within {timeout_ms:g} ms")
            )
        finally:
            del self._pending_requests[message_id]
        if isinstance(answer, reply_type):
            return Success(answer)
        if isinstance(answer, Failure):
            return answer
        kind = type(answer).__name__
        return Failure(PeerUnavailable(host_id, f"unexpected answer {kind}"))

    def _send(self, host_id: str, message: ControlMessage, reply_to: int) -> int:
        self.check_pause()
        self._last_message_id += 1
        message_id = self._last_message_id
        frame = encode_message(
            self.host_id, self.boot_id, message_id, reply_to, message
        )
        if not self._transport.send(host_id, frame):
            return 0
        self._traffic = self._traffic._replace(
            sent_count=self._traffic.sent_count + 1,
            sent_bytes=self._traffic.sent_bytes + len(frame),
        )
        self._emit(
            events.MessageSent(
                message_id=f"{self.boot_id}-{message_id}",
                receiver=host_id,
                kind=type(message).__name__,
            )
        )
        return message_id

    def _receive(self, frame: bytes, public_key: str) -> None:
        self.check_pause()
        self._traffic = self._traffic._replace(
            received_count=self._traffic.received_count + 1,
            received_bytes=self._traffic.received_bytes + len(frame),
        )
        try:
            envelope = decode_envelope(frame)
            message = decode_body(envelope)
        except InvalidDataError as error:
            self._refuse_frame(f"frame cannot be decoded: {error}")
            return
        if not self._transport.is_peer_key(envelope.sender, public_key):
            self._refuse_frame(f"{envelope.sender}: public key does not belong to it")
            return
        self._boot_ids[envelope.sender] = envelope.boot_id
        self._emit(
            events.MessageReceived(
                message_id=f"{envelope.boot_id}-{envelope.message_id}",
                sender=envelope.sender,
                kind=type(message).__name__,
            )
        )
        self._dispatch(envelope, message)

    def _dispatch(self, envelope: Envelope, message: ControlMessage) -> None:
        if envelope.reply_to:
            pending = self._pending_requests.get(envelope.reply_to)
            if pending is not None:
                pending.set(message)
                return
        for handler in self._handlers.get(type(message), ()):
            answer = self._call_handler(handler, envelope.sender, message)
            if answer is not None:
                self._send(envelope.sender, answer, reply_to=envelope.message_id)

    def _refuse_frame(self, reason: str) -> None:
        refused_count = self._traffic.refused_count + 1
        self._traffic = self._traffic._replace(refused_count=refused_count)
        self._emit(events.ControlMessageRefused(reason=reason))

    def _call_handler(self, function: Callable[..., Any], *arguments: Any) -> Any:
        try:
            return function(*arguments)
        except Exception as error:
            name = getattr(function, "__qualname__", repr(function))
            reason = f"{type(error).__name__}: {error}"
            self._emit(events.ControlHandlerFailed(handler=name, reason=reason))
            return None

    def _run_tick(self, interval_ms: float, function: TimeHandler) -> None:
        while True:
            gevent.sleep(interval_ms / MS_PER_S)
            self.check_pause()
            self._call_handler(function, self._clock.monotonic_ms())

    @staticmethod
    def _ignore_tick(_now_ms: float) -> None:
        """Do nothing; runs the pause check on a host without other ticks."""
