"""Removal of caller keys from free text before it is logged."""

import re

REDACTED = "[redacted]"

_SHORTEST_SECRET_LENGTH = 6
_SECRET_NAME = r"(?:key|token|secret|password|passwd|signature|credential)s?"

_HEADER = re.compile(
    r"(?i)\b((?:proxy-)?authorization|x-api-key|(?:set-)?cookie)([\"']?\s*[:=]\s*).+",
    re.DOTALL,
)
_SCHEME = re.compile(r"(?i)\b(bearer|basic|digest)(\s+)[^\s,;\"'&]{6,}")
_ASSIGNMENT = re.compile(
    rf"(?i)\b([\w-]*{_SECRET_NAME})([\"']?\s*[:=]\s*[\"']?)[^&\s\"',;]+"
)
_OPAQUE_WORD = re.compile(
    r"(?<![\w+/=-])(?=[\w+/=-]*[a-z])(?=[\w+/=-]*[A-Z])(?=[\w+/=-]*\d)"
    r"[\w+/=-]{32,}"
)
_PREFIXED_KEY = re.compile(r"\b(?:sk|pk|key)[-_][\w-]{8,}")


def redact(text: str) -> str:
    """Return ``text`` without anything that looks like a caller's key.

    Removed are the values of credential headers, query or JSON fields whose
    name says that they are secret, words with a customary key prefix, and long
    words of mixed case and digits. Lower-case hexadecimal ids stay.
    """
    if len(text) < _SHORTEST_SECRET_LENGTH:
        return text
    text = _HEADER.sub(rf"\1\2{REDACTED}", text)
    text = _SCHEME.sub(rf"\1\2{REDACTED}", text)
    text = _ASSIGNMENT.sub(rf"\1\2{REDACTED}", text)
    text = _PREFIXED_KEY.sub(REDACTED, text)
    return _OPAQUE_WORD.sub(REDACTED, text)
