"""Stand-in for a model engine, on the routes of `gypsumfield.engine_api`.

The decode model runs in real time. A generation whose reader goes away runs
on, so that it can be resumed; only a cancel stops it. Routes of its own:

- ``GET /standin/runs`` answers `gypsumfield.standins.engine_runs.EngineRuns`.
- ``PUT /standin/faults`` (`gypsumfield.standins.faults.FaultOrder`).
"""

import uuid
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
from gypsumfield.standins.engine_routes import build_engine_app
from gypsumfield.standins.engine_runs import EngineRun
from gypsumfield.standins.faults import FaultOrder
from gypsumfield.standins.server import StandinServer

_PAUSE_CHECK_MS = 10.0


class EngineSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an engine stand-in.

    Attributes:
        listen_address: IP to listen on.
        listen_port: Port to listen on; 0 lets the system choose.
        models: Version by name of the models it holds at the start.
        adapters: Adapters it holds at the start.
        role: What it serves as at the start.
        is_text_marked: Whether each token names its generation, so that a
            reader sees when tokens of two generations are mixed.
        are_orders_fenced: Whether it refuses old fencing numbers.
        engine: Size and speed.
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
    """Events of one generation and the readers that wait for more."""

    def __init__(self, generation_id: str, run: EngineRun, mark: str) -> None:
        self.generation_id = generation_id
        self._mark = mark
        self.run = run
        self.token_count = 0
        self.finish_reason: FinishReason | None = None
        self.is_lost = False
        self._changed = Event()

    def add_token(self, finish_reason: FinishReason | None) -> None:
        self.token_count += 1
        self.run.generated_tokens += 1
        if finish_reason is not None:
            self.finish(finish_reason)
        self.wake()

    def finish(self, reason: FinishReason) -> None:
        self.finish_reason = reason
        self.run.state = "cancelled" if reason == "cancelled" else "finished"
        self.wake()

    def lose(self) -> None:
        if self.finish_reason is None:
            self.run.state = "lost"
        self.is_lost = True
        self.wake()

    def wake(self) -> None:
        self._changed.set()
        self._changed = Event()

    def events(self, after_sequence: int) -> Iterator[TokenEvent]:
        """Yield the events after a sequence number, waiting for new ones."""
        sequence = after_sequence + 1
        while True:
            while sequence <= self.token_count:
                text = self._mark + token_text(sequence)
                yield TokenEvent(self.generation_id, sequence, text)
                sequence += 1
            if self.finish_reason is not None:
                break
            if self.is_lost:
                raise BrokenPipeError("the engine restarted")
            self._changed.wait()
        if sequence == self.token_count + 1:
            yield TokenEvent(
                self.generation_id, sequence, finish_reason=self.finish_reason
            )


class EngineStandin:
    """One engine on one port."""

    def __init__(
        self, settings: EngineSettings | None = None, clock: Clock | None = None
    ) -> None:
        self.settings = settings or EngineSettings()
        self.clock = clock or system_clock()
        self.faults = FaultOrder()
        self.header_names: set[str] = set()
        self.runs: dict[str, EngineRun] = {}
        self.orders: list[Order] = []
        self.refused_count = 0
        self._boot()
        self.server = StandinServer(
            build_engine_app(self),
            self.settings.listen_address,
            self.settings.listen_port,
            on_fatal=self.restart,
        )
        self._decoder: gevent.Greenlet | None = None

    def _boot(self) -> None:
        boot_id = uuid.uuid4().hex
        now_ms = self.clock.monotonic_ms()
        self.model = EngineModel(self.settings.engine, now_ms, boot_id)
        self.generations: dict[str, _Generation] = {}
        self.models = dict(self.settings.models)
        self.adapters = list(self.settings.adapters)
        self.role = self.settings.role
        self.are_orders_fenced = self.settings.are_orders_fenced
        self.highest_fencing_number = 0
        self._work = Event()

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
        """Name of the current boot."""
        return self.model.boot_id

    def start(self) -> str:
        """Serve and return the base URL."""
        self._decoder = gevent.spawn(self._decode_forever)
        return self.server.start()

    def stop(self) -> None:
        """Stop serving and decoding."""
        self.server.stop()
        if self._decoder is not None:
            self._decoder.kill()

    def restart(self) -> None:
        """Lose every generation and order, and come back with a new boot id."""
        lost = list(self.generations.values())
        self._work.set()
        self._boot()
        for generation in lost:
            generation.lose()

    def end_cold_start(self) -> None:
        """Bear full load from now on."""
        self.model.end_cold_start(self.clock.monotonic_ms())

    def apply_faults(self, faults: FaultOrder) -> None:
        """Replace the armed faults."""
        self.faults = faults
        if faults.is_restart:
            self.restart()
        if faults.cold_ms > 0:
            self.model.turn_cold(self.clock.monotonic_ms(), faults.cold_ms)
        if faults.are_orders_fenced is not None:
            self.are_orders_fenced = faults.are_orders_fenced
        self.server.arm(faults.faults)

    def submit(self, start: StartGeneration, request_id: str) -> str | None:
        """Start a generation, or return the code of its refusal."""
        refusal = self._submit(start)
        if refusal is not None:
            self.refused_count += 1
            return refusal
        run = self.runs.setdefault(
            start.generation_id, EngineRun(request_id, start_count=0)
        )
        run.start_count += 1
        run.state = "running"
        mark = f"{start.generation_id}:" if self.settings.is_text_marked else ""
        self.generations[start.generation_id] = _Generation(
            start.generation_id, run, mark
        )
        self._work.set()
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
            # The load was more than the cold engine bore, and it fell over.
            self.restart()
        return refusal

    def cancel(self, generation_id: str) -> bool:
        """Stop a generation; return whether it is known."""
        generation = self.generations.get(generation_id)
        if generation is None:
            return False
        if self.model.cancel(generation_id):
            generation.finish("cancelled")
        return True

    def events(self, generation_id: str, after_sequence: int) -> Iterator[bytes]:
        """Yield server-sent events of a generation, with the armed mischief."""
        for event in self.generations[generation_id].events(after_sequence):
            is_final = event.finish_reason is not None
            if is_final and self.faults.early_end_count > 0:
                self._use_up("early_end_count")
                return
            if not is_final and self.faults.gap_event_count > 0:
                self._use_up("gap_event_count")
                continue
            yield _encode_event(event)
            if self.faults.duplicate_event_count > 0:
                self._use_up("duplicate_event_count")
                yield _encode_event(event)

    def _use_up(self, field: str) -> None:
        remaining = getattr(self.faults, field) - 1
        self.faults = msgspec.structs.replace(self.faults, **{field: remaining})

    def answered_request_id(self, request_id: str) -> str:
        """Return the request id to answer with; a fault may cross it."""
        if self.faults.crossed_answer_count > 0:
            self._use_up("crossed_answer_count")
            return f"crossed-{request_id}"
        return request_id

    def take_order(self, order: Order) -> OrderOutcome:
        """Follow an order, unless its fencing number is old and checked."""
        is_old = order.fencing_number < self.highest_fencing_number
        if self.are_orders_fenced and is_old:
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

    def _decode_forever(self) -> None:
        while True:
            model = self.model
            if model.is_idle:
                self._work.clear()
                self._work.wait()
                continue
            if self.faults.is_decoding_paused:
                gevent.sleep(_PAUSE_CHECK_MS / MS_PER_S)
                continue
            result = model.step(self.clock.monotonic_ms())
            gevent.sleep(result.duration_ms / MS_PER_S)
            if model is not self.model:
                continue
            for token in result.tokens:
                generation = self.generations[token.generation_id]
                # A cancel during the step comes before its token.
                if generation.finish_reason is None:
                    generation.add_token(token.finish_reason)


def _encode_event(event: TokenEvent) -> bytes:
    data = msgspec.json.encode(event)
    return b"id: %d\ndata: %s\n\n" % (event.sequence, data)
