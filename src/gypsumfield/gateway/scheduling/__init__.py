"""Scheduling under hard load; other packages import only from this module."""

from gypsumfield.gateway.scheduling.engine_paces import EnginePaces
from gypsumfield.gateway.scheduling.engine_paces import PauseOutlook
from gypsumfield.gateway.scheduling.hedged_calls import HedgedCalls
from gypsumfield.gateway.scheduling.hedged_calls import HedgeDependencies
from gypsumfield.gateway.scheduling.hedged_calls import PlannedAttempt
from gypsumfield.gateway.scheduling.lack_records import LackRecords
from gypsumfield.gateway.scheduling.lack_records import SUM_INTERVAL_MS
from gypsumfield.gateway.scheduling.messages import Advice
from gypsumfield.gateway.scheduling.messages import PlacementQuery
from gypsumfield.gateway.scheduling.messages import WireLack
from gypsumfield.gateway.scheduling.overflow import Overflow
from gypsumfield.gateway.scheduling.rescues import Rescues
from gypsumfield.gateway.scheduling.shortage import Shortage
from gypsumfield.gateway.scheduling.shortage import ShortageDependencies
from gypsumfield.gateway.scheduling.shortage import WaitingStream

__all__ = [
    "SUM_INTERVAL_MS",
    "Advice",
    "EnginePaces",
    "HedgeDependencies",
    "HedgedCalls",
    "LackRecords",
    "Overflow",
    "PauseOutlook",
    "PlacementQuery",
    "PlannedAttempt",
    "Rescues",
    "Shortage",
    "ShortageDependencies",
    "WaitingStream",
    "WireLack",
]
