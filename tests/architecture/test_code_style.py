"""The linter and the formatter find nothing."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent.parent


@pytest.mark.parametrize("arguments", [("check",), ("format", "--check")], ids=["linter", "formatter"])
def test_the_linter_and_the_formatter_find_nothing(arguments):
    """Over the whole tree; pyproject.toml excepts no module from the rules."""
    done = subprocess.run(
        [str(Path(sys.executable).parent / "ruff"), *arguments, "--no-cache"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 0, done.stdout
