"""Load and experiment tool: arrivals, client, recorder, reports."""
