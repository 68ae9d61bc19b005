"""Scheduling under hard load; other packages import only from this module."""

from gypsumfield.gateway.scheduling.hedged_calls import HedgedCalls
from gypsumfield.gateway.scheduling.hedged_calls import HedgeDependencies
from gypsumfield.gateway.scheduling.hedged_calls import PlannedAttempt

__all__ = ["HedgeDependencies", "HedgedCalls", "PlannedAttempt"]
