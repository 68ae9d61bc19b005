"""Admits and routes requests to inference engines and plain services."""
