"""Starts one edge host from a checkout; `python3 src/edge.py`."""

import signal
import sys

# Until the host handles it, a changed settings file must not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from gypsumfield.commands.edge import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
