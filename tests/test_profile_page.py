"""The profiles that operators are shown can be published as they stand."""

import json
import re
from pathlib import Path

import pytest

from gypsumfield.configuration import parse_value
from gypsumfield.configuration import Profile

PAGE = Path(__file__).resolve().parent.parent / "docs" / "operators" / "profiles.md"
SHOWN = re.findall(r"```json\n(.*?)```", PAGE.read_text(), re.DOTALL)


def test_four_profiles_are_shown():
    assert len(SHOWN) == 4


@pytest.mark.parametrize("text", SHOWN)
def test_profile_is_accepted(text):
    assert isinstance(parse_value("profiles/shown", json.loads(text)), Profile)


def test_every_field_is_explained():
    named = set(re.findall(r"`([a-z_]+)`", PAGE.read_text()))
    assert set(Profile.__struct_fields__) <= named
