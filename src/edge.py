"""Starts one edge host from a checkout; `python3 src/edge.py`."""

import sys

from gypsumfield.commands.edge import main

if __name__ == "__main__":
    sys.exit(main())
