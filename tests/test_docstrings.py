"""Docstrings say something: a summary is a sentence, an entry more than its name."""

import ast
import inspect
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

import gypsumfield

SOURCES = Path(gypsumfield.__file__).parent.parent
FILES = sorted(SOURCES.rglob("*.py"))
DOCUMENTED = ast.Module | ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef
MIN_SUMMARY_WORDS = 3
MIN_ENTRY_WORDS = 2
ENTRY = re.compile(r" {4}(?P<name>\*{0,2}\w+)(?: \([^)]*\))?:(?P<text>.*)")


def docstrings(path: Path) -> Iterator[tuple[int, list[str]]]:
    """Yield the first line number and the lines of each docstring."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, DOCUMENTED) and ast.get_docstring(node) is not None:
            statement = node.body[0]
            assert isinstance(statement, ast.Expr)
            assert isinstance(statement.value, ast.Constant)
            text = inspect.cleandoc(str(statement.value.value))
            yield statement.lineno, text.splitlines() or [""]


def entries(lines: list[str]) -> Iterator[tuple[int, str, str]]:
    """Yield offset, name and whole text of each entry of a section."""
    in_section = False
    entry: tuple[int, str, str] | None = None
    for offset, line in enumerate(lines):
        if line and not line.startswith(" "):
            in_section = line in {"Args:", "Attributes:"}
        match = ENTRY.fullmatch(line) if in_section else None
        if entry and (match or not in_section):
            yield entry
            entry = None
        if match:
            entry = offset, match["name"], match["text"].strip()
        elif entry and line:
            entry = (*entry[:2], f"{entry[2]} {line.strip()}")
    if entry:
        yield entry


@pytest.mark.parametrize("path", FILES, ids=lambda path: str(path.relative_to(SOURCES)))
def test_summaries_and_entries_say_something(path):
    short = []
    for start, lines in docstrings(path):
        if len(lines[0].split()) < MIN_SUMMARY_WORDS:
            short.append(f"{path}:{start}: {lines[0]}")
        short += [
            f"{path}:{start + offset}: {name}: {text}"
            for offset, name, text in entries(lines)
            if len(text.split()) < MIN_ENTRY_WORDS
        ]
    assert not short, "\n".join(short)


def test_entries_are_read_with_their_continuation_lines():
    lines = ["Do it now.", "", "Args:", "    a: One", "        two.", "    *b: Three."]
    lines += ["", "Returns:", "    c: Four."]
    assert list(entries(lines)) == [(3, "a", "One two."), (5, "*b", "Three.")]
