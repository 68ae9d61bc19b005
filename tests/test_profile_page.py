"""Tests that the profiles in the operators' documentation can be published."""

import json
import re
from pathlib import Path

import pytest

from gypsumfield.configuration import parse_value
from gypsumfield.configuration import Profile

PAGE = Path(__file__).resolve().parent.parent / "docs" / "operators" / "profiles.md"
DOCUMENTED_PROFILES = re.findall(r"```json\n(.*?)```", PAGE.read_text(), re.DOTALL)


def test_four_profiles_are_documented():
    assert len(DOCUMENTED_PROFILES) == 4


@pytest.mark.parametrize("text", DOCUMENTED_PROFILES)
def test_documented_profile_is_valid(text):
    assert isinstance(parse_value("profiles/shown", json.loads(text)), Profile)


def test_every_profile_field_is_documented():
    documented_fields = set(re.findall(r"`([a-z_]+)`", PAGE.read_text()))
    assert set(Profile.__struct_fields__) <= documented_fields
