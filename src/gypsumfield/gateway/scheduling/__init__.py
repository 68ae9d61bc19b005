"""Decisions for streams that involve the state of other hosts."""

from gypsumfield.gateway.scheduling.shortage import Shortage

__all__ = ["Shortage"]
