"""Scheduling under hard load; other packages import only from this module."""

from gypsumfield.gateway.scheduling.engine_paces import EnginePaces
from gypsumfield.gateway.scheduling.engine_paces import PauseOutlook
from gypsumfield.gateway.scheduling.hedged_calls import HedgedCalls
from gypsumfield.gateway.scheduling.hedged_calls import HedgeDependencies
from gypsumfield.gateway.scheduling.hedged_calls import PlannedAttempt
from gypsumfield.gateway.scheduling.rescues import Rescues
from gypsumfield.gateway.scheduling.shortage import Shortage

__all__ = [
    "EnginePaces",
    "HedgeDependencies",
    "HedgedCalls",
    "PauseOutlook",
    "PlannedAttempt",
    "Rescues",
    "Shortage",
]
