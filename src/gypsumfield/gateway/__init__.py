"""Transparent serving surface: calls pass unchanged to the servers of their route."""
