"""Command line options shared by the policy benches."""

import argparse

from workloads import SHAPES


def shape_parser(description: str | None) -> argparse.ArgumentParser:
    """Return a parser for the shape, the seed and the length of a run."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--json", action="store_true", help="print JSON (the default)")
    parser.add_argument("--shape", choices=sorted(SHAPES), default="heavy_tail")
    parser.add_argument("--all", action="store_true", help="one object for each shape")
    parser.add_argument("--quick", action="store_true", help="a short run")
    parser.add_argument("--seed", type=int, default=1)
    return parser
