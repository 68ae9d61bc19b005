import json

import pytest

from processes import run_to_end

VALID_VALUES = {
    "profiles/briefing": {"priority": 3},
    "services/assistant": {"kind": "model", "profile": "briefing"},
    "client_accounts/carts": {
        "key_digests": ["ab" * 32],
        "rate_per_s": 2,
        "burst": 4,
        "services": ["assistant"],
    },
}


def check_values(tmp_path, values) -> tuple[int, str]:
    path = tmp_path / "values.json"
    path.write_text(values if isinstance(values, str) else json.dumps(values))
    return run_to_end("gypsumfield-check", str(path))


def test_valid_values_are_accepted(tmp_path):
    assert check_values(tmp_path, VALID_VALUES) == (0, "")


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ({"profiles/briefing": {"priority": "high"}}, ("priority", "int", "str")),
        ({"profiles/briefing": {"speed": 1}}, ("profiles/briefing", "speed")),
        ({"services/x": {"kind": "model", "profile": "none"}}, ("profile", "'none'")),
        ({"colours/red": {}}, ("colours/red", "availability_zones")),
        (
            {
                "client_accounts/carts": VALID_VALUES["client_accounts/carts"]
                | {"services": ["unknown"]}
            },
            ("services", "'unknown'"),
        ),
    ],
)
def test_each_error_names_file_key_and_field(tmp_path, change, words):
    status, errors = check_values(tmp_path, VALID_VALUES | change)
    assert status == 1
    assert all(word in errors for word in ("values.json", *words)), errors


def test_invalid_json_and_a_missing_file_are_errors(tmp_path):
    assert check_values(tmp_path, "{nonsense")[0] == 1
    status, errors = run_to_end("gypsumfield-check", str(tmp_path / "none.json"))
    assert (status, "cannot be read" in errors) == (1, True)


def test_settings_are_validated_and_a_file_is_required(tmp_path):
    path = tmp_path / "settings.json"
    settings = {"host_id": "a", "availability_zone": "manta", "platform_url": "x"}
    path.write_text(json.dumps(settings))
    assert run_to_end("gypsumfield-check", "--settings", str(path))[0] == 0
    path.write_text(json.dumps(settings | {"listen_port": "x"}))
    status, errors = run_to_end("gypsumfield-check", "--settings", str(path))
    assert (status, "listen_port" in errors) == (1, True)
    assert run_to_end("gypsumfield-check")[0] == 2
