"""Reads headings, links and code blocks of the project's Markdown pages."""

import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from typing import NamedTuple
from urllib.parse import unquote

import mistune

ROOT = Path(__file__).parents[1]
_parse = mistune.create_markdown(renderer=None, plugins=["table"])


class CodeBlock(NamedTuple):
    """One fenced code block of a page."""

    page: str
    number: int
    language: str
    text: str


def project_pages(root: Path = ROOT) -> list[Path]:
    root_pages = [root / name for name in ("README.md", "DEVELOPERS.md", "CHANGES.md")]
    return [page for page in root_pages if page.exists()] + sorted(
        root.glob("docs/**/*.md")
    )


def _tokens(tokens: list[dict[str, Any]]) -> Iterator[dict[str, Any]]:
    for token in tokens:
        yield token
        yield from _tokens(token.get("children") or [])


def page_tokens(page: Path) -> list[dict[str, Any]]:
    return list(_tokens(_parse(page.read_text(encoding="utf-8"))))  # type: ignore


def _plain_text(token: dict[str, Any]) -> str:
    return token.get("raw", "") + "".join(
        _plain_text(child) for child in token.get("children") or []
    )


def page_anchors(page: Path) -> set[str]:
    anchors: list[str] = []
    for token in page_tokens(page):
        if token["type"] != "heading":
            continue
        text = re.sub(r"[^\w\- ]", "", _plain_text(token).strip().lower())
        slug = text.replace(" ", "-")
        repeat = sum(re.sub(r"-\d+$", "", anchor) == slug for anchor in anchors)
        anchors.append(f"{slug}-{repeat}" if repeat else slug)
    return set(anchors)


def _has_anchor(target: Path, anchor: str) -> bool:
    if not anchor:
        return True
    return target.suffix == ".md" and anchor in page_anchors(target)


def dead_links(page: Path) -> list[str]:
    dead_urls = []
    for token in page_tokens(page):
        if token["type"] not in ("link", "image"):
            continue
        url = unquote(token["attrs"]["url"])
        if re.match(r"[a-z]+:", url):
            continue
        path, _, anchor = url.partition("#")
        target = page.parent / path if path else page
        if not target.exists() or not _has_anchor(target, anchor):
            dead_urls.append(url)
    return dead_urls


def code_blocks(language: str) -> list[CodeBlock]:
    return [
        CodeBlock(str(page.relative_to(ROOT)), number, language, token["raw"])
        for page in project_pages()
        for number, token in enumerate(page_tokens(page))
        if token["type"] == "block_code"
        and (token.get("attrs") or {}).get("info", "").split()[:1] == [language]
    ]
