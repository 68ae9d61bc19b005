"""Pure decision logic: no I/O; times and random sources are passed in."""
