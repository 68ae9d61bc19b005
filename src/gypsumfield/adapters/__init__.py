"""Network and log adapters for callers, backend servers, peers and the platform."""
