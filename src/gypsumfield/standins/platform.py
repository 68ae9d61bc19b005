"""Stand-in for the platform's read-only service.

It serves the routes of `gypsumfield.platform_api`, and these control routes:

- ``PUT /standin/values/KEY`` publishes a JSON value, or removes it when the body is
  null; returns the revision.
- ``PUT /standin/members`` replaces the membership list; returns its version.
- ``PUT /standin/faults`` takes `PlatformFaults`.
- ``GET /standin/calls`` returns how often each platform route was called.
"""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import Literal

import falcon
import msgspec
from gevent.event import Event

from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.clock import system_clock
from gypsumfield.configuration import ConfigurationDelta
from gypsumfield.platform_api import Member
from gypsumfield.platform_api import MemberList
from gypsumfield.standins.fault_middleware import drop_connection
from gypsumfield.standins.server import make_app
from gypsumfield.standins.server import read_body
from gypsumfield.standins.server import respond
from gypsumfield.standins.server import StandinServer

_MAX_WAIT_MS = 60_000.0


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a platform stand-in.

    Attributes:
        listen_address: IP address to listen on.
        listen_port: Port to listen on; 0 lets the operating system choose one.
        values_limit: Maximum number of values in one response.
        values: Values by key that are published at the start.
        hosts: Hosts that are in the membership list at the start.
    """

    listen_address: str = "127.0.0.1"
    listen_port: int = 0
    values_limit: int = 256
    values: dict[str, Any] = {}
    hosts: tuple[Member, ...] = ()


PlatformMode = Literal["up", "down", "stale", "restored"]


class PlatformFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``PUT /standin/faults``.

    Attributes:
        mode: ``up`` serves the current state, ``down`` drops every connection, and
            ``stale`` serves the state as it was when this mode was set. ``restored``
            goes back to the state of the last ``stale``: what was published since is
            lost, and its revisions are given out again.
    """

    mode: PlatformMode


class RevisionAnswer(msgspec.Struct, frozen=True):
    """Body of the response to ``PUT /standin/values/KEY``."""

    revision: int


class VersionAnswer(msgspec.Struct, frozen=True):
    """Body of the response to ``PUT /standin/members``."""

    version: int


class MembersBody(msgspec.Struct, frozen=True):
    """Body of a ``PUT /standin/members`` request; its version is ignored."""

    hosts: tuple[Member, ...]
    version: int = 0


class CallCounts(msgspec.Struct, frozen=True):
    """Calls by ``METHOD /path`` since the start, without the control routes."""

    calls: dict[str, int]


class PlatformState:
    """Published values with the revision of their latest change, and the members.

    Args:
        values_limit: Maximum number of values in one delta.
        clock: Monotonic clock, for waiting.
    """

    def __init__(self, values_limit: int, clock: Clock) -> None:
        self._values_limit = values_limit
        self._clock = clock
        self._values: dict[str, tuple[int, Any]] = {}
        self._changed = Event()
        self.revision = 0
        self.members = MemberList(0, ())

    def put_value(self, key: str, value: Any) -> int:
        """Publish a value, or remove it when it is None; return the new revision."""
        self.revision += 1
        self._values[key] = (self.revision, value)
        self.wake_watches()
        return self.revision

    def wake_watches(self) -> None:
        """Make every pending watch check its condition again."""
        self._changed.set()
        self._changed = Event()

    def put_members(self, hosts: Iterable[Member]) -> int:
        """Replace the membership list; return its new version."""
        self.members = MemberList(self.members.version + 1, tuple(hosts))
        return self.members.version

    def changes_after(self, after_revision: int) -> ConfigurationDelta:
        """Return the oldest changes after a revision, at most ``values_limit``.

        The delta contains every change up to and including its own revision.
        """
        changes = sorted(
            (revision, key)
            for key, (revision, _) in self._values.items()
            if revision > after_revision
        )
        included_changes = changes[: self._values_limit]
        is_partial = len(included_changes) < len(changes)
        revision = included_changes[-1][0] if is_partial else self.revision
        return ConfigurationDelta(
            revision, {key: self._values[key][1] for _, key in included_changes}
        )

    def wait_for_change(
        self, after_revision: int, wait_ms: float, should_stop: Callable[[], bool]
    ) -> None:
        """Wait until there is a revision above ``after_revision``.

        Returns without one after ``wait_ms``, which is limited to ``_MAX_WAIT_MS``, or
        when a wake-up finds that ``should_stop`` returns true.
        """
        deadline_ms = self._clock.monotonic_ms() + min(wait_ms, _MAX_WAIT_MS)
        while self.revision <= after_revision and not should_stop():
            remaining_ms = deadline_ms - self._clock.monotonic_ms()
            if remaining_ms <= 0:
                return
            self._changed.wait(remaining_ms / MS_PER_S)

    def snapshot(self) -> "PlatformState":
        """Return a copy that later changes to this state don't affect."""
        state_copy = PlatformState(self._values_limit, self._clock)
        state_copy._values = dict(self._values)
        state_copy.revision = self.revision
        state_copy.members = self.members
        return state_copy


class PlatformStandin:
    """Platform service that listens on one port.

    Args:
        settings: Settings of the stand-in; the defaults when None.
        clock: Monotonic clock; the system clock when None.
    """

    def __init__(
        self, settings: PlatformSettings | None = None, clock: Clock | None = None
    ) -> None:
        settings = settings or PlatformSettings()
        self.state = PlatformState(settings.values_limit, clock or system_clock())
        for key, value in settings.values.items():
            self.state.put_value(key, value)
        if settings.hosts:
            self.state.put_members(settings.hosts)
        self.calls: Counter[str] = Counter()
        self._mode = "up"
        self._visible_state = self.state
        self._copy = self.state
        app = make_app()
        app.add_route("/v1/values", _ValuesResource(self))
        app.add_route("/v1/members", _MembersResource(self))
        app.add_route("/standin/values/{prefix}/{name}", _ValueResource(self))
        app.add_route("/standin/members", _MembersControlResource(self))
        app.add_route("/standin/faults", _FaultsResource(self))
        app.add_route("/standin/calls", _CallsResource(self))
        self._server = StandinServer(app, settings.listen_address, settings.listen_port)

    @property
    def url(self) -> str:
        """Base URL; valid once started."""
        return self._server.url

    def start(self) -> str:
        """Start serving; return the base URL."""
        return self._server.start()

    def stop(self) -> None:
        """Stop serving requests."""
        self._server.stop()

    def set_mode(self, mode: PlatformMode) -> None:
        """Set the mode, as described in `PlatformFaults`, and wake pending watches."""
        self._mode = mode
        lost_state = self.state
        if mode == "restored":
            self.state = self._copy.snapshot()
        if mode == "stale":
            self._copy = self.state.snapshot()
        self._visible_state = self._copy if mode == "stale" else self.state
        lost_state.wake_watches()

    def record_call(self, req: falcon.Request) -> PlatformState:
        """Count a call, and return the state to serve it from.

        Raises:
            BrokenPipeError: The platform is down, so the connection is dropped.
        """
        self.calls[f"{req.method} {req.path}"] += 1
        if self._mode == "down":
            drop_connection(req.env)
        return self._visible_state

    def is_down(self) -> bool:
        """Return whether every connection is dropped."""
        return self._mode == "down"


class _ValuesResource:
    def __init__(self, standin: PlatformStandin) -> None:
        self._standin = standin

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        state = self._standin.record_call(req)
        after_revision = req.get_param_as_int("after_revision", min_value=0) or 0
        wait_ms = req.get_param_as_float("wait_ms", min_value=0.0) or 0.0
        state.wait_for_change(after_revision, wait_ms, self._standin.is_down)
        if self._standin.is_down():
            drop_connection(req.env)
        respond(resp, state.changes_after(after_revision))


class _MembersResource:
    def __init__(self, standin: PlatformStandin) -> None:
        self._standin = standin

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        respond(resp, self._standin.record_call(req).members)


class _ValueResource:
    def __init__(self, standin: PlatformStandin) -> None:
        self._standin = standin

    def on_put(
        self, req: falcon.Request, resp: falcon.Response, prefix: str, name: str
    ) -> None:
        value = read_body(req, Any)
        revision = self._standin.state.put_value(f"{prefix}/{name}", value)
        respond(resp, RevisionAnswer(revision))


class _MembersControlResource:
    def __init__(self, standin: PlatformStandin) -> None:
        self._standin = standin

    def on_put(self, req: falcon.Request, resp: falcon.Response) -> None:
        body: MembersBody = read_body(req, MembersBody)
        respond(resp, VersionAnswer(self._standin.state.put_members(body.hosts)))


class _FaultsResource:
    def __init__(self, standin: PlatformStandin) -> None:
        self._standin = standin

    def on_put(self, req: falcon.Request, resp: falcon.Response) -> None:
        faults: PlatformFaults = read_body(req, PlatformFaults)
        self._standin.set_mode(faults.mode)
        respond(resp, faults)


class _CallsResource:
    def __init__(self, standin: PlatformStandin) -> None:
        self._standin = standin

    def on_get(self, _req: falcon.Request, resp: falcon.Response) -> None:
        respond(resp, CallCounts(dict(self._standin.calls)))
