"""Scheduling under hard load; other packages import only from this module."""

from gypsumfield.gateway.scheduling.lack_records import LackRecords
from gypsumfield.gateway.scheduling.lack_records import SUM_INTERVAL_MS
from gypsumfield.gateway.scheduling.messages import Advice
from gypsumfield.gateway.scheduling.messages import PlacementQuery
from gypsumfield.gateway.scheduling.messages import WireLack
from gypsumfield.gateway.scheduling.shortage import Shortage
from gypsumfield.gateway.scheduling.shortage import ShortageDependencies
from gypsumfield.gateway.scheduling.shortage import WaitingStream

__all__ = [
    "SUM_INTERVAL_MS",
    "Advice",
    "LackRecords",
    "PlacementQuery",
    "Shortage",
    "ShortageDependencies",
    "WaitingStream",
    "WireLack",
]
