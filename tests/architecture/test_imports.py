"""Imports follow the layers, and `serve` loads no module that it does not use."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent


def loaded_modules(*features):
    program = (
        "import sys\nfrom ravenshelf import __main__\n"
        + "from ravenshelf.process import logs, run, control_plane, serving\n"
        + ("from ravenshelf.process.operations import composer\n" if features else "")
        + "print('\\n'.join(sorted(sys.modules)))"
    )
    output = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout
    return set(output.split())


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
UNUSED_PACKAGES = (
    "ravenshelf.graphite",
    "ravenshelf.collectd",
    "ravenshelf.store",
    "ravenshelf.background",
    "ravenshelf.operator_config",
    "standins",
    "benchmarks",
    "examples",
)


def test_serve_loads_no_module_that_it_does_not_use():
    modules = loaded_modules()
    assert "ravenshelf.policy.controller" in modules
    assert not [
        module
        for module in modules
        if module.split(".")[0] in (*EXTRAS, "msgspec") or module.startswith(UNUSED_PACKAGES)
    ]
    assert not [
        module
        for module in modules
        if module.split(".")[0] in COMMAND_LINE or module.startswith("ravenshelf.commands")
    ]
    assert not [
        module
        for module in loaded_modules("operator")
        if module.split(".")[0] in EXTRAS or module.startswith(("ravenshelf.graphite", "ravenshelf.collectd"))
    ]


def test_imports_follow_the_layers():
    result = subprocess.run(
        [str(Path(sys.executable).parent / "lint-imports"), "--no-cache"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert result.returncode == 0, result.stdout
