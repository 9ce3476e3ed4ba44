"""The linter and the formatter report no problem."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent.parent


@pytest.mark.parametrize("arguments", [("check",), ("format", "--check")], ids=["linter", "formatter"])
def test_the_linter_and_the_formatter_report_no_problem(arguments):
    """The whole repository is checked; pyproject.toml exempts no module from the rules."""
    result = subprocess.run(
        [str(Path(sys.executable).parent / "ruff"), *arguments, "--no-cache"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert result.returncode == 0, result.stdout
