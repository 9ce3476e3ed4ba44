"""Prints tables: for a terminal, for a page (Markdown) or for a program (JSON)."""

import json
import sys
from collections.abc import Sequence

FORMS = ("table", "markdown", "json")
PLAIN_WIDTH = 200  # characters, where the output is no terminal


def show(
    headings: Sequence[str], rows: Sequence[Sequence[object]], form: str = "table", title: str = ""
) -> None:
    """Print rows in one of FORMS; the title is shown in a terminal only."""
    if form == "json":
        json.dump([dict(zip(headings, row, strict=True)) for row in rows], sys.stdout, indent=1, default=str)
        print()
    elif form == "markdown":
        print("\n".join(markdown(headings, rows)))
    else:
        from rich.console import Console
        from rich.table import Table

        table = Table(*headings, title=title or None, title_justify="left")
        for row in rows:
            table.add_row(*(str(cell) for cell in row))
        console = Console()
        console.print(table, width=None if console.is_terminal else PLAIN_WIDTH)


def markdown(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Return the lines of a Markdown table."""

    def line(cells: Sequence[object]) -> str:
        return "| " + " | ".join(str(cell).replace("|", "\\|") for cell in cells) + " |"

    return [line(headings), line(["---"] * len(headings)), *map(line, rows)]
