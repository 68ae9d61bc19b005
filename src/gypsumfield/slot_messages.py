"""Conversions between slots as decisions know them and their messages."""

from gypsumfield.decisions.lengths import FinishedLength
from gypsumfield.decisions.slots import HeldLease
from gypsumfield.decisions.slots import LoadObservation
from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.engine_api import LoadReport
from gypsumfield.interfaces import SlotOutcome
from gypsumfield.interfaces import SlotUse
from gypsumfield.messages import LeaseReport
from gypsumfield.messages import SlotRequest


def request_of(backend_server: str, wanted: HeldLease) -> SlotRequest:
    """Return the request for a lease of a backend server."""
    demand = wanted.demand
    return SlotRequest(
        request_id=demand.request_id,
        backend_server=backend_server,
        service=demand.service,
        profile=demand.profile,
        account=demand.account,
        prompt_tokens=demand.prompt_tokens,
        max_tokens=demand.max_tokens,
        priority=demand.priority,
        lease_id=wanted.lease_id,
    )


def wanted_lease(holder: str, request: SlotRequest) -> HeldLease:
    """Return the lease that a request of ``holder`` asks for."""
    return HeldLease(request.lease_id, holder, "", _demand_of(request))


def report_of(backend_server: str, lease: HeldLease) -> LeaseReport:
    """Return what renews a lease."""
    demand = lease.demand
    return LeaseReport(
        lease_id=lease.lease_id,
        backend_server=backend_server,
        boot_id=lease.boot_id,
        generated_tokens=lease.generated_tokens,
        request_id=demand.request_id,
        service=demand.service,
        profile=demand.profile,
        account=demand.account,
        prompt_tokens=demand.prompt_tokens,
        max_tokens=demand.max_tokens,
        priority=demand.priority,
    )


def lease_of(holder: str, report: LeaseReport) -> HeldLease:
    """Return the lease that a report of ``holder`` renews."""
    return HeldLease(
        report.lease_id,
        holder,
        report.boot_id,
        _demand_of(report),
        report.generated_tokens,
    )


def observation_of(report: LoadReport, requested_at_ms: float) -> LoadObservation:
    """Return a load report as of when it was taken, asked for at that time."""
    return LoadObservation(
        boot_id=report.boot_id,
        is_cold=report.is_cold,
        running_count=report.running_count,
        waiting_count=report.waiting_count,
        memory_limit_tokens=report.memory_limit_tokens,
        taken_at_ms=requested_at_ms - report.report_age_ms,
        memory_used_tokens=report.memory_used_tokens,
        preemption_count=report.preemption_count,
        step_time_ms=report.step_time_ms,
    )


def finished_lengths(lease: HeldLease, use: SlotUse) -> list[FinishedLength]:
    """Return what a returned lease tells of output lengths, if anything."""
    if lease.demand.max_tokens == 0 or use.generated_tokens == 0:
        return []
    is_whole = use.outcome in (SlotOutcome.COMPLETED, SlotOutcome.SLOW)
    is_cut = use.generated_tokens >= lease.demand.max_tokens
    return [
        FinishedLength(
            lease.demand, use.generated_tokens, is_complete=is_whole and not is_cut
        )
    ]


def _demand_of(message: SlotRequest | LeaseReport) -> GenerationDemand:
    return GenerationDemand(
        message.request_id,
        message.service,
        message.profile,
        message.account,
        message.prompt_tokens,
        message.max_tokens,
        message.priority,
    )
