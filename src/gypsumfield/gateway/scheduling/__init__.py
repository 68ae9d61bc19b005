"""Scheduling under hard load; other packages import only from this module."""
