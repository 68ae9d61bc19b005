"""The ablation bench patches names that exist in the sources."""

import importlib
import sys
from operator import attrgetter
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent.parent / "bench"))

import ablation


@pytest.mark.parametrize("name", ablation.MECHANISMS)
def test_every_patched_name_exists(name):
    for substitute in ablation.MECHANISMS[name]:
        module = importlib.import_module(substitute.module)
        original = attrgetter(substitute.target)(module)
        replacement = eval(substitute.value)
        assert callable(original) == callable(replacement)


def test_the_program_without_a_mechanism_starts_the_same_edge_host():
    source = ablation.edge_program(ablation.MECHANISMS["going on from a copy"])
    compile(source, "edge.py", "exec")
    assert "setattr(getattr(importlib.import_module(" in source
    assert source.rstrip().endswith("sys.exit(main())")
