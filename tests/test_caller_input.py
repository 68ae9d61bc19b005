"""Bodies are read as they are framed, within bounds for the framing itself."""

import io

import pytest
from gevent.pywsgi import Input

from gypsumfield.adapters.body_buffer import BodyBuffer
from gypsumfield.adapters.caller_input import BadChunkError
from gypsumfield.adapters.caller_input import CallerInput
from gypsumfield.adapters.caller_input import DISCARD_LIMIT_BYTES
from gypsumfield.adapters.caller_input import FRAMING_LIMIT_BYTES


def open_input(data, length=None):
    source = Input(io.BufferedReader(io.BytesIO(data)), length, None, length is None)
    return CallerInput(source, lambda: None, lambda: None)


def read_all(body, size=16_384):
    data = b""
    while piece := body.read(size):
        assert len(piece) <= size
        data += piece
    return data


def chunked(*chunks):
    return b"".join(b"%X\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)


@pytest.mark.parametrize("size", [1, 7, 300, 2_048, 16_384])
def test_chunks_of_any_size_are_read_to_the_same_body(size):
    chunks = [b"a" * n for n in (1, 2, 255, 256, 2_048, 2_049, 9_000, 70_000)] * 2
    body = open_input(chunked(*chunks) + b"0\r\nA: b\r\n\r\nnext")
    assert read_all(body, size) == b"".join(chunks)
    assert body.is_complete
    assert body.rfile.read() == b"next"


@pytest.mark.parametrize(
    "data",
    [
        b"1\r\nab\r\n0\r\n\r\n",
        b"-1\r\na\r\n",
        b"0x1\r\na\r\n",
        b"\r\na\r\n",
        b"1\na\r\n",
        b"11111111111111111\r\na",
        b"5\r\nab",
        b"0\r\nno trailer\r\n\r\n",
        b"1;" + b"x=y;" * FRAMING_LIMIT_BYTES + b"\r\na\r\n0\r\n\r\n",
        b"1;x=y;z\r\na\r\n" * FRAMING_LIMIT_BYTES + b"0\r\n\r\n",
        b"0\r\n" + b"a: b\r\n" * FRAMING_LIMIT_BYTES + b"\r\n",
    ],
)
def test_malformed_chunks_and_long_framing_are_errors(data):
    body = open_input(data)
    with pytest.raises(BadChunkError):
        read_all(body)
    assert not body.is_complete


def test_a_body_of_stated_length_ends_there_or_is_an_error():
    body = open_input(b"abcdnext", 4)
    assert read_all(body) == b"abcd"
    assert body.is_complete
    with pytest.raises(OSError):
        read_all(open_input(b"abc", 4))


def test_only_a_short_rest_is_discarded():
    short = open_input(b"a" * 100 + b"next", 100)
    assert short.can_discard
    short._discard()
    assert short.is_complete and short.rfile.read() == b"next"
    assert not open_input(b"", DISCARD_LIMIT_BYTES + 1).can_discard
    assert not open_input(b"").can_discard


@pytest.mark.parametrize("expected", [0, 1_000_000])
def test_a_buffered_body_is_the_sum_of_its_pieces(expected):
    buffer = BodyBuffer(expected)
    pieces = [bytes([n % 251]) * (n % 9_000) for n in range(0, 90_000, 977)]
    for piece in pieces:
        buffer.append(piece)
    assert len(buffer) == sum(map(len, pieces))
    assert buffer.take() == b"".join(pieces)
    assert len(buffer) == 0
