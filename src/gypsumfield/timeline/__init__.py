"""Merges the event logs of many processes into one timeline, as text or SVG."""
