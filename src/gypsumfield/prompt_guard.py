"""Refuses prompts with a paragraph that crashes engines, by the evidence of all hosts.

Prompts have no named parts here; a paragraph that prompts share is one.
"""

from collections.abc import Callable
from typing import NamedTuple

import xxhash

from gypsumfield.clock import Clock
from gypsumfield.decisions.part_crashes import PartCrash
from gypsumfield.decisions.part_crashes import PartCrashes
from gypsumfield.decisions.part_crashes import Suspicion
from gypsumfield.events import PromptCrashed
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import Refusal
from gypsumfield.exceptions import RefusedError
from gypsumfield.messages import ControlMessage
from gypsumfield.messages import PromptAnswer
from gypsumfield.messages import PromptCrash
from gypsumfield.platform_api import Member
from gypsumfield.verdicts import RunVerdict

PARAGRAPH_SEPARATOR = "\n\n"
# Paragraphs of one prompt that are compared with the evidence.
MAX_PARAGRAPHS = 64
# Codes of attempts that end without an answer of the engine that has the request.
BROKEN_CODES = frozenset({"answer_crossed", "answer_truncated", "backend_failed"})


class GuardDependencies(NamedTuple):
    """Dependencies of `PromptGuard`.

    Attributes:
        read_boot_id: Asks an engine for its boot; raises `BackendError`.
        send_to_all: Sends a message to all other live hosts.
        clock: Monotonic clock.
        emit: Writes an event to the log.
    """

    read_boot_id: Callable[[Member], str]
    send_to_all: Callable[[ControlMessage], None]
    clock: Clock
    emit: Callable[[PromptCrashed], None]


class PromptGuard:
    """Collects evidence on paragraphs of prompts."""

    def __init__(self, deps: GuardDependencies) -> None:
        self._deps = deps
        self._evidence = PartCrashes()

    def refuse_condemned(self, prompt: str, attempt_number: int) -> None:
        """Refuse a prompt that must not be sent.

        Args:
            prompt: The prompt.
            attempt_number: Number of the attempt; an earlier one may have run.

        Raises:
            RefusedError: A paragraph of the prompt has crashed engines.
        """
        now_ms = self._deps.clock.monotonic_ms()
        assessment = self._evidence.assess(paragraph_ids(prompt), now_ms)
        if assessment.suspicion is not Suspicion.CONDEMNED:
            return
        has_run = attempt_number > 1
        raise RefusedError(
            Refusal(
                502 if has_run else 503,
                "prompt_part_crashes",
                "a paragraph of the prompt has crashed engines",
                RunVerdict.MAY_HAVE_RUN if has_run else RunVerdict.NOT_RUN,
                None if has_run else assessment.remaining_ms,
            )
        )

    def record_failure(
        self,
        prompt: str,
        backend: Member,
        boot_id: str,
        error: BackendError,
        sent_ms: float,
    ) -> None:
        """Record a crash of an engine before the first token of a generation.

        A broken connection is a crash only if the engine is another boot afterwards, or
        answers no more.

        Args:
            prompt: Prompt of the generation.
            backend: The engine.
            boot_id: Boot of the engine to which the request was sent.
            error: Failure of the request.
            sent_ms: Monotonic time at which it was sent.
        """
        if error.code not in BROKEN_CODES:
            return
        try:
            current_boot_id = self._deps.read_boot_id(backend)
        except BackendError:
            current_boot_id = ""
        if current_boot_id == boot_id:
            return
        # The boot of the lease may be older than the one that has crashed.
        crash = f"{backend.host_id}/{current_boot_id or boot_id}"
        crash_id = xxhash.xxh32_intdigest(crash.encode())
        parts = paragraph_ids(prompt)
        records = [self._evidence.find(part) for part in parts]
        is_later = any(r.crashes and r.last_crash_ms < sent_ms for r in records if r)
        self._record_crash(parts, crash_id, is_later, f"engine {backend.host_id}")
        self._deps.send_to_all(
            PromptCrash(parts=parts, crash_id=crash_id, is_later=is_later)
        )

    def record_answer(self, prompt: str, sent_ms: float) -> None:
        """Record that a generation has its first token: its paragraphs are innocent.

        Args:
            prompt: Prompt of the generation.
            sent_ms: Monotonic time at which its request was sent.
        """
        parts = paragraph_ids(prompt)
        version = self._evidence.version
        now_ms = self._deps.clock.monotonic_ms()
        self._evidence.record_answer(parts, sent_ms, now_ms)
        if self._evidence.version != version:
            age_ms = int(now_ms - sent_ms) + 1
            self._deps.send_to_all(PromptAnswer(parts=parts, age_ms=age_ms))

    def receive_crash(self, sender: str, message: PromptCrash) -> None:
        """Record a crash that another host has seen."""
        self._record_crash(
            message.parts, message.crash_id, message.is_later, f"host {sender}"
        )

    def receive_answer(self, _sender: str, message: PromptAnswer) -> None:
        """Record an answer that another host has seen."""
        now_ms = self._deps.clock.monotonic_ms()
        self._evidence.record_answer(
            message.parts[:MAX_PARAGRAPHS], now_ms - message.age_ms, now_ms
        )

    def _record_crash(
        self, parts: list[int], crash_id: int, is_later: bool, source: str
    ) -> None:
        now_ms = self._deps.clock.monotonic_ms()
        crash = PartCrash(crash_id, now_ms, was_answering=False, is_later=is_later)
        self._evidence.record_crash(parts[:MAX_PARAGRAPHS], crash, now_ms)
        self._deps.emit(PromptCrashed(paragraph_count=len(parts), source=source))


def paragraph_ids(prompt: str) -> list[int]:
    """Return a number for each paragraph of a prompt, `MAX_PARAGRAPHS` at most."""
    paragraphs = [text.strip() for text in prompt.split(PARAGRAPH_SEPARATOR)]
    ids = [xxhash.xxh3_64_intdigest(text.encode()) >> 1 for text in paragraphs if text]
    return list(dict.fromkeys(ids))[:MAX_PARAGRAPHS]
