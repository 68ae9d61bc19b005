"""Scheduling under hard load; other packages import only from this module."""

from gypsumfield.gateway.scheduling.overflow import Overflow
from gypsumfield.gateway.scheduling.rescues import Rescues

__all__ = ["Overflow", "Rescues"]
