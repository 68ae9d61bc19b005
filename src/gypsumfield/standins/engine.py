"""Stand-in for a model engine that serves the routes of `gypsumfield.engine_api`.

The decode model runs in real time. A generation continues when its client
disconnects, so that it can be resumed; only a cancellation stops it. Control routes:

- ``GET /standin/runs`` returns `gypsumfield.standins.engine_runs.EngineRuns`.
- ``PUT /standin/faults`` takes a `gypsumfield.standins.faults.FaultSet`.
"""

import uuid
from collections.abc import Iterable
from collections.abc import Iterator

import gevent
import msgspec
from gevent.event import Event

from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.clock import system_clock
from gypsumfield.engine_api import FinishReason
from gypsumfield.engine_api import LEAVING_CODE
from gypsumfield.engine_api import Order
from gypsumfield.engine_api import OrderOutcome
from gypsumfield.engine_api import StartGeneration
from gypsumfield.engine_api import TokenEvent
from gypsumfield.standins.engine_model import EngineModel
from gypsumfield.standins.engine_model import EngineModelSettings
from gypsumfield.standins.engine_model import Submission
from gypsumfield.standins.engine_model import token_text
from gypsumfield.standins.engine_model import TokenOutput
from gypsumfield.standins.engine_routes import build_engine_app
from gypsumfield.standins.engine_runs import EngineRun
from gypsumfield.standins.faults import FaultSet
from gypsumfield.standins.server import StandinServer

_PAUSED_POLL_INTERVAL_MS = 10.0


class EngineSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an engine stand-in.

    Attributes:
        listen_address: IP address to listen on.
        listen_port: Port to listen on; 0 lets the operating system choose one.
        models: Versions of the models loaded at boot, by model name.
        adapters: Names of the adapters loaded at boot.
        role: Role at boot.
        is_text_marked: Whether the text of each token begins with its generation
            id, so that a client can detect tokens of another generation.
        are_orders_fenced: Whether the engine refuses an order whose fencing number
            is lower than the highest that it has accepted.
        engine: Size and speed of the simulated engine.
    """

    listen_address: str = "127.0.0.1"
    listen_port: int = 0
    models: dict[str, str] = msgspec.field(default_factory=lambda: {"assistant": "1"})
    adapters: tuple[str, ...] = ()
    role: str = "serve"
    is_text_marked: bool = False
    are_orders_fenced: bool = True
    engine: EngineModelSettings = EngineModelSettings()


class _Generation:
    """Token events of one generation, and the readers waiting for more."""

    def __init__(self, generation_id: str, run: EngineRun, token_prefix: str) -> None:
        self.generation_id = generation_id
        self._token_prefix = token_prefix
        self.run = run
        self.token_count = 0
        self.finish_reason: FinishReason | None = None
        self.is_lost = False
        self._new_events = Event()

    def add_token(self, finish_reason: FinishReason | None) -> None:
        self.token_count += 1
        self.run.generated_tokens += 1
        if finish_reason is not None:
            self.finish(finish_reason)
        self.wake_readers()

    def finish(self, reason: FinishReason) -> None:
        self.finish_reason = reason
        self.run.state = "cancelled" if reason == "cancelled" else "finished"
        self.wake_readers()

    def mark_lost(self) -> None:
        if self.finish_reason is None:
            self.run.state = "lost"
        self.is_lost = True
        self.wake_readers()

    def wake_readers(self) -> None:
        self._new_events.set()
        self._new_events = Event()

    def events(self, after_sequence: int) -> Iterator[TokenEvent]:
        """Yield the events after a sequence number, until the generation has ended."""
        sequence = after_sequence + 1
        while True:
            while sequence <= self.token_count:
                text = self._token_prefix + token_text(sequence)
                yield TokenEvent(self.generation_id, sequence, text)
                sequence += 1
            if self.finish_reason is not None:
                break
            if self.is_lost:
                raise BrokenPipeError("the engine restarted")
            self._new_events.wait()
        if sequence == self.token_count + 1:
            yield TokenEvent(
                self.generation_id, sequence, finish_reason=self.finish_reason
            )


class EngineStandin:
    """Engine that listens on one port and decodes in a background greenlet.

    Args:
        settings: Settings of the stand-in; the defaults when None.
        clock: Monotonic clock; the system clock when None.
    """

    def __init__(
        self, settings: EngineSettings | None = None, clock: Clock | None = None
    ) -> None:
        self.settings = settings or EngineSettings()
        self.clock = clock or system_clock()
        self.faults = FaultSet()
        self.header_names: set[str] = set()
        self.runs: dict[str, EngineRun] = {}
        self.orders: list[Order] = []
        self.deadly_crash_count = 0
        self.refused_count = 0
        self._boot()
        self.server = StandinServer(
            build_engine_app(self),
            self.settings.listen_address,
            self.settings.listen_port,
            on_fatal=self.restart,
        )
        self._decode_greenlet: gevent.Greenlet | None = None

    def _boot(self) -> None:
        boot_id = uuid.uuid4().hex
        now_ms = self.clock.monotonic_ms()
        self.model = EngineModel(self.settings.engine, now_ms, boot_id)
        self.generations: dict[str, _Generation] = {}
        self._prompts: dict[str, str] = {}
        self.models = dict(self.settings.models)
        self.adapters = list(self.settings.adapters)
        self.role = self.settings.role
        self.are_orders_fenced = self.settings.are_orders_fenced
        self.highest_fencing_number = 0
        self._work_available = Event()

    @property
    def url(self) -> str:
        """Base URL; valid once started."""
        return self.server.url

    @property
    def address(self) -> str:
        """``IP:PORT``; valid once started."""
        return self.server.address

    @property
    def boot_id(self) -> str:
        """Boot id, a new one after every restart."""
        return self.model.boot_id

    def start(self) -> str:
        """Start decoding and serving; return the base URL."""
        self._decode_greenlet = gevent.spawn(self._run_decode_loop)
        return self.server.start()

    def stop(self) -> None:
        """Stop serving requests and decoding."""
        self.server.stop()
        if self._decode_greenlet is not None:
            self._decode_greenlet.kill()

    def restart(self) -> None:
        """Discard all generations and the effect of all orders; boot with a new id."""
        lost_generations = list(self.generations.values())
        self._work_available.set()
        self._boot()
        for generation in lost_generations:
            generation.mark_lost()

    def end_cold_start(self) -> None:
        """Accept full load from now on."""
        self.model.end_cold_start(self.clock.monotonic_ms())

    def apply_faults(self, faults: FaultSet) -> None:
        """Replace all armed faults, and apply those that act at once."""
        self.faults = faults
        if faults.is_restart:
            self.restart()
        if faults.cold_ms > 0:
            self.model.turn_cold(self.clock.monotonic_ms(), faults.cold_ms)
        if faults.are_orders_fenced is not None:
            self.are_orders_fenced = faults.are_orders_fenced
        self.server.arm(faults.faults)

    def submit(self, start: StartGeneration, request_id: str) -> str | None:
        """Start a generation.

        Returns:
            The error code when the generation is refused, or None.
        """
        refusal = self._submit(start)
        if refusal is not None:
            self.refused_count += 1
            return refusal
        run = self.runs.setdefault(
            start.generation_id, EngineRun(request_id, start_count=0)
        )
        run.start_count += 1
        run.state = "running"
        token_prefix = f"{start.generation_id}:" if self.settings.is_text_marked else ""
        self.generations[start.generation_id] = _Generation(
            start.generation_id, run, token_prefix
        )
        self._prompts[start.generation_id] = start.prompt
        self._work_available.set()
        return None

    def _submit(self, start: StartGeneration) -> str | None:
        if self.faults.is_leaving:
            return LEAVING_CODE
        if start.model not in self.models:
            return "unknown_model"
        if start.max_tokens < 1:
            return "bad_request"
        boot_id = self.model.boot_id
        refusal = self.model.submit(
            Submission(
                start.generation_id, start.prompt, start.max_tokens, start.priority
            ),
            self.clock.monotonic_ms(),
        )
        if self.model.boot_id != boot_id:
            # The load exceeded the limit of the cold engine, which crashed the model.
            self.restart()
        return refusal

    def cancel(self, generation_id: str) -> bool:
        """Stop a generation; return whether this boot has started it."""
        generation = self.generations.get(generation_id)
        if generation is None:
            return False
        if self.model.cancel(generation_id):
            generation.finish("cancelled")
        return True

    def events(self, generation_id: str, after_sequence: int) -> Iterator[bytes]:
        """Yield the server-sent events of a generation, changed by armed faults."""
        for event in self.generations[generation_id].events(after_sequence):
            is_final = event.finish_reason is not None
            if is_final and self.faults.early_end_count > 0:
                self._decrement_fault_count("early_end_count")
                return
            if not is_final and self.faults.gap_event_count > 0:
                self._decrement_fault_count("gap_event_count")
                continue
            yield _encode_event(event)
            if self.faults.duplicate_event_count > 0:
                self._decrement_fault_count("duplicate_event_count")
                yield _encode_event(event)

    def _decrement_fault_count(self, field_name: str) -> None:
        remaining = getattr(self.faults, field_name) - 1
        self.faults = msgspec.structs.replace(self.faults, **{field_name: remaining})

    def select_response_request_id(self, request_id: str) -> str:
        """Return the request id to respond with; a fault makes it a wrong one."""
        if self.faults.crossed_answer_count > 0:
            self._decrement_fault_count("crossed_answer_count")
            return f"crossed-{request_id}"
        return request_id

    def apply_order(self, order: Order) -> OrderOutcome:
        """Apply an order, unless fencing is on and its fencing number is stale."""
        is_stale = order.fencing_number < self.highest_fencing_number
        if self.are_orders_fenced and is_stale:
            return OrderOutcome(False, self.highest_fencing_number)
        self.highest_fencing_number = max(
            self.highest_fencing_number, order.fencing_number
        )
        self.orders.append(order)
        if order.kind == "load_model":
            self.models[order.name] = order.version
        elif order.kind == "unload_model":
            self.models.pop(order.name, None)
        elif order.kind == "load_adapter" and order.name not in self.adapters:
            self.adapters.append(order.name)
        elif order.kind == "set_role":
            self.role = order.name
        return OrderOutcome(True, self.highest_fencing_number)

    def _run_decode_loop(self) -> None:
        while True:
            model = self.model
            if model.is_idle:
                self._work_available.clear()
                self._work_available.wait()
                continue
            if self.faults.is_decoding_paused:
                gevent.sleep(_PAUSED_POLL_INTERVAL_MS / MS_PER_S)
                continue
            result = model.step(self.clock.monotonic_ms())
            gevent.sleep(result.duration_ms / MS_PER_S)
            if model is not self.model:
                continue
            if self._is_deadly(result.tokens):
                self.deadly_crash_count += 1
                self.restart()
                continue
            for token in result.tokens:
                generation = self.generations[token.generation_id]
                # A generation cancelled during the step gets no token from it.
                if generation.finish_reason is None:
                    generation.add_token(token.finish_reason)

    def _is_deadly(self, tokens: Iterable[TokenOutput]) -> bool:
        text = self.faults.deadly_text
        return bool(text) and any(
            text in self._prompts[token.generation_id] for token in tokens
        )


def _encode_event(event: TokenEvent) -> bytes:
    data = msgspec.json.encode(event)
    return b"id: %d\ndata: %s\n\n" % (event.sequence, data)
