"""The pages for readers of the code name only files that exist.

A page that keeps the path of a file that was renamed or removed sends its readers to nothing.
"""

import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent.parent
PAGES_WITH_PATHS = ("docs/glossary.md", "docs/ARCHITECTURE.md", "README.md", "CONTRIBUTING.md")
PAGES = (*PAGES_WITH_PATHS, "docs/oncall.md")
FOLDERS = ("ravenshelf", "tests", "standins", "benchmarks", "tools", "docs", "deploy", "examples")
PACKAGES = tuple(
    path.name for path in sorted((ROOT / "ravenshelf").iterdir()) if (path / "__init__.py").exists()
)
MODULE_PATH = re.compile(r"\w+(/\w+)*\.py")
# A file name in capitals without a suffix, as in `benchmarks/NAME`, stands for any name.
PLACEHOLDER = re.compile(r"(^|/)[A-Z_]+(\.py)?$")


def quoted_words(text: str) -> Iterator[str]:
    """Yield the words of the parts of a Markdown text that are in backticks, or indented as code."""
    for line in text.splitlines():
        code = [line.partition("#")[0]] if line.startswith("    ") else re.findall(r"`([^`]+)`", line)
        for part in code:
            yield from part.rstrip(".,;:").split()


def is_in_repository(word: str) -> bool:
    """Return whether a word is a path that begins with a folder of the repository."""
    folder, slash, rest = word.partition("/")
    return bool(slash) and folder in FOLDERS and not PLACEHOLDER.search(rest)


def is_in_package(word: str) -> bool:
    """Return whether a word is a path relative to `ravenshelf/`, such as `policy/controller.py`."""
    if is_in_repository(word) or PLACEHOLDER.search(word):
        return False
    folder, slash, _ = word.partition("/")
    return bool(MODULE_PATH.fullmatch(word)) or (bool(slash) and folder in PACKAGES)


def exists(folder: Path, pattern: str) -> bool:
    """Return whether at least one path below the folder matches the pattern."""
    return any(folder.glob(pattern.rstrip("/")))


def missing_paths(text: str) -> list[str]:
    """Return the paths of a Markdown text that match no file or folder."""
    words = list(quoted_words(text))
    missing_in_repository = [word for word in words if is_in_repository(word) and not exists(ROOT, word)]
    missing_in_package = [
        word for word in words if is_in_package(word) and not exists(ROOT / "ravenshelf", word)
    ]
    return missing_in_repository + missing_in_package


@pytest.mark.parametrize("page", PAGES)
def test_the_paths_on_a_page_exist(page):
    assert missing_paths((ROOT / page).read_text(encoding="utf-8")) == []


@pytest.mark.parametrize("page", PAGES_WITH_PATHS)
def test_paths_are_found_on_a_page_that_names_some(page):
    words = list(quoted_words((ROOT / page).read_text(encoding="utf-8")))
    assert any(is_in_repository(word) or is_in_package(word) for word in words)


def test_missing_files_are_found():
    text = (
        "`ravenshelf/commands.py`, `policy/gone.py`, `gone.py`, `ravenshelf/gone*`\n    cat tests/gone.py\n"
    )
    expected = ["ravenshelf/commands.py", "ravenshelf/gone*", "tests/gone.py", "policy/gone.py", "gone.py"]
    assert missing_paths(text) == expected


def test_existing_files_globs_and_placeholders_are_accepted():
    text = "`ravenshelf/policy/`, `policy/controller.py`, `ravenshelf/commands*`, `docs/NAME` and `net/`"
    assert missing_paths(text) == []
