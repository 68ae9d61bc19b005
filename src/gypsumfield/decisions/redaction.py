"""Removal of caller keys from free text before it is logged."""

import re

REDACTED = "[redacted]"
MIN_OPAQUE_LENGTH = 32

_SECRET_NAME = r"(?:key|token|secret|password|passwd|signature|credential)s?"

_HEADER = re.compile(
    r"(?i)((?:proxy-)?authorization|x-api-key|(?:set-)?cookie)([\"']?\s*[:=]\s*).+",
    re.DOTALL,
)
_SCHEME = re.compile(r"(?i)\b(bearer|basic|digest)(\s+)[^\s,;\"'&]{6,}")
_ASSIGNMENT = re.compile(rf"(?i)({_SECRET_NAME}[\"']?\s*[:=]\s*[\"']?)[^&\s\"',;]+")
_PREFIXED_KEY = re.compile(
    r"\b(?:sk|pk|key)[-_][\w-]{8,}|\b[a-z]{2,4}[-_][0-9a-f]{32,}"
)
_OPAQUE_WORD = re.compile(
    r"(?<![\w+/=-])(?=[\w+/=-]*[a-z])(?=[\w+/=-]*[A-Z])(?=[\w+/=-]*\d)"
    rf"[\w+/=-]{{{MIN_OPAQUE_LENGTH},}}"
)
# Every pattern except the last one matches only text with one of these words or with
# `_HEXADECIMAL_KEY_MARKER`.
_MARKERS = (
    *("auth", "cookie", "key", "bearer", "basic", "digest", "token", "secret"),
    *("passw", "signature", "credential", "sk-", "sk_", "pk-", "pk_"),
)
_HEXADECIMAL_KEY_MARKER = re.compile(r"[-_][0-9a-f]{32}")


def redact(text: str) -> str:
    """Return ``text`` without anything that looks like a caller's key.

    It removes the values of credential headers, the values of query or JSON fields
    with the name of a secret, words with a usual key prefix, and long words of mixed
    case and digits. Lower-case hexadecimal ids remain.
    """
    lowered = text.lower()
    has_marker = any(marker in lowered for marker in _MARKERS)
    if has_marker or _HEXADECIMAL_KEY_MARKER.search(text):
        text = _HEADER.sub(rf"\1\2{REDACTED}", text)
        text = _SCHEME.sub(rf"\1\2{REDACTED}", text)
        text = _ASSIGNMENT.sub(rf"\1{REDACTED}", text)
        text = _PREFIXED_KEY.sub(REDACTED, text)
    if len(text) >= MIN_OPAQUE_LENGTH:
        text = _OPAQUE_WORD.sub(REDACTED, text)
    return text
