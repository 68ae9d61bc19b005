"""Merges the event logs of many processes into one time line, as text or SVG."""
