"""Digests of prompt prefixes, which identify cached blocks of engines."""

import xxhash

BLOCK_CHARACTERS = 64
BYTES_PER_TOKEN = 4
BLOCK_TOKENS = BLOCK_CHARACTERS // BYTES_PER_TOKEN


def count_prompt_tokens(prompt: str) -> int:
    """Return the estimated number of tokens of ``prompt``; at least 1."""
    return max(1, len(prompt.encode()) // BYTES_PER_TOKEN)


def prefix_digests(prompt: str) -> tuple[str, ...]:
    """Return one digest for each whole block of ``prompt``, shortest prefix first.

    Each digest covers the prompt from its start to the end of the block, so
    two prompts share as many leading digests as they share leading whole blocks.
    """
    hasher = xxhash.xxh64()
    digests = []
    whole_length = len(prompt) // BLOCK_CHARACTERS * BLOCK_CHARACTERS
    for start in range(0, whole_length, BLOCK_CHARACTERS):
        hasher.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        digests.append(hasher.hexdigest())
    return tuple(digests)
