"""Adapters that connect the decisions to callers, back ends and peers."""
