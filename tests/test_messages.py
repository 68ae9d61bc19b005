import msgspec
import pytest

from gypsumfield.envelopes import decode_body
from gypsumfield.envelopes import decode_envelope
from gypsumfield.envelopes import encode_message
from gypsumfield.exceptions import InvalidDataError
from gypsumfield.messages import Heartbeat
from gypsumfield.messages import MemberRecord
from gypsumfield.messages import ValuesDigest


def test_message_is_unchanged_by_encoding_and_decoding():
    record = MemberRecord("entry-1", "b1", "manta", 3, "live", "127.0.0.1:7000")
    sent = Heartbeat(self_record=record, configuration_revision=9, records=(record,))
    envelope = decode_envelope(encode_message("entry-1", "b1", 5, 2, sent))
    assert (envelope.sender, envelope.message_id, envelope.reply_to) == (
        "entry-1",
        5,
        2,
    )
    assert decode_body(envelope) == sent


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ([5, 2, "members", 8, "field of a newer program"], ("members", 8)),
        ([5, 1, "members"], ("members", 0)),
    ],
)
def test_messages_of_newer_and_older_versions_are_decoded(fields, expected):
    body = msgspec.Raw(msgspec.msgpack.encode(fields))
    envelope = decode_envelope(msgspec.msgpack.encode(["a", "b", 1, 0, body, "more"]))
    message = decode_body(envelope)
    assert isinstance(message, ValuesDigest)
    assert (message.channel, message.revision) == expected


@pytest.mark.parametrize("body", [[99, 1], "text", [5, 1, "members", "nine"]])
def test_unknown_or_invalid_body_is_an_error(body):
    raw = msgspec.msgpack.encode(["a", "b", 1, 0, body])
    with pytest.raises(InvalidDataError):
        decode_body(decode_envelope(raw))
