import json

import pytest

from golden_sessions import FOLDER
from golden_sessions import SESSIONS


@pytest.mark.parametrize("name", SESSIONS)
def test_a_session_runs_as_recorded(name):
    recorded = json.loads((FOLDER / f"{name}.json").read_text())
    assert SESSIONS[name]() == recorded


def test_every_recorded_session_is_run():
    assert {path.stem for path in FOLDER.glob("*.json")} == set(SESSIONS)
