"""Shapes that callers send and get, and their encoding."""

import math
from collections.abc import Callable
from typing import Literal

import msgspec

from gypsumfield.clock import MS_PER_S
from gypsumfield.exceptions import Refusal
from gypsumfield.relay import Delivery

DONE_EVENT = b"data: [DONE]\n\n"


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str


class CompletionBody(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/completions``; further fields are ignored."""

    model: str
    prompt: str
    max_tokens: int | None = None
    stream: bool = False


class ChatBody(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/chat/completions``; further fields are ignored."""

    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int | None = None
    stream: bool = False


class ErrorDetail(msgspec.Struct, frozen=True):
    """What a caller is told of a failure."""

    code: str
    message: str
    run: Literal["not-run", "may-have-run", "ran"]
    request_id: str


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of every error answer."""

    error: ErrorDetail


class Usage(msgspec.Struct, frozen=True):
    """Lengths of prompt (estimated) and answer in tokens."""

    prompt_tokens: int
    completion_tokens: int


class CompletionChoice(msgspec.Struct, frozen=True):
    """The one choice of a completion."""

    index: int
    text: str
    finish_reason: str | None


class ChatChoice(msgspec.Struct, frozen=True):
    """The one choice of a chat completion."""

    index: int
    message: ChatMessage
    finish_reason: str | None


class Completion(msgspec.Struct, frozen=True):
    """Whole answer to a completion."""

    id: str
    object: str
    model: str
    choices: tuple[CompletionChoice, ...]
    usage: Usage


class ChatCompletion(msgspec.Struct, frozen=True):
    """Whole answer to a chat."""

    id: str
    object: str
    model: str
    choices: tuple[ChatChoice, ...]
    usage: Usage


EventEncoder = Callable[[Delivery], bytes]


def chat_prompt(messages: tuple[ChatMessage, ...]) -> str:
    """Return the messages as one prompt."""
    return "\n".join(f"{message.role}: {message.content}" for message in messages)


def event_encoder(request_id: str, model: str, is_chat: bool) -> EventEncoder:
    """Return a function that encodes one delivery as a server-sent event."""
    quoted_id = msgspec.json.encode(request_id).decode()
    quoted_model = msgspec.json.encode(model).decode()
    kind = "chat.completion.chunk" if is_chat else "text_completion"
    head = f'data: {{"id":{quoted_id},"object":"{kind}","model":{quoted_model},'

    def encode(delivery: Delivery) -> bytes:
        text = msgspec.json.encode(delivery.text).decode()
        reason = msgspec.json.encode(delivery.finish_reason).decode()
        content = f'"delta":{{"content":{text}}}' if is_chat else f'"text":{text}'
        cursor_line = f"id: {delivery.cursor}\n" if delivery.cursor else ""
        choice = f'{{"index":0,{content},"finish_reason":{reason}}}'
        return f'{cursor_line}{head}"choices":[{choice}]}}\n\n'.encode()

    return encode


def build_completion(
    request_id: str,
    model: str,
    is_chat: bool,
    prompt_tokens: int,
    deliveries: list[Delivery],
) -> Completion | ChatCompletion:
    """Return the answer to a request that does not stream."""
    text = "".join(delivery.text for delivery in deliveries)
    reason = deliveries[-1].finish_reason
    usage = Usage(prompt_tokens, deliveries[-1].sequence - 1)
    if is_chat:
        message = ChatMessage("assistant", text)
        chat = ChatChoice(0, message, reason)
        return ChatCompletion(request_id, "chat.completion", model, (chat,), usage)
    choice = CompletionChoice(0, text, reason)
    return Completion(request_id, "text_completion", model, (choice,), usage)


def error_body(refusal: Refusal, request_id: str) -> bytes:
    """Return a refusal as JSON."""
    detail = ErrorDetail(
        refusal.code, refusal.message, refusal.verdict.value, request_id
    )
    return msgspec.json.encode(ErrorBody(detail))


def error_event(refusal: Refusal, request_id: str) -> bytes:
    """Return the event that ends a stream which cannot be completed."""
    return b"event: error\ndata: " + error_body(refusal, request_id) + b"\n\n"


def retry_after_seconds(refusal: Refusal) -> str | None:
    """Return the ``Retry-After`` value, rounded up to whole seconds."""
    if refusal.retry_after_ms is None:
        return None
    return str(max(1, math.ceil(refusal.retry_after_ms / MS_PER_S)))
