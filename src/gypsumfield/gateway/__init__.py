"""Transparent proxy: passes requests unchanged to the servers of their route."""
