"""Stand-in for the platform's read-only service.

Besides the routes of `gypsumfield.platform_api` it takes the operator's hand:

- ``PUT /standin/values/KEY`` with a JSON value or null; answers the revision.
- ``PUT /standin/members`` with a list of members; answers the version.
- ``PUT /standin/faults`` (`PlatformFaults`).
- ``GET /standin/calls`` answers how often each route was called.
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
from gypsumfield.standins.fault_gate import drop_connection
from gypsumfield.standins.server import make_app
from gypsumfield.standins.server import read_body
from gypsumfield.standins.server import respond
from gypsumfield.standins.server import StandinServer

_WAIT_LIMIT_MS = 60_000.0


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a platform stand-in.

    Attributes:
        listen_address: IP to listen on.
        listen_port: Port to listen on; 0 lets the system choose.
        values_limit: Largest number of values in one answer.
        values: Published values by key at the start.
        hosts: Members at the start.
    """

    listen_address: str = "127.0.0.1"
    listen_port: int = 0
    values_limit: int = 256
    values: dict[str, Any] = {}
    hosts: tuple[Member, ...] = ()


class PlatformFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``PUT /standin/faults``.

    Attributes:
        mode: ``down`` drops every connection; ``stale`` goes on answering as
            of the moment it was switched on.
    """

    mode: Literal["up", "down", "stale"]


class RevisionAnswer(msgspec.Struct, frozen=True):
    """Answer of ``PUT /standin/values/KEY``."""

    revision: int


class VersionAnswer(msgspec.Struct, frozen=True):
    """Answer of ``PUT /standin/members``."""

    version: int


class MembersBody(msgspec.Struct, frozen=True):
    """Body of ``PUT /standin/members``; any version in it is ignored."""

    hosts: tuple[Member, ...]
    version: int = 0


class CallCounts(msgspec.Struct, frozen=True):
    """Calls by route since the start; the stand-in's own are left out."""

    calls: dict[str, int]


class PlatformState:
    """Values with the revision of their latest change, and the members."""

    def __init__(self, values_limit: int, clock: Clock) -> None:
        self._values_limit = values_limit
        self._clock = clock
        self._values: dict[str, tuple[int, Any]] = {}
        self._changed = Event()
        self.revision = 0
        self.members = MemberList(0, ())

    def put_value(self, key: str, value: Any) -> int:
        """Publish a value, or remove it with None; return the revision."""
        self.revision += 1
        self._values[key] = (self.revision, value)
        self.wake()
        return self.revision

    def wake(self) -> None:
        """Make every waiting watch look again."""
        self._changed.set()
        self._changed = Event()

    def put_members(self, hosts: Iterable[Member]) -> int:
        """Replace the members; return the version."""
        self.members = MemberList(self.members.version + 1, tuple(hosts))
        return self.members.version

    def changes_after(self, after_revision: int) -> ConfigurationDelta:
        """Return the changes after a revision, as many as one answer holds.

        The revision of the answer is the one up to which it is complete.
        """
        changes = sorted(
            (revision, key)
            for key, (revision, _) in self._values.items()
            if revision > after_revision
        )
        taken = changes[: self._values_limit]
        is_partial = len(taken) < len(changes)
        revision = taken[-1][0] if is_partial else self.revision
        return ConfigurationDelta(
            revision, {key: self._values[key][1] for _, key in taken}
        )

    def wait_for_change(
        self, after_revision: int, wait_ms: float, is_over: Callable[[], bool]
    ) -> None:
        """Wait for a revision above ``after_revision``, the time, or the end."""
        deadline_ms = self._clock.monotonic_ms() + min(wait_ms, _WAIT_LIMIT_MS)
        while self.revision <= after_revision and not is_over():
            remaining_ms = deadline_ms - self._clock.monotonic_ms()
            if remaining_ms <= 0:
                return
            self._changed.wait(remaining_ms / MS_PER_S)

    def copy(self) -> "PlatformState":
        """Return a copy that no later change reaches."""
        twin = PlatformState(self._values_limit, self._clock)
        twin._values = dict(self._values)
        twin.revision = self.revision
        twin.members = self.members
        return twin


class PlatformStandin:
    """The platform's service on one port."""

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
        self._shown = self.state
        app = make_app()
        app.add_route("/v1/values", _Values(self))
        app.add_route("/v1/members", _Members(self))
        app.add_route("/standin/values/{prefix}/{name}", _PutValue(self))
        app.add_route("/standin/members", _PutMembers(self))
        app.add_route("/standin/faults", _PutFaults(self))
        app.add_route("/standin/calls", _Calls(self))
        self._server = StandinServer(app, settings.listen_address, settings.listen_port)

    @property
    def url(self) -> str:
        """Base URL; valid once started."""
        return self._server.url

    def start(self) -> str:
        """Serve and return the base URL."""
        return self._server.start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def set_mode(self, mode: Literal["up", "down", "stale"]) -> None:
        """Switch the service down, stale or up again."""
        self._mode = mode
        self._shown = self.state.copy() if mode == "stale" else self.state
        self.state.wake()

    def open_call(self, req: falcon.Request) -> PlatformState:
        """Count a call and return the state that it shall see."""
        self.calls[f"{req.method} {req.path}"] += 1
        if self._mode == "down":
            drop_connection(req.env)
        return self._shown

    def is_down(self) -> bool:
        """Return whether connections are dropped."""
        return self._mode == "down"


class _Values:
    def __init__(self, standin: PlatformStandin) -> None:
        self._standin = standin

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        state = self._standin.open_call(req)
        after_revision = req.get_param_as_int("after_revision", min_value=0) or 0
        wait_ms = req.get_param_as_float("wait_ms", min_value=0.0) or 0.0
        state.wait_for_change(after_revision, wait_ms, self._standin.is_down)
        if self._standin.is_down():
            drop_connection(req.env)
        respond(resp, state.changes_after(after_revision))


class _Members:
    def __init__(self, standin: PlatformStandin) -> None:
        self._standin = standin

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        respond(resp, self._standin.open_call(req).members)


class _PutValue:
    def __init__(self, standin: PlatformStandin) -> None:
        self._standin = standin

    def on_put(
        self, req: falcon.Request, resp: falcon.Response, prefix: str, name: str
    ) -> None:
        value = read_body(req, Any)
        revision = self._standin.state.put_value(f"{prefix}/{name}", value)
        respond(resp, RevisionAnswer(revision))


class _PutMembers:
    def __init__(self, standin: PlatformStandin) -> None:
        self._standin = standin

    def on_put(self, req: falcon.Request, resp: falcon.Response) -> None:
        body: MembersBody = read_body(req, MembersBody)
        respond(resp, VersionAnswer(self._standin.state.put_members(body.hosts)))


class _PutFaults:
    def __init__(self, standin: PlatformStandin) -> None:
        self._standin = standin

    def on_put(self, req: falcon.Request, resp: falcon.Response) -> None:
        faults: PlatformFaults = read_body(req, PlatformFaults)
        self._standin.set_mode(faults.mode)
        respond(resp, faults)


class _Calls:
    def __init__(self, standin: PlatformStandin) -> None:
        self._standin = standin

    def on_get(self, _req: falcon.Request, resp: falcon.Response) -> None:
        respond(resp, CallCounts(dict(self._standin.calls)))
