"""Conversions between leases and load reports and their messages."""

from gypsumfield.decisions.lengths import FinishedLength
from gypsumfield.decisions.slots import HeldLease
from gypsumfield.decisions.slots import LoadObservation
from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.engine_api import LoadReport
from gypsumfield.interfaces import SlotOutcome
from gypsumfield.interfaces import SlotUse
from gypsumfield.messages import LeaseReport
from gypsumfield.messages import SlotRequest


def build_slot_request(backend_server: str, requested: HeldLease) -> SlotRequest:
    """Return the message that requests a lease of a backend server."""
    demand = requested.demand
    return SlotRequest(
        request_id=demand.request_id,
        backend_server=backend_server,
        service=demand.service,
        profile=demand.profile,
        account=demand.account,
        prompt_tokens=demand.prompt_tokens,
        max_tokens=demand.max_tokens,
        priority=demand.priority,
        lease_id=requested.lease_id,
    )


def requested_lease(holder: str, request: SlotRequest) -> HeldLease:
    """Return the lease that ``holder`` requests with a message."""
    return HeldLease(request.lease_id, holder, "", _demand_from_message(request))


def build_lease_report(backend_server: str, lease: HeldLease) -> LeaseReport:
    """Return the report by which its holder renews a lease."""
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


def lease_from_report(holder: str, report: LeaseReport) -> HeldLease:
    """Return the lease that a report of ``holder`` renews."""
    return HeldLease(
        report.lease_id,
        holder,
        report.boot_id,
        _demand_from_message(report),
        report.generated_tokens,
    )


def observation_from_report(
    report: LoadReport, requested_at_ms: float
) -> LoadObservation:
    """Return the observation in a load report that was requested at the given time.

    Its time is the request time less the age of the report at the engine.
    """
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
    """Return the output length that a returned lease shows, or an empty list."""
    if lease.demand.max_tokens == 0 or use.generated_tokens == 0:
        return []
    has_ended_normally = use.outcome in (SlotOutcome.COMPLETED, SlotOutcome.SLOW)
    has_reached_limit = use.generated_tokens >= lease.demand.max_tokens
    return [
        FinishedLength(
            lease.demand,
            use.generated_tokens,
            is_complete=has_ended_normally and not has_reached_limit,
        )
    ]


def _demand_from_message(message: SlotRequest | LeaseReport) -> GenerationDemand:
    return GenerationDemand(
        message.request_id,
        message.service,
        message.profile,
        message.account,
        message.prompt_tokens,
        message.max_tokens,
        message.priority,
    )
