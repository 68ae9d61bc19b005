"""Load of each backend server: this host's own runs and those that peers report."""

import math
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from gypsumfield.decisions.placement import planned_tokens

# Older reports of a peer are not counted: the peer is gone or unreachable, and its
# runs end within seconds.
PEER_LOAD_LIFETIME_MS = 2_500.0


class ServerLoad(NamedTuple):
    """Load of one server.

    Attributes:
        run_count: Requests in flight on it.
        committed_tokens: Key-value cache planned for its streams and copies.
        waiting_prompt_tokens: Prompt tokens of the streams without a first event.
    """

    run_count: int = 0
    committed_tokens: int = 0
    waiting_prompt_tokens: int = 0

    def plus(self, other: "ServerLoad") -> "ServerLoad":
        """Return the sum of both loads."""
        return ServerLoad(
            self.run_count + other.run_count,
            self.committed_tokens + other.committed_tokens,
            self.waiting_prompt_tokens + other.waiting_prompt_tokens,
        )

    def without(self, other: "ServerLoad") -> "ServerLoad":
        """Return this load less another one; no field falls below 0."""
        return ServerLoad(
            max(0, self.run_count - other.run_count),
            max(0, self.committed_tokens - other.committed_tokens),
            max(0, self.waiting_prompt_tokens - other.waiting_prompt_tokens),
        )


class Run:
    """One execution of a request on a server, or a copy of its key-value cache.

    Attributes:
        server_id: The server.
        prompt_tokens: Tokens of the prompt.
        expected_tokens: Predicted tokens of the output.
        generated_tokens: Output tokens so far.
        is_copy: Whether it is a copy, which takes memory and no slot.
        is_prompt_pending: Whether the engine has still to process the prompt.
    """

    def __init__(
        self,
        server_id: str,
        prompt_tokens: int,
        expected_tokens: int,
        is_copy: bool = False,
    ) -> None:
        self.server_id = server_id
        self.prompt_tokens = prompt_tokens
        self.expected_tokens = expected_tokens
        self.generated_tokens = 0
        self.is_copy = is_copy
        self.is_prompt_pending = not is_copy

    def load(self) -> ServerLoad:
        """Return what the run adds to its server's load."""
        waiting_tokens = self.prompt_tokens if self.is_prompt_pending else 0
        run_count = 0 if self.is_copy else 1
        return ServerLoad(run_count, self.planned_tokens, waiting_tokens)

    @property
    def planned_tokens(self) -> int:
        """Key-value cache planned for the run, in tokens."""
        return planned_tokens(
            self.prompt_tokens,
            self.generated_tokens,
            self.expected_tokens,
            self.is_copy,
        )


class Ledger:
    """Load by server, from this host's own runs and the reports of peers."""

    def __init__(self) -> None:
        self._runs: dict[str, set[Run]] = {}
        self._peer_loads: dict[str, tuple[float, Mapping[str, ServerLoad]]] = {}
        self._other_hosts_loads: dict[str, tuple[float, ServerLoad]] = {}
        self._reservations: dict[str, list[tuple[float, ServerLoad]]] = {}
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when a run changes or reported loads are replaced."""
        self._listeners.append(listener)

    def begin(self, run: Run) -> None:
        """Start counting a run."""
        self._runs.setdefault(run.server_id, set()).add(run)
        self._notify_listeners()

    def end(self, run: Run) -> None:
        """Stop counting a run; without effect when it has already ended."""
        runs = self._runs.get(run.server_id)
        if runs and run in runs:
            runs.discard(run)
            if not runs:
                del self._runs[run.server_id]
            self._notify_listeners()

    def mark_prompt_processed(self, run: Run) -> None:
        """Record that an engine has processed the prompt of a run."""
        if run.is_prompt_pending:
            run.is_prompt_pending = False
            self._notify_listeners()

    def own_load(self, server_id: str) -> ServerLoad:
        """Return the load of this host's own runs on a server."""
        return _total(run.load() for run in self._runs.get(server_id, ()))

    def own_loads(self) -> dict[str, ServerLoad]:
        """Return the load of this host's own runs by server."""
        return {server_id: self.own_load(server_id) for server_id in self._runs}

    def servers_with_runs(self) -> set[str]:
        """Return the ids of servers that have runs of this host or of its peers."""
        peer_server_ids = (
            server_id for _, loads in self._peer_loads.values() for server_id in loads
        )
        return {*self._runs, *peer_server_ids}

    def update_peer_loads(
        self, host_id: str, loads: Mapping[str, ServerLoad], now_ms: float
    ) -> None:
        """Replace a peer's reported loads on servers whose runs this host counts."""
        previous = self._peer_loads.get(host_id)
        self._peer_loads[host_id] = (now_ms, loads)
        if previous is None or previous[1] != loads:
            self._notify_listeners()

    def set_other_hosts_load(
        self, server_id: str, load: ServerLoad, now_ms: float
    ) -> None:
        """Record other hosts' load on a server, received from its counting host."""
        self._other_hosts_loads[server_id] = (now_ms, load)

    def replace_other_hosts_loads(
        self,
        totals: Mapping[str, ServerLoad],
        own: Mapping[str, ServerLoad],
        now_ms: float,
    ) -> None:
        """Replace the loads of all other hosts by the totals of a delegate.

        Args:
            totals: Load of all hosts by server; servers without load are absent.
            own: Load of this host's own runs as last sent to the delegate; the
                totals include it.
            now_ms: When the totals arrived.
        """
        self._other_hosts_loads = {
            server_id: (now_ms, load.without(own.get(server_id, ServerLoad())))
            for server_id, load in totals.items()
        }
        self._notify_listeners()

    def reserve_load(
        self, server_id: str, load: ServerLoad, now_ms: float, lifetime_ms: float
    ) -> None:
        """Reserve load for a run that another host is about to begin.

        It is counted until that host's own report of the run can be expected.
        """
        for reserved_id in list(self._reservations):
            self._reserved_load(reserved_id, now_ms)
        reservations = self._reservations.setdefault(server_id, [])
        reservations.append((now_ms + lifetime_ms, load))

    def combined_loads(
        self, is_counted: Callable[[str], bool], now_ms: float
    ) -> dict[str, ServerLoad]:
        """Return the load by server of this host and of some of its peers.

        Args:
            is_counted: Whether the loads of the peer with this id are added.
            now_ms: Current time; expired reports are left out.
        """
        oldest_ms = now_ms - PEER_LOAD_LIFETIME_MS
        sums = self.own_loads()
        for host_id, (received_ms, loads) in self._peer_loads.items():
            if received_ms < oldest_ms or not is_counted(host_id):
                continue
            for server_id, load in loads.items():
                sums[server_id] = load.plus(sums.get(server_id, ServerLoad()))
        return sums

    def remove_peer_loads(self, host_id: str) -> None:
        """Remove the loads that a peer reported."""
        self._peer_loads.pop(host_id, None)

    def load(self, server_id: str, now_ms: float) -> ServerLoad:
        """Return the load of a server over all hosts."""
        received_ms, counted = self._other_hosts_loads.get(
            server_id, (-math.inf, ServerLoad())
        )
        if received_ms < now_ms - PEER_LOAD_LIFETIME_MS:
            counted = ServerLoad()
        reported = self._reported_load(server_id, "", now_ms)
        # At least one of the two is empty, except for the moment in which another host
        # takes over the counting.
        others = max(counted, reported, key=lambda load: load.committed_tokens)
        reserved = self._reserved_load(server_id, now_ms)
        return others.plus(self.own_load(server_id)).plus(reserved)

    def load_excluding_peer(
        self, server_id: str, host_id: str, now_ms: float
    ) -> ServerLoad:
        """Return the load of a server by this host and all peers but one."""
        reported = self._reported_load(server_id, host_id, now_ms)
        return reported.plus(self.own_load(server_id))

    def _reserved_load(self, server_id: str, now_ms: float) -> ServerLoad:
        reservations = self._reservations.get(server_id)
        if not reservations:
            return ServerLoad()
        valid = [reservation for reservation in reservations if reservation[0] > now_ms]
        if valid:
            self._reservations[server_id] = valid
        else:
            del self._reservations[server_id]
        return _total(load for _, load in valid)

    def _reported_load(
        self, server_id: str, excluded_host_id: str, now_ms: float
    ) -> ServerLoad:
        oldest_ms = now_ms - PEER_LOAD_LIFETIME_MS
        return _total(
            loads[server_id]
            for host_id, (received_ms, loads) in self._peer_loads.items()
            if received_ms >= oldest_ms
            and server_id in loads
            and host_id != excluded_host_id
        )

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()


def _total(loads: Iterable[ServerLoad]) -> ServerLoad:
    total = ServerLoad()
    for load in loads:
        total = total.plus(load)
    return total
