"""Runs an experiment against the fleet that it describes, in separate processes.

Starts stand-ins and entry hosts, runs gypsumfield-load against them and writes
result, report and logs to the output directory.
"""

import argparse
import json
import subprocess
import sys
import tempfile
from pathlib import Path

from fleet_processes import ProcessFleet
from gypsumfield.load.experiment import published_values
from gypsumfield.load.experiment import read_experiment

READY_EXPERIMENTS = Path(__file__).parents[1] / "src" / "gypsumfield" / "data"


def main() -> int:
    """Run one experiment and return the exit status of gypsumfield-load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("experiment", help="name of a ready experiment, or a file")
    parser.add_argument("--out", required=True, help="directory for the results")
    options = parser.parse_args()
    ready = READY_EXPERIMENTS / f"{options.experiment}.json"
    path = ready if ready.exists() else Path(options.experiment)
    experiment = read_experiment(str(path))
    if experiment.fleet is None:
        raise SystemExit(f"{path}: field `fleet` is missing")
    out = Path(options.out)
    out.mkdir(parents=True, exist_ok=True)
    program = Path(sys.executable).with_name("gypsumfield-load")
    with tempfile.TemporaryDirectory() as directory:
        fleet = ProcessFleet(
            experiment.fleet, published_values(experiment), Path(directory)
        )
        with fleet as description:
            fleet_path = out / "fleet.json"
            fleet_path.write_text(json.dumps(description))
            process = subprocess.run(
                [program, "run", path, "--fleet", fleet_path, "--out", out], check=False
            )
        for log_path in fleet.log_paths:
            (out / log_path.name).write_bytes(log_path.read_bytes())
    return process.returncode


if __name__ == "__main__":
    sys.exit(main())
