"""Imports follow the layers, and serve loads nothing that it does not use."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent


def loaded_modules(*operator):
    program = (
        "import sys\nfrom ravenshelf import __main__\n"
        + "from ravenshelf.process import logs, run, control_plane, serving\n"
        + ("from ravenshelf.process.operations import composer\n" if operator else "")
        + "print('\\n'.join(sorted(sys.modules)))"
    )
    out = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout
    return set(out.split())


EXTRAS = (
    "numpy",
    "scipy",
    "hdrh",
    "xxhash",
    "cryptography",
    "hypothesis",
    "pytest",
    "matplotlib",
    "z3",
    "textual",
    "tomlkit",
    "pydantic",
    "importlinter",
    "grpc",
)
COMMAND_LINE = ("typer", "click", "rich", "shellingham", "markdown_it", "pygments")
OWN = (
    "ravenshelf.graphite",
    "ravenshelf.collectd",
    "ravenshelf.store",
    "ravenshelf.background",
    "ravenshelf.operator_config",
    "standins",
    "benchmarks",
    "examples",
)


def test_serve_loads_nothing_that_it_does_not_use():
    modules = loaded_modules()
    assert "ravenshelf.policy.controller" in modules
    assert not [m for m in modules if m.split(".")[0] in (*EXTRAS, "msgspec") or m.startswith(OWN)]
    assert not [m for m in modules if m.split(".")[0] in COMMAND_LINE or m == "ravenshelf.commands"]
    assert not [
        m
        for m in loaded_modules("operator")
        if m.split(".")[0] in EXTRAS or m.startswith(("ravenshelf.graphite", "ravenshelf.collectd"))
    ]


def test_imports_follow_the_layers():
    done = subprocess.run(
        [str(Path(sys.executable).parent / "lint-imports"), "--no-cache"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 0, done.stdout
