"""Copies of one run's key-value cache on other engines, from which it can resume."""

from collections.abc import Callable
from typing import NamedTuple

from gypsumfield.decisions.placement import planned_tokens
from gypsumfield.decisions.software_versions import ANY_VERSION
from gypsumfield.decisions.software_versions import begun_at
from gypsumfield.gateway.calls import ResumePoint
from gypsumfield.gateway.events import CopyChosen
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.ledger import Run
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.placing import Placer
from gypsumfield.interfaces import EmitEvent

# A run with fewer remaining tokens ends before a copy of it is useful.
MIN_BACKED_UP_TOKENS = 60


class OnDemandCopy(NamedTuple):
    """Copy of a run's key-value cache that was made after the run's start.

    Attributes:
        server: Engine that holds the copy.
        resume: Position from which the run resumes; it names the copy.
        started_ms: Monotonic time at which copying began.
        run: Ledger entry of the copy, which counts its load on that engine.
    """

    server: BackendServer
    resume: ResumePoint
    started_ms: float
    run: Run


class CopyDependencies(NamedTuple):
    """Dependencies of `RunCopies`.

    Attributes:
        placer: Selects engines for copies.
        ledger: Runs and copies in flight.
        can_back_up: Returns whether the engines of a service support copies from
            a run's start.
        emit: Writes an event to the log.
    """

    placer: Placer
    ledger: Ledger
    can_back_up: Callable[[str], bool]
    emit: EmitEvent


class RunCopies:
    """The copies of one run: a backup from its start and one made on demand.

    The backup grows with the run. The on-demand copy is made when the run's engine
    announces that it will leave.

    Attributes:
        on_demand_copy: The on-demand copy, or None.
        refused_at_ms: Monotonic time at which no engine had free memory for an
            on-demand copy; 0 for never.
    """

    def __init__(self, deps: CopyDependencies, job: Job) -> None:
        self.on_demand_copy: OnDemandCopy | None = None
        self.refused_at_ms = 0.0
        self._deps = deps
        self._job = job
        self._backup: BackendServer | None = None
        self._backup_run: Run | None = None
        self._backup_requirement = ANY_VERSION
        self._is_closed = False

    @property
    def backup_address(self) -> str:
        """Address of the engine that keeps the backup, or empty."""
        return self._backup.address if self._backup else ""

    @property
    def has_usable_backup(self) -> bool:
        """Whether the run could resume from its backup now."""
        return bool(
            self._backup
            and not self._deps.placer.exclusion_reason(
                self._backup, self._backup_requirement
            )
        )

    def select_backup(
        self, server: BackendServer, expected_tokens: int, generated_tokens: int
    ) -> None:
        """Select the engine that keeps the backup of a run that starts on ``server``.

        A previous backup is released. Runs with few remaining tokens get none.
        """
        self._release_backup()
        service = self._job.service
        remaining_tokens = expected_tokens - generated_tokens
        if remaining_tokens < MIN_BACKED_UP_TOKENS or not self._deps.can_back_up(
            service
        ):
            return
        prompt_tokens = self._job.call.prompt_tokens
        planned = planned_tokens(
            prompt_tokens, generated_tokens, expected_tokens, is_copy=True
        )
        self._backup = self._deps.placer.place_backup(server, planned)
        self._backup_requirement = begun_at(server.software_version)
        if self._backup is not None:
            run = Run(
                self._backup.server_id, prompt_tokens, expected_tokens, is_copy=True
            )
            run.generated_tokens = generated_tokens
            self._backup_run = run
            self._deps.ledger.begin(run)
        self._deps.emit(
            CopyChosen(
                request_id=self._job.request_id,
                account=self._job.account_name,
                service=service,
                backend_server=server.server_id,
                target=self._backup.server_id if self._backup else "",
                software_version=server.software_version,
                target_version=self._backup.software_version if self._backup else "",
            )
        )

    def record_generated(self, generated_tokens: int) -> None:
        """Update the backup's load on its engine with the run's progress."""
        if self._backup_run is not None:
            self._backup_run.generated_tokens = generated_tokens

    def resume_points(self) -> list[tuple[BackendServer, ResumePoint]]:
        """Return the engines and positions to resume from now, the best first."""
        copies = []
        if self._backup is not None and self.has_usable_backup:
            resume = ResumePoint("", self._backup.address, self._job.request_id)
            copies.append((self._backup, resume))
        if self.on_demand_copy is not None:
            copies.append((self.on_demand_copy.server, self.on_demand_copy.resume))
        return copies

    def replace_on_demand_copy(self, on_demand_copy: OnDemandCopy) -> None:
        """Store an on-demand copy and release the previous one.

        After `close` the new copy is released at once.
        """
        self.release_on_demand_copy()
        if self._is_closed:
            self._deps.ledger.end(on_demand_copy.run)
            return
        self.on_demand_copy = on_demand_copy

    def release_on_demand_copy(self) -> None:
        """Release the on-demand copy: the run has resumed or ended."""
        if self.on_demand_copy is not None:
            self._deps.ledger.end(self.on_demand_copy.run)
        self.on_demand_copy = None
        self.refused_at_ms = 0.0

    def close(self) -> None:
        """Release all copies: the run has ended."""
        self._is_closed = True
        self._release_backup()
        self.release_on_demand_copy()

    def _release_backup(self) -> None:
        if self._backup_run is not None:
            self._deps.ledger.end(self._backup_run)
        self._backup = None
        self._backup_run = None
