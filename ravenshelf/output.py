"""The one way to print a table: for a terminal, for a page, for a program."""

import json
import sys
from collections.abc import Sequence

FORMS = ("table", "markdown", "json")


def show(headings: Sequence[str], rows: Sequence[Sequence], form: str = "table", title: str = "") -> None:
    if form == "json":
        json.dump([dict(zip(headings, row)) for row in rows], sys.stdout, indent=1, default=str)
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
        console.print(table, width=None if console.is_terminal else 200)


def markdown(headings: Sequence[str], rows: Sequence[Sequence]) -> list[str]:
    def line(cells) -> str:
        return "| " + " | ".join(str(cell).replace("|", "\\|") for cell in cells) + " |"

    return [line(headings), line(["---"] * len(headings)), *map(line, rows)]
