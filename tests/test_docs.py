import re
import subprocess
import sys
from functools import cache
from pathlib import Path

import pytest

from markdown_pages import code_blocks
from markdown_pages import CodeBlock
from markdown_pages import dead_links
from markdown_pages import page_anchors
from markdown_pages import project_pages
from markdown_pages import ROOT

PROGRAM = re.compile(r"(?:^|[\s/])(gypsumfield-[a-z]+)((?:[ \t]+[^\s|&;<>#]+)*)")
EXAMPLE_TIMEOUT_S = 60


def block_id(block: CodeBlock) -> str:
    return f"{block.page}-{block.number}"


@pytest.mark.parametrize("page", project_pages(), ids=lambda page: page.name)
def test_links_and_anchors_exist(page):
    assert dead_links(page) == []


def test_dead_links_and_anchors_are_found(tmp_path):
    page = tmp_path / "a.md"
    page.write_text(
        "# A `b` title, twice\n\n## Part\n\n## Part\n\n"
        "[ok](#a-b-title-twice) [ok](b.md) [ok](b.md#top) [ok](#part-1) "
        "[ok](https://example.org/x) ![dead](none.png) [dead](c.md) [dead](#none) "
        "[dead](b.md#none)\n\n| [dead](d.md) | x |\n|---|---|\n| y | [dead](e.md) |\n"
    )
    (tmp_path / "b.md").write_text("Top\n===\n")
    assert page_anchors(page) == {"a-b-title-twice", "part", "part-1"}
    expected_urls = ["none.png", "c.md", "#none", "b.md#none", "d.md", "e.md"]
    assert dead_links(page) == expected_urls


def test_all_pages_are_read():
    names = {page.name for page in project_pages()}
    assert {"README.md", "DEVELOPERS.md", "index.md", "glossary.md"} <= names
    assert len(code_blocks("python")) >= 2


@pytest.mark.parametrize("block", code_blocks("python"), ids=block_id)
def test_python_example_runs(block, tmp_path):
    completed = subprocess.run(
        [sys.executable, "-c", block.text],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=False,
        timeout=EXAMPLE_TIMEOUT_S,
    )
    assert completed.returncode == 0, completed.stderr


@cache
def program_help(program: str, command: str) -> str:
    path = Path(sys.executable).with_name(program)
    arguments = [path, command, "--help"] if command else [path, "--help"]
    completed = subprocess.run(
        arguments, capture_output=True, text=True, check=True, timeout=60
    )
    return completed.stdout


@pytest.mark.parametrize("block", code_blocks("sh"), ids=block_id)
def test_commands_shown_exist_with_their_options(block):
    text = block.text.replace("\\\n", " ")
    for path in re.findall(r"(?:^|\s)((?:tools|bench|\.ci)/[\w./-]+)", text):
        assert (ROOT / path).exists(), path
    for program, arguments in PROGRAM.findall(text):
        documented_options = set(re.findall(r"(?<!\S)(--[a-z-]+)", arguments))
        command = re.match(r"\s+([a-z]+)(?=\s|$)", arguments)
        name = command[1] if command else ""
        program_options = set(re.findall(r"--[a-z-]+", program_help(program, name)))
        assert documented_options <= program_options, (
            f"{program}: {sorted(documented_options - program_options)}"
        )
