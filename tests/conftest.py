import pytest

from known_red import KNOWN_RED_PATH
from known_red import read_known_red


def pytest_collection_modifyitems(items):
    known = read_known_red(KNOWN_RED_PATH)
    for item in items:
        red = known.pop(item.nodeid, None)
        if red is not None:
            # Strict: a test that passes again must leave the file; one that fails
            # only now and then cannot show that.
            strict = not red.is_intermittent
            item.add_marker(pytest.mark.xfail(reason=red.seen, strict=strict))
