"""Copies of one run's memory on other engines, from which it can go on."""

from collections.abc import Callable
from typing import NamedTuple

from gypsumfield.decisions.placement import planned_tokens
from gypsumfield.gateway.calls import ResumePoint
from gypsumfield.gateway.events import CopyChosen
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.ledger import Run
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.placing import Placer
from gypsumfield.ports import EmitEvent

# A shorter run is over before a copy of it is of use.
SHORTEST_BACKED_UP_TOKENS = 60


class Standby(NamedTuple):
    """Copy of a run's memory that was made after its start.

    Attributes:
        server: Engine that holds the copy.
        resume: Its name.
        made_ms: When the copy was begun.
        run: Its part of that engine's load.
    """

    server: BackendServer
    resume: ResumePoint
    made_ms: float
    run: Run


class CopyDependencies(NamedTuple):
    """What keeping copies uses.

    Attributes:
        placer: Chooses engines for copies.
        ledger: Runs and copies in flight.
        can_back_up: Whether engines of a service keep copies of runs.
        emit: Log.
    """

    placer: Placer
    ledger: Ledger
    can_back_up: Callable[[str], bool]
    emit: EmitEvent


class RunCopies:
    """The copy that grows with a run from its start, and one that is made later.

    Attributes:
        standby: Copy that was made later, or None.
        refused_ms: When no engine had room for a later copy; 0 for never.
    """

    def __init__(self, ports: CopyDependencies, job: Job) -> None:
        self.standby: Standby | None = None
        self.refused_ms = 0.0
        self._ports = ports
        self._job = job
        self._backup: BackendServer | None = None
        self._backup_run: Run | None = None
        self._is_closed = False

    @property
    def backup_address(self) -> str:
        """Address of the engine that keeps a copy from the start, or empty."""
        return self._backup.address if self._backup else ""

    @property
    def has_backup(self) -> bool:
        """Whether the run could go on from its first copy now."""
        return bool(
            self._backup and not self._ports.placer.exclusion_reason(self._backup)
        )

    def select_backup_engine(
        self, server: BackendServer, expected_tokens: int, generated_tokens: int
    ) -> None:
        """Choose the engine that keeps a copy of a run that begins on ``server``."""
        self._drop_backup()
        service = self._job.service
        left_tokens = expected_tokens - generated_tokens
        if left_tokens < SHORTEST_BACKED_UP_TOKENS or not self._ports.can_back_up(
            service
        ):
            return
        prompt_tokens = self._job.call.prompt_tokens
        planned = planned_tokens(
            prompt_tokens, generated_tokens, expected_tokens, is_copy=True
        )
        self._backup = self._ports.placer.place_backup(
            service, planned, server.server_id
        )
        if self._backup is not None:
            run = Run(
                self._backup.server_id, prompt_tokens, expected_tokens, is_copy=True
            )
            run.generated_tokens = generated_tokens
            self._backup_run = run
            self._ports.ledger.begin(run)
        self._ports.emit(
            CopyChosen(
                request_id=self._job.request_id,
                account=self._job.account_name,
                service=service,
                backend_server=server.server_id,
                target=self._backup.server_id if self._backup else "",
            )
        )

    def note_generated(self, generated_tokens: int) -> None:
        """Note how far the run is; its first copy grows with it."""
        if self._backup_run is not None:
            self._backup_run.generated_tokens = generated_tokens

    def resume_points(self) -> list[tuple[BackendServer, ResumePoint]]:
        """Return where the run could go on now, the best first."""
        copies = []
        if self._backup is not None and self.has_backup:
            resume = ResumePoint("", self._backup.address, self._job.request_id)
            copies.append((self._backup, resume))
        if self.standby is not None:
            copies.append((self.standby.server, self.standby.resume))
        return copies

    def take_standby(self, standby: Standby) -> None:
        """Keep a copy that was made later, in place of an earlier one."""
        self.drop_standby()
        if self._is_closed:
            self._ports.ledger.end(standby.run)
            return
        self.standby = standby

    def drop_standby(self) -> None:
        """Forget the later copy; the run has gone on, or has ended."""
        if self.standby is not None:
            self._ports.ledger.end(self.standby.run)
        self.standby = None
        self.refused_ms = 0.0

    def close(self) -> None:
        """Forget all copies: the run has ended."""
        self._is_closed = True
        self._drop_backup()
        self.drop_standby()

    def _drop_backup(self) -> None:
        if self._backup_run is not None:
            self._ports.ledger.end(self._backup_run)
        self._backup = None
        self._backup_run = None
