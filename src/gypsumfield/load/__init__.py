"""Load generator: runs experiments against a fleet and reports the results."""
