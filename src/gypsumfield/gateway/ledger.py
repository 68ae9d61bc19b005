"""Runs in flight by backend server: this host's own and its peers'."""

import math
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from gypsumfield.decisions.placement import planned_tokens

# News older than this counts as nothing: the peer is gone or out of reach, and
# its runs end within seconds.
PEER_LOAD_LIFETIME_MS = 2_500.0


class ServerLoad(NamedTuple):
    """Load of one server.

    Attributes:
        run_count: Requests on it.
        committed_tokens: Memory planned for its streams and copies.
        waiting_prompt_tokens: Prompts that have not brought a first event yet.
    """

    run_count: int = 0
    committed_tokens: int = 0
    waiting_prompt_tokens: int = 0

    def plus(self, other: "ServerLoad") -> "ServerLoad":
        """Return both loads together."""
        return ServerLoad(
            self.run_count + other.run_count,
            self.committed_tokens + other.committed_tokens,
            self.waiting_prompt_tokens + other.waiting_prompt_tokens,
        )

    def without(self, other: "ServerLoad") -> "ServerLoad":
        """Return this load without a part of it; nothing falls below 0."""
        return ServerLoad(
            max(0, self.run_count - other.run_count),
            max(0, self.committed_tokens - other.committed_tokens),
            max(0, self.waiting_prompt_tokens - other.waiting_prompt_tokens),
        )


class Run:
    """One request on a server, or a copy of its memory.

    Attributes:
        server_id: The server.
        prompt_tokens: Tokens to read.
        expected_tokens: Predicted tokens of the output.
        generated_tokens: Tokens so far.
        is_copy: Whether it takes memory and no slot.
        is_prompt_pending: Whether the prompt has still to be read.
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
        waiting = self.prompt_tokens if self.is_prompt_pending else 0
        slots = 0 if self.is_copy else 1
        return ServerLoad(slots, self.planned_tokens, waiting)

    @property
    def planned_tokens(self) -> int:
        """Memory that is planned for it."""
        return planned_tokens(
            self.prompt_tokens,
            self.generated_tokens,
            self.expected_tokens,
            self.is_copy,
        )


class Ledger:
    """Load by server, from own runs and peers' news."""

    def __init__(self) -> None:
        self._runs: dict[str, set[Run]] = {}
        self._peers: dict[str, tuple[float, Mapping[str, ServerLoad]]] = {}
        self._shared: dict[str, tuple[float, ServerLoad]] = {}
        self._promised: dict[str, list[tuple[float, ServerLoad]]] = {}
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of a load."""
        self._listeners.append(listener)

    def begin(self, run: Run) -> None:
        """Count a run from now on."""
        self._runs.setdefault(run.server_id, set()).add(run)
        self._tell()

    def end(self, run: Run) -> None:
        """Count a run no more; harmless when it has ended before."""
        runs = self._runs.get(run.server_id)
        if runs and run in runs:
            runs.discard(run)
            if not runs:
                del self._runs[run.server_id]
            self._tell()

    def mark_prompt_processed(self, run: Run) -> None:
        """Note that a run's prompt has been read."""
        if run.is_prompt_pending:
            run.is_prompt_pending = False
            self._tell()

    def own_load(self, server_id: str) -> ServerLoad:
        """Return the load of this host's own runs on a server."""
        return _total(run.load() for run in self._runs.get(server_id, ()))

    def own_loads(self) -> dict[str, ServerLoad]:
        """Return this host's own load by server."""
        return {server_id: self.own_load(server_id) for server_id in self._runs}

    def servers_with_runs(self) -> set[str]:
        """Return the servers that have runs of this host or of its peers."""
        peers = (server_id for _, loads in self._peers.values() for server_id in loads)
        return {*self._runs, *peers}

    def update_peer_loads(
        self, host_id: str, loads: Mapping[str, ServerLoad], now_ms: float
    ) -> None:
        """Replace what a peer tells of its runs on servers counted here."""
        known = self._peers.get(host_id)
        self._peers[host_id] = (now_ms, loads)
        if known is None or known[1] != loads:
            self._tell()

    def set_other_hosts_load(
        self, server_id: str, load: ServerLoad, now_ms: float
    ) -> None:
        """Keep what the counting host tells of the other hosts' runs on a server."""
        self._shared[server_id] = (now_ms, load)

    def replace_other_hosts_loads(
        self,
        totals: Mapping[str, ServerLoad],
        own: Mapping[str, ServerLoad],
        now_ms: float,
    ) -> None:
        """Keep a delegate's count of the runs of all hosts, by server.

        Args:
            totals: Load of each server that has any.
            own: What the delegate was told of this host's own runs; it is in the
                totals.
            now_ms: When the count arrived.
        """
        self._shared = {
            server_id: (now_ms, load.without(own.get(server_id, ServerLoad())))
            for server_id, load in totals.items()
        }
        self._tell()

    def reserve_load(
        self, server_id: str, load: ServerLoad, now_ms: float, lifetime_ms: float
    ) -> None:
        """Count a run that another host is about to begin until its news is here."""
        for other in list(self._promised):
            self._promised_load(other, now_ms)
        promises = self._promised.setdefault(server_id, [])
        promises.append((now_ms + lifetime_ms, load))

    def combined_loads(
        self, is_counted: Callable[[str], bool], now_ms: float
    ) -> dict[str, ServerLoad]:
        """Return the own load by server with what some peers told of theirs."""
        since_ms = now_ms - PEER_LOAD_LIFETIME_MS
        sums = self.own_loads()
        for host_id, (heard_ms, loads) in self._peers.items():
            if heard_ms < since_ms or not is_counted(host_id):
                continue
            for server_id, load in loads.items():
                sums[server_id] = load.plus(sums.get(server_id, ServerLoad()))
        return sums

    def remove_peer_loads(self, host_id: str) -> None:
        """Drop what is known of a peer's runs."""
        self._peers.pop(host_id, None)

    def load(self, server_id: str, now_ms: float) -> ServerLoad:
        """Return the load of a server over all hosts."""
        heard_ms, shared = self._shared.get(server_id, (-math.inf, ServerLoad()))
        if heard_ms < now_ms - PEER_LOAD_LIFETIME_MS:
            shared = ServerLoad()
        told = self._told_load(server_id, "", now_ms)
        # One of the two is empty, but for the moment in which the count moves.
        others = max(shared, told, key=lambda load: load.committed_tokens)
        promised = self._promised_load(server_id, now_ms)
        return others.plus(self.own_load(server_id)).plus(promised)

    def load_excluding_peer(
        self, server_id: str, host_id: str, now_ms: float
    ) -> ServerLoad:
        """Return the load of a server over all hosts but one."""
        told = self._told_load(server_id, host_id, now_ms)
        return told.plus(self.own_load(server_id))

    def _promised_load(self, server_id: str, now_ms: float) -> ServerLoad:
        promises = self._promised.get(server_id)
        if not promises:
            return ServerLoad()
        kept = [each for each in promises if each[0] > now_ms]
        if kept:
            self._promised[server_id] = kept
        else:
            del self._promised[server_id]
        return _total(load for _, load in kept)

    def _told_load(self, server_id: str, without: str, now_ms: float) -> ServerLoad:
        since_ms = now_ms - PEER_LOAD_LIFETIME_MS
        return _total(
            loads[server_id]
            for host_id, (heard_ms, loads) in self._peers.items()
            if heard_ms >= since_ms and server_id in loads and host_id != without
        )

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()


def _total(loads: Iterable[ServerLoad]) -> ServerLoad:
    total = ServerLoad()
    for load in loads:
        total = total.plus(load)
    return total
