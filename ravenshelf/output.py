"""Output of tables: as text for a terminal, as Markdown for a page, or as JSON for a program."""

import json
import sys
from collections.abc import Sequence

OUTPUT_FORMATS = ("table", "markdown", "json")
WIDTH_WITHOUT_TERMINAL = 200  # Width of the output, in characters, if it is not a terminal.


def print_table(
    headings: Sequence[str], rows: Sequence[Sequence[object]], output_format: str = "table", title: str = ""
) -> None:
    """Print a table on standard output.

    Args:
        headings: The heading of each column.
        rows: A sequence of cells for each row.
        output_format: One of OUTPUT_FORMATS. JSON is a list with an object per row, whose keys are the
            headings.
        title: The title, which only the format "table" shows.

    Raises:
        ValueError: In the format "json", a row has more or fewer cells than there are headings.
    """
    if output_format == "json":
        json.dump([dict(zip(headings, row, strict=True)) for row in rows], sys.stdout, indent=1, default=str)
        print()
    elif output_format == "markdown":
        print("\n".join(markdown(headings, rows)))
    else:
        from rich.console import Console
        from rich.table import Table

        table = Table(*headings, title=title or None, title_justify="left")
        for row in rows:
            table.add_row(*(str(cell) for cell in row))
        console = Console()
        console.print(table, width=None if console.is_terminal else WIDTH_WITHOUT_TERMINAL)


def markdown(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Return the lines of a Markdown table; a pipe character in a cell is escaped."""

    def table_row(cells: Sequence[object]) -> str:
        """Return one line of the table with its pipe characters escaped."""
        return "| " + " | ".join(str(cell).replace("|", "\\|") for cell in cells) + " |"

    return [table_row(headings), table_row(["---"] * len(headings)), *map(table_row, rows)]
