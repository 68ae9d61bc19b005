"""The ablation bench finds what it replaces."""

import importlib
import sys
from operator import attrgetter
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent.parent / "bench"))

import ablation


@pytest.mark.parametrize("name", ablation.MECHANISMS)
def test_what_is_switched_off_exists(name):
    for each in ablation.MECHANISMS[name]:
        module = importlib.import_module(each.module)
        present = attrgetter(each.target)(module)
        substitute = eval(each.value)
        assert callable(present) == callable(substitute)


def test_the_program_without_a_mechanism_starts_the_same_edge_host():
    source = ablation.edge_program(ablation.MECHANISMS["going on from a copy"])
    compile(source, "edge.py", "exec")
    assert "setattr(getattr(importlib.import_module(" in source
    assert source.rstrip().endswith("sys.exit(main())")
