import ast
import subprocess
import sys
from pathlib import Path

import pytest

import gypsumfield.decisions

DECISIONS = sorted(Path(gypsumfield.decisions.__file__).parent.glob("*.py"))
FORBIDDEN = {"falcon", "gevent", "geventhttpclient", "socket", "time", "zmq"}


def imported_names(path: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module or "")
    return names


@pytest.mark.parametrize("path", DECISIONS, ids=lambda path: path.stem)
def test_a_decision_imports_nothing_impure(path):
    roots = {name.partition(".")[0] for name in imported_names(path)}
    assert not roots & FORBIDDEN
    layers = {name.split(".")[1] for name in imported_names(path) if "." in name}
    assert not layers & {"adapters", "commands", "standins"}


def test_no_decision_loads_the_network_behind_its_back():
    names = ", ".join(f"gypsumfield.decisions.{path.stem}" for path in DECISIONS)
    loaded = f"set(sys.modules) & {FORBIDDEN - {'time', 'socket'}!r}"
    program = f"import sys, {names}; print(sorted({loaded}))"
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "[]"
