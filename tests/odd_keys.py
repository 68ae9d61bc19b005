"""Keys in the store that are names of no server, with any character in any place."""

ODD_NAMES = {
    "ampersand": "a&b=c",
    "ampersand-alone": "&",
    "plus": "a+b",
    "plus-alone": "+",
    "hash": "a#b",
    "hash-alone": "#",
    "percent": "100%",
    "percent-encoded": "a%2Fb%20c",
    "percent-encoded-badly": "%zz%",
    "blank": "a b",
    "blank-first": " a",
    "blank-last": "a ",
    "blank-alone": " ",
    "question-mark": "a?after=z",
    "equals-sign": "a=b",
    "semicolon": "a;b",
    "slash": "a/b",
    "slash-last": "a/",
    "dots": "../a",
    "backslash": "a\\u0041\\",
    "quotes": "\"a'",
    "brackets": "<a>{b}[c]",
    "tab": "a\tb",
    "line-end": "a\r\nX-B: 1",
    "zero": "a\x00b",
    "delete": "a\x7f",
    "escape": "\x1b[31ma",
    "accent": "né",
    "accent-decomposed": "ne\u0301",
    "no-break-space": "a\u00a0b",
    "line-separator": "a\u2028b",
    "right-to-left": "\u202ea",
    "byte-order-mark": "\ufeffa",
    "last-of-the-plane": "\uffff",
    "emoji": "\U0001f600",
    "no-utf-8": "a\udcff\udcfe",
    "long": "&" * 190,
}


def odd_keys(name, count):
    """Return so many keys before, among and after those of servers."""
    return [
        f"servers/{letter}{name}{number}" for letter in "Aez" for number in range(count)
    ]
