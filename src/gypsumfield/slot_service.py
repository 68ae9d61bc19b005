"""Slots of backend servers on one entry host, as owner and as holder of leases.

As owner, the host grants slots of those backend servers of its zone that
rendezvous hashing assigns to it. As holder, it requests a slot from the owner,
reports the progress, and returns the lease with the result of its request. Leases
in use are reported to the current owner, so that a new owner has received them
before its hold-down ends and it may grant slots.
"""

from typing import NamedTuple

from returns.result import Success

from gypsumfield.clock import Clock
from gypsumfield.control_loop import ControlLoop
from gypsumfield.decisions.ownership import HOLD_DOWN_MS
from gypsumfield.decisions.ownership import owner_of
from gypsumfield.decisions.ownership import Ownership
from gypsumfield.decisions.slots import BackendSlots
from gypsumfield.decisions.slots import HeldLease
from gypsumfield.decisions.slots import LEASE_MS
from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.engine_api import LoadReport
from gypsumfield.events import BackendTurnedCold
from gypsumfield.events import SlotGranted
from gypsumfield.events import SlotReturned
from gypsumfield.interfaces import EmitEvent
from gypsumfield.interfaces import SlotAllocator
from gypsumfield.interfaces import SlotLease
from gypsumfield.interfaces import SlotOutcome
from gypsumfield.interfaces import SlotRefusal
from gypsumfield.interfaces import SlotUse
from gypsumfield.messages import ControlMessage
from gypsumfield.messages import LeaseReport
from gypsumfield.messages import SlotGrant
from gypsumfield.messages import SlotProgress
from gypsumfield.messages import SlotRefused
from gypsumfield.messages import SlotRequest
from gypsumfield.messages import SlotReturn
from gypsumfield.slot_messages import build_lease_report
from gypsumfield.slot_messages import build_slot_request
from gypsumfield.slot_messages import finished_lengths
from gypsumfield.slot_messages import lease_from_report
from gypsumfield.slot_messages import observation_from_report
from gypsumfield.slot_messages import requested_lease
from gypsumfield.slot_sources import SlotSources

TICK_INTERVAL_MS = 250.0
ACQUIRE_TIMEOUT_MS = 200.0
UNRESPONSIVE_OWNER_RETRY_MS = 500.0
RENEWALS_PER_LEASE = 3
# Keeps a message small enough for a slow link.
MAX_LEASES_PER_MESSAGE = 64


class _LocalLease(NamedTuple):
    """A lease that this host holds, and the owner that granted it."""

    lease: HeldLease
    backend_server: str
    owner: str


class SlotService:
    """Grants, holds and returns leases on one entry host.

    Args:
        loop: Control loop of this host.
        clock: Monotonic clock.
        zone: Availability zone of this host.
        sources: Membership and admission functions.
        emit: Writes an event to the log.
        hold_down_ms: Time that a new owner waits before it grants slots; must be
            longer than ``lease_ms``.
        lease_ms: Duration of a lease that is not renewed.

    Raises:
        ValueError: The hold-down is not longer than a lease.
    """

    def __init__(
        self,
        loop: ControlLoop,
        clock: Clock,
        zone: str,
        sources: SlotSources,
        emit: EmitEvent,
        hold_down_ms: float = HOLD_DOWN_MS,
        lease_ms: float = LEASE_MS,
    ) -> None:
        if hold_down_ms <= lease_ms:
            raise ValueError(
                f"hold-down of {hold_down_ms:g} ms is not longer than a lease "
                f"of {lease_ms:g} ms"
            )
        self._loop = loop
        self._clock = clock
        self._zone = zone
        self._sources = sources
        self._emit = emit
        self._lease_ms = lease_ms
        self._ownership = Ownership(
            loop.host_id, clock.monotonic_ms(), hold_down_ms, lease_ms
        )
        self._backends: dict[str, BackendSlots] = {}
        self._local_leases: dict[str, _LocalLease] = {}
        self._lease_count = 0
        self._renewed_at_ms = clock.monotonic_ms()

    def start(self) -> None:
        """Register the handlers and the tick with the control loop."""
        self._loop.register(SlotRequest, self._handle_request)
        self._loop.register(SlotProgress, self._handle_progress)
        self._loop.register(SlotReturn, self._handle_return)
        self._loop.add_tick(TICK_INTERVAL_MS, self._tick)
        self._tick(self._clock.monotonic_ms())

    def allocator(self) -> SlotAllocator:
        """Return the functions of this service that request handling uses."""
        return SlotAllocator(
            acquire=self.acquire,
            report_progress=self.report_progress,
            release=self.release,
        )

    def acquire(
        self, backend_server: str, demand: GenerationDemand
    ) -> SlotLease | SlotRefusal:
        """Request a slot from the owner of ``backend_server`` and await its answer."""
        owner = self._owner_of(backend_server)
        if owner is None:
            return SlotRefusal(
                f"{backend_server}: no entry host of its zone is known",
                UNRESPONSIVE_OWNER_RETRY_MS,
            )
        requested_at_ms = self._clock.monotonic_ms()
        self._lease_count += 1
        lease_id = f"{self._loop.host_id}/{self._loop.boot_id}/{self._lease_count}"
        requested = HeldLease(lease_id, self._loop.host_id, "", demand)
        if owner == self._loop.host_id:
            answer = self._grant(backend_server, requested)
        else:
            answer = self._request_from_owner(owner, backend_server, requested)
        if isinstance(answer, SlotRefusal):
            return answer
        self._local_leases[lease_id] = _LocalLease(answer, backend_server, owner)
        send_before_ms = requested_at_ms + self._lease_ms
        return SlotLease(
            lease_id, backend_server, answer.boot_id, owner, send_before_ms
        )

    def report_progress(self, lease: SlotLease, generated_tokens: int) -> None:
        """Record the number of tokens so far; the next renewal reports it."""
        local_lease = self._local_leases.get(lease.lease_id)
        if local_lease is not None:
            held = local_lease.lease._replace(generated_tokens=generated_tokens)
            self._local_leases[lease.lease_id] = local_lease._replace(lease=held)

    def release(self, lease: SlotLease, use: SlotUse) -> None:
        """Return a lease with the result of its request; repeated calls do nothing."""
        local_lease = self._local_leases.pop(lease.lease_id, None)
        if local_lease is None:
            return
        # The owner may have changed; the host that granted the lease counts it as well.
        owners = {local_lease.owner, self._owner_of(lease.backend_server)}
        for owner in owners - {None}:
            self._send_return(str(owner), lease.backend_server, lease.lease_id, use)

    def observe_load(
        self, backend_server: str, report: LoadReport, requested_at_ms: float
    ) -> None:
        """Record a load report that was requested at ``requested_at_ms``."""
        slots = self._get_or_create_slots(backend_server)
        if slots is None:
            return
        observation = observation_from_report(report, requested_at_ms)
        was_cold = slots.is_cold
        slots.observe(observation, self._clock.monotonic_ms())
        self._log_turned_cold(backend_server, slots, was_cold)

    def observe_no_answer(self, backend_server: str) -> None:
        """Record that a backend server did not answer a load request."""
        slots = self._get_or_create_slots(backend_server)
        if slots is None:
            return
        was_cold = slots.is_cold
        slots.observe_no_answer(self._clock.monotonic_ms())
        self._log_turned_cold(backend_server, slots, was_cold)

    def retire(self) -> None:
        """Stop granting slots, because this host is about to stop."""
        self._ownership.retire()

    def record_release(self, host: str) -> None:
        """Record that another host has retired, as that host itself has confirmed."""
        self._ownership.record_release(host, self._clock.monotonic_ms())

    def is_owner(self, backend_server: str) -> bool:
        """Return whether this host is the owner, even during its hold-down."""
        return self._owner_of(backend_server) == self._loop.host_id

    @property
    def held_count(self) -> int:
        """Number of leases that this host holds."""
        return len(self._local_leases)

    @property
    def granted_count(self) -> int:
        """Number of leases that this host has on record as an owner."""
        return sum(slots.granted_count for slots in self._backends.values())

    def is_active_owner(self, backend_server: str) -> bool:
        """Return whether this host is the owner and its hold-down has ended."""
        description = self._sources.describe_backend(backend_server)
        if description is None or description.zone != self._zone:
            return False
        now_ms = self._clock.monotonic_ms()
        return self._ownership.owns(_resource(backend_server), now_ms)

    def free_count(self, backend_server: str) -> int:
        """Return how many slots this owner could grant now, regardless of memory."""
        slots = self._backends.get(backend_server)
        now_ms = self._clock.monotonic_ms()
        if slots is None or not self._ownership.owns(_resource(backend_server), now_ms):
            return 0
        return slots.free_count(now_ms)

    def _tick(self, now_ms: float) -> None:
        if self._ownership.update(self._sources.read_view(), now_ms):
            # The records of this host as owner may be outdated.
            self._backends.clear()
        for backend_server in list(self._backends):
            if not self.is_owner(backend_server):
                del self._backends[backend_server]
        if now_ms - self._renewed_at_ms >= self._lease_ms / RENEWALS_PER_LEASE:
            self._renewed_at_ms = now_ms
            self._renew_leases()

    def _renew_leases(self) -> None:
        reports_by_owner: dict[str, list[LeaseReport]] = {}
        for local_lease in self._local_leases.values():
            owner = self._owner_of(local_lease.backend_server)
            if owner is not None:
                reports_by_owner.setdefault(owner, []).append(
                    build_lease_report(local_lease.backend_server, local_lease.lease)
                )
        for owner, reports in reports_by_owner.items():
            for start in range(0, len(reports), MAX_LEASES_PER_MESSAGE):
                batch = tuple(reports[start : start + MAX_LEASES_PER_MESSAGE])
                self._send_or_handle(owner, SlotProgress(leases=batch))

    def _send_or_handle(self, owner: str, message: SlotProgress | SlotReturn) -> None:
        if owner != self._loop.host_id:
            self._loop.send(owner, message)
        elif isinstance(message, SlotProgress):
            self._handle_progress(owner, message)
        else:
            self._handle_return(owner, message)

    def _send_return(
        self, owner: str, backend_server: str, lease_id: str, use: SlotUse
    ) -> None:
        message = SlotReturn(
            lease_id=lease_id,
            backend_server=backend_server,
            outcome=use.outcome.value,
            generated_tokens=use.generated_tokens,
            first_token_ms=use.first_token_ms,
        )
        self._send_or_handle(owner, message)

    def _request_from_owner(
        self, owner: str, backend_server: str, requested: HeldLease
    ) -> HeldLease | SlotRefusal:
        request = build_slot_request(backend_server, requested)
        result = self._loop.request(owner, request, ControlMessage, ACQUIRE_TIMEOUT_MS)
        answer = result.unwrap() if isinstance(result, Success) else None
        if isinstance(answer, SlotRefused):
            return SlotRefusal(
                answer.reason, answer.retry_after_ms, answer.is_account_held_back
            )
        if isinstance(answer, SlotGrant) and answer.lease_id == requested.lease_id:
            return requested._replace(boot_id=answer.boot_id)
        # The owner may have granted the lease although its answer did not arrive.
        use = SlotUse(SlotOutcome.NOT_SENT)
        self._send_return(owner, backend_server, requested.lease_id, use)
        return SlotRefusal(
            f"{backend_server}: its owner {owner} did not answer",
            UNRESPONSIVE_OWNER_RETRY_MS,
        )

    def _grant(
        self, backend_server: str, requested: HeldLease
    ) -> HeldLease | SlotRefusal:
        now_ms = self._clock.monotonic_ms()
        resource = _resource(backend_server)
        slots = self._get_or_create_slots(backend_server)
        if slots is None or not self._ownership.owns(resource, now_ms):
            wait_ms = self._ownership.wait_ms(resource, now_ms)
            return SlotRefusal(
                f"{backend_server}: {self._loop.host_id} is not its owner yet",
                max(wait_ms, UNRESPONSIVE_OWNER_RETRY_MS),
            )
        answer = slots.request(requested, now_ms)
        if isinstance(answer, HeldLease):
            self._emit(
                SlotGranted(
                    backend_server=backend_server, holder=requested.holder, slot_count=1
                )
            )
        return answer

    def _handle_request(
        self, sender: str, message: SlotRequest
    ) -> SlotGrant | SlotRefused:
        backend_server = message.backend_server
        requested = requested_lease(sender, message)
        answer = self._grant(backend_server, requested)
        if isinstance(answer, SlotRefusal):
            return SlotRefused(
                backend_server=backend_server,
                reason=answer.reason,
                retry_after_ms=answer.retry_after_ms,
                is_account_held_back=answer.is_account_held_back,
                lease_id=message.lease_id,
            )
        return SlotGrant(
            lease_id=answer.lease_id,
            backend_server=backend_server,
            boot_id=answer.boot_id,
            lease_ms=self._lease_ms,
        )

    def _handle_progress(self, sender: str, message: SlotProgress) -> None:
        now_ms = self._clock.monotonic_ms()
        for report in message.leases:
            slots = self._get_or_create_slots(report.backend_server)
            if slots is not None:
                slots.renew(lease_from_report(sender, report), now_ms)

    def _handle_return(self, sender: str, message: SlotReturn) -> None:
        slots = self._get_or_create_slots(message.backend_server)
        if slots is None:
            return
        outcome = SlotOutcome(message.outcome)
        use = SlotUse(outcome, message.generated_tokens, message.first_token_ms)
        was_cold = slots.is_cold
        now_ms = self._clock.monotonic_ms()
        lease = slots.close_lease(message.lease_id, use, now_ms)
        if lease is not None and sender != self._loop.host_id:
            for finished in finished_lengths(lease, use):
                self._sources.record_output_length(finished)
        self._emit(
            SlotReturned(
                backend_server=message.backend_server, holder=sender, slot_count=1
            )
        )
        self._log_turned_cold(message.backend_server, slots, was_cold)

    def _get_or_create_slots(self, backend_server: str) -> BackendSlots | None:
        """Return the record of a server that this host may own, else None."""
        description = self._sources.describe_backend(backend_server)
        if description is None or description.zone != self._zone:
            return None
        slots = self._backends.get(backend_server)
        if slots is None:
            slots = BackendSlots(
                self._sources.can_admit,
                description.is_reporting,
                lease_ms=self._lease_ms,
                read_target_ms=self._sources.read_target_ms,
            )
            self._backends[backend_server] = slots
        if description.boot_id and not description.is_reporting:
            slots.observe_boot(description.boot_id, self._clock.monotonic_ms())
        return slots

    def _owner_of(self, backend_server: str) -> str | None:
        description = self._sources.describe_backend(backend_server)
        if description is None:
            return None
        hosts = self._sources.read_hosts().get(description.zone, frozenset())
        if description.zone == self._zone:
            hosts |= {self._loop.host_id}
        return owner_of(_resource(backend_server), hosts)

    def _log_turned_cold(
        self, backend_server: str, slots: BackendSlots, was_cold: bool
    ) -> None:
        if slots.is_cold and not was_cold:
            self._emit(
                BackendTurnedCold(
                    backend_server=backend_server, reason=slots.cold_reason
                )
            )


def _resource(backend_server: str) -> str:
    return f"slots/{backend_server}"
