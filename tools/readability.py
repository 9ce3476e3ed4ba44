"""Counts that show how readable the package is: sizes, names, docstrings, types, and linter exceptions.

python -m tools.readability [FOLDER]    # the root of a checkout; by default this one
"""

import ast
import re
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

LONG_FUNCTION = 40  # a function with more lines counts as long
Function = ast.FunctionDef | ast.AsyncFunctionDef


class Figures(NamedTuple):
    """Counts of the package in a checkout."""

    largest_module: str
    longest_function: str
    functions_over_40_lines: int
    one_letter_assignments: int
    public_items: int
    public_items_without_docstring: int
    untyped_arguments: int
    linter_exceptions: int
    modules_not_type_checked: int


def syntax_trees(root: Path) -> Iterator[tuple[Path, str, ast.Module]]:
    """Yield the path, text and syntax tree of each module of the package."""
    for path in sorted((root / "ravenshelf").rglob("*.py")):
        text = path.read_text(encoding="utf-8")
        yield path.relative_to(root), text, ast.parse(text)


def count_untyped_arguments(function: Function) -> int:
    """Return the number of a function's arguments without an annotation, except self and cls."""
    arguments = function.args
    all_arguments = [*arguments.posonlyargs, *arguments.args, *arguments.kwonlyargs]
    return sum(
        argument.annotation is None and argument.arg not in ("self", "cls") for argument in all_arguments
    )


def count_one_letter_targets(node: ast.AST) -> int:
    """Return the number of one-letter names that an assignment or a loop binds, except comprehensions."""
    targets = []
    if isinstance(node, ast.Assign):
        targets = node.targets
    elif isinstance(node, ast.For | ast.AsyncFor | ast.NamedExpr):
        targets = [node.target]
    names = [child for target in targets for child in ast.walk(target) if isinstance(child, ast.Name)]
    return sum(len(name.id) == 1 and name.id != "_" for name in names)


def count_linter_exceptions(root: Path) -> tuple[int, int]:
    """Return the number of rules excepted for files, and of modules that are not type-checked.

    Both are read from pyproject.toml; rules excepted for the tests are not counted.
    """
    project = tomllib.loads((root / "pyproject.toml").read_text(encoding="utf-8"))["tool"]
    ignores = project.get("ruff", {}).get("lint", {}).get("per-file-ignores", {})
    rules = sum(len(codes) for file, codes in ignores.items() if file != "tests/**")
    overrides = project.get("mypy", {}).get("overrides", [])
    modules = sum(len(override["module"]) for override in overrides if override.get("ignore_errors"))
    return rules, modules


def measure(root: Path) -> Figures:
    """Count the package of a checkout."""
    modules: list[tuple[int, str]] = []
    functions: list[tuple[int, str]] = []
    one_letter_names = public_count = without_docstring = arguments = 0
    for path, text, tree in syntax_trees(root):
        modules.append((len(text.splitlines()), str(path)))
        for node in ast.walk(tree):
            one_letter_names += count_one_letter_targets(node)
            if isinstance(node, Function):
                functions.append(((node.end_lineno or 0) - node.lineno + 1, f"{path}:{node.name}"))
                arguments += count_untyped_arguments(node)
            if isinstance(node, Function | ast.ClassDef) and not node.name.startswith("_"):
                public_count += 1
                without_docstring += ast.get_docstring(node) is None
    rules, unchecked_modules = count_linter_exceptions(root)
    return Figures(
        largest_module="{1}, {0} lines".format(*max(modules)),
        longest_function="{1}, {0} lines".format(*max(functions)),
        functions_over_40_lines=sum(lines > LONG_FUNCTION for lines, _ in functions),
        one_letter_assignments=one_letter_names,
        public_items=public_count,
        public_items_without_docstring=without_docstring,
        untyped_arguments=arguments,
        linter_exceptions=rules,
        modules_not_type_checked=unchecked_modules,
    )


def main(arguments: list[str]) -> int:
    """Print the counts, one on each line, and return the exit code 0."""
    root = Path(arguments[0]) if arguments else Path(__file__).resolve().parent.parent
    for name, value in measure(root)._asdict().items():
        print(f"{re.sub('_', ' ', name)}: {value}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
