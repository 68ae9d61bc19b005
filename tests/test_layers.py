"""Layers of the modules: decisions do no I/O, only the adapter names the platform."""

import ast
import re
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
def test_a_decision_imports_no_input_or_output(path):
    roots = {name.partition(".")[0] for name in imported_names(path)}
    assert not roots & FORBIDDEN
    layers = {name.split(".")[1] for name in imported_names(path) if "." in name}
    assert not layers & {"adapters", "commands", "standins"}


def test_no_decision_loads_the_network_indirectly():
    names = ", ".join(f"gypsumfield.decisions.{path.stem}" for path in DECISIONS)
    loaded = f"set(sys.modules) & {FORBIDDEN - {'time', 'socket'}!r}"
    program = f"import sys, {names}; print(sorted({loaded}))"
    process = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert process.stdout.strip() == "[]"


SOURCES = Path(gypsumfield.decisions.__file__).parent.parent
# Names of the users' platform, which only its adapter may contain.
WIRE_NAMES = re.compile(
    r"kv-watch|kv-range|kv-move|kv-key|X-Response-Seal|X-Expect-Instance|"
    r"X-Not-Executed|X-Attempt-Id|X-Kv-Backup|Kv-From|X-Token-Counts|X-Tenant|"
    r"traffic_split|cold_remaining_ms|seed_nodes|GYPSUMFIELD_NODE_FILE|op/config"
)


def test_no_module_outside_the_adapter_contains_a_name_of_the_platform():
    offending = [
        path.relative_to(SOURCES)
        for path in sorted(SOURCES.rglob("*.py"))
        if "platform" not in path.relative_to(SOURCES).parts[:1]
        and WIRE_NAMES.search(path.read_text())
    ]
    assert offending == []


def test_the_adapter_imports_no_decision():
    for path in sorted((SOURCES / "platform").glob("*.py")):
        layers = {".".join(n.split(".")[1:2]) for n in imported_names(path) if "." in n}
        assert "decisions" not in layers, path


def test_the_serving_process_loads_no_tool():
    program = "import sys, gypsumfield.commands.edge; print(sorted(sys.modules))"
    process = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    for name in ("matplotlib", "cleo", "falcon", "gypsumfield.load.driver"):
        assert f"'{name}'" not in process.stdout


def test_scheduling_is_imported_only_through_its_package():
    package = "gypsumfield.gateway.scheduling"
    offending = [
        path.relative_to(SOURCES)
        for path in sorted(SOURCES.rglob("*.py"))
        if path.parent != SOURCES / "gateway" / "scheduling"
        and any(name.startswith(f"{package}.") for name in imported_names(path))
    ]
    assert not offending
