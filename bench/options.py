"""Options that the benches of the policy share."""

import argparse

from workloads import SHAPES


def shape_parser(description: str | None) -> argparse.ArgumentParser:
    """Return a parser of shape, seed and length of a run."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--json", action="store_true", help="print JSON (the default)")
    parser.add_argument("--shape", choices=sorted(SHAPES), default="heavy_tail")
    parser.add_argument("--all", action="store_true", help="one object for each shape")
    parser.add_argument("--quick", action="store_true", help="a short run")
    parser.add_argument("--seed", type=int, default=1)
    return parser
