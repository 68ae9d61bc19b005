"""Digests of prompt prefixes, by which engines and routing name cached blocks."""

import xxhash

BLOCK_CHARACTERS = 64
BYTES_PER_TOKEN = 4
BLOCK_TOKENS = BLOCK_CHARACTERS // BYTES_PER_TOKEN


def count_prompt_tokens(prompt: str) -> int:
    """Return the estimated number of tokens of ``prompt``; at least one."""
    return max(1, len(prompt.encode()) // BYTES_PER_TOKEN)


def prefix_digests(prompt: str) -> tuple[str, ...]:
    """Return one digest for each whole block of ``prompt``, shortest first.

    Each digest covers the prompt from its start to the end of its block, so
    two prompts share as many leading digests as they share whole blocks.
    """
    running = xxhash.xxh64()
    digests = []
    whole_length = len(prompt) // BLOCK_CHARACTERS * BLOCK_CHARACTERS
    for start in range(0, whole_length, BLOCK_CHARACTERS):
        running.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        digests.append(running.hexdigest())
    return tuple(digests)
