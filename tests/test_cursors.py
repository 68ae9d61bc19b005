import hypothesis.strategies as st
import pytest
from hypothesis import given
from hypothesis import settings

from gypsumfield.configuration import CursorKey
from gypsumfield.cursors import make_cursor_writer
from gypsumfield.cursors import read_cursor
from gypsumfield.cursors import StreamOrigin
from gypsumfield.exceptions import CursorError

OLD_KEY = CursorKey("aa" * 32, is_current=True)
NEW_KEY = CursorKey("bb" * 32, is_current=True)
ORIGIN = StreamOrigin("carts", "assistant", "g-1", "engine-7", "r-1", is_chat=False)


def test_a_cursor_stays_valid_until_its_key_is_withdrawn():
    cursor = make_cursor_writer(ORIGIN, {"a": OLD_KEY})(17)
    rotated_keys = {"a": CursorKey(OLD_KEY.secret, is_current=False), "b": NEW_KEY}
    assert read_cursor(cursor, rotated_keys, "carts") == (ORIGIN, 17)
    assert make_cursor_writer(ORIGIN, rotated_keys)(1) != make_cursor_writer(
        ORIGIN, {"a": OLD_KEY}
    )(1)
    with pytest.raises(CursorError):
        read_cursor(cursor, {"b": NEW_KEY}, "carts")


def test_a_cursor_reveals_no_backend_server_and_no_account():
    cursor = make_cursor_writer(ORIGIN, {"a": OLD_KEY})(17)
    for secret in ("engine", "carts", "g-1"):
        assert secret not in cursor


def test_a_cursor_of_another_account_is_refused():
    cursor = make_cursor_writer(ORIGIN, {"a": OLD_KEY})(17)
    with pytest.raises(CursorError):
        read_cursor(cursor, {"a": OLD_KEY}, "office")


def test_no_current_key_is_an_error():
    with pytest.raises(CursorError):
        make_cursor_writer(ORIGIN, {"a": CursorKey("aa" * 32, is_current=False)})


@settings(derandomize=True, deadline=None, max_examples=300)
@given(position=st.integers(min_value=0), replacement=st.characters(codec="utf-8"))
def test_any_changed_character_is_refused(position, replacement):
    cursor = make_cursor_writer(ORIGIN, {"a": OLD_KEY})(17)
    position %= len(cursor)
    changed = cursor[:position] + replacement + cursor[position + 1 :]
    if changed == cursor:
        return
    with pytest.raises(CursorError):
        read_cursor(changed, {"a": OLD_KEY}, "carts")


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.text(max_size=200))
def test_any_other_text_is_refused(text):
    with pytest.raises(CursorError):
        read_cursor(text, {"a": OLD_KEY}, "carts")
