"""Decision functions and state without input/output, clocks or global randomness."""
