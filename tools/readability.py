"""Figures of how the code reads: sizes, names, docstrings, types, and exceptions from the linter.

python -m tools.readability [FOLDER]    # the root of a checkout; this one where none is given
"""

import ast
import re
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

LONG_FUNCTION = 40  # lines
Function = ast.FunctionDef | ast.AsyncFunctionDef


class Figures(NamedTuple):
    """The counted figures of a checkout's package."""

    largest_module: str
    longest_function: str
    functions_over_40_lines: int
    one_letter_assignments: int
    public_items: int
    public_items_without_docstring: int
    untyped_arguments: int
    linter_exceptions: int
    modules_not_type_checked: int


def trees(root: Path) -> Iterator[tuple[Path, str, ast.Module]]:
    """Path, text and syntax tree of every module of the package."""
    for path in sorted((root / "ravenshelf").rglob("*.py")):
        text = path.read_text(encoding="utf-8")
        yield path.relative_to(root), text, ast.parse(text)


def untyped(function: Function) -> int:
    """How many arguments of a function have no annotation."""
    arguments = function.args
    named = [*arguments.posonlyargs, *arguments.args, *arguments.kwonlyargs]
    return sum(one.annotation is None and one.arg not in ("self", "cls") for one in named)


def one_letter_targets(node: ast.AST) -> int:
    """How many one-letter names an assignment or loop outside comprehensions binds."""
    targets = []
    if isinstance(node, ast.Assign):
        targets = node.targets
    elif isinstance(node, ast.For | ast.AsyncFor | ast.NamedExpr):
        targets = [node.target]
    names = [one for target in targets for one in ast.walk(target) if isinstance(one, ast.Name)]
    return sum(len(one.id) == 1 and one.id != "_" for one in names)


def linter_exceptions(root: Path) -> tuple[int, int]:
    """Rules excepted by file in pyproject.toml, and modules that the type checker passes over."""
    project = tomllib.loads((root / "pyproject.toml").read_text(encoding="utf-8"))["tool"]
    ignores = project.get("ruff", {}).get("lint", {}).get("per-file-ignores", {})
    rules = sum(len(codes) for file, codes in ignores.items() if file != "tests/**")
    overrides = project.get("mypy", {}).get("overrides", [])
    modules = sum(len(one["module"]) for one in overrides if one.get("ignore_errors"))
    return rules, modules


def measure(root: Path) -> Figures:
    """Count a checkout."""
    modules: list[tuple[int, str]] = []
    functions: list[tuple[int, str]] = []
    letters = public = undocumented = arguments = 0
    for path, text, tree in trees(root):
        modules.append((len(text.splitlines()), str(path)))
        for node in ast.walk(tree):
            letters += one_letter_targets(node)
            if isinstance(node, Function):
                functions.append(((node.end_lineno or 0) - node.lineno + 1, f"{path}:{node.name}"))
                arguments += untyped(node)
            if isinstance(node, Function | ast.ClassDef) and not node.name.startswith("_"):
                public += 1
                undocumented += ast.get_docstring(node) is None
    rules, unchecked = linter_exceptions(root)
    return Figures(
        largest_module="{1}, {0} lines".format(*max(modules)),
        longest_function="{1}, {0} lines".format(*max(functions)),
        functions_over_40_lines=sum(lines > LONG_FUNCTION for lines, _ in functions),
        one_letter_assignments=letters,
        public_items=public,
        public_items_without_docstring=undocumented,
        untyped_arguments=arguments,
        linter_exceptions=rules,
        modules_not_type_checked=unchecked,
    )


def main(arguments: list[str]) -> int:
    """Print the figures, one a line."""
    root = Path(arguments[0]) if arguments else Path(__file__).resolve().parent.parent
    for name, value in measure(root)._asdict().items():
        print(f"{re.sub('_', ' ', name)}: {value}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
