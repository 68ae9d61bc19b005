"""Encoding of control messages, each in an envelope."""

import msgspec

from gypsumfield.decoding import decode
from gypsumfield.messages import AnyMessage
from gypsumfield.messages import ControlMessage


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """An encoded message with its sender and ids.

    Attributes:
        sender: Host id of the sender.
        boot_id: Boot of the sender.
        message_id: Sequence number of the message within the sender's boot.
        reply_to: ``message_id`` of the request that it answers; 0 for none.
        body: The encoded message.
    """

    sender: str
    boot_id: str
    message_id: int
    reply_to: int
    body: msgspec.Raw


_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
_BODY_DECODER = msgspec.msgpack.Decoder(AnyMessage)


def encode_message(
    sender: str, boot_id: str, message_id: int, reply_to: int, message: ControlMessage
) -> bytes:
    """Return the frame of a message in its envelope."""
    body = msgspec.Raw(_ENCODER.encode(message))
    return _ENCODER.encode(Envelope(sender, boot_id, message_id, reply_to, body))


def decode_envelope(data: bytes) -> Envelope:
    """Return the envelope of a frame; its body is still encoded.

    Raises:
        InvalidDataError: The data is not a valid envelope.
    """
    return decode(_ENVELOPE_DECODER, data)


def decode_body(envelope: Envelope) -> AnyMessage:
    """Return the message in an envelope.

    Raises:
        InvalidDataError: The message type is unknown or a field is invalid.
    """
    return decode(_BODY_DECODER, envelope.body)
