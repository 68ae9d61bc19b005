import pytest

from known_red import KNOWN_RED_PATH
from known_red import read_known_red


def pytest_collection_modifyitems(items):
    entries = read_known_red(KNOWN_RED_PATH)
    for item in items:
        entry = entries.pop(item.nodeid, None)
        if entry is not None:
            # Strict, so that a test that passes again must be removed from the file.
            # An intermittent failure cannot be strict, because the test may pass.
            strict = not entry.is_intermittent
            item.add_marker(pytest.mark.xfail(reason=entry.seen, strict=strict))
