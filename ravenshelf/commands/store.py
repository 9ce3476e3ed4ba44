"""Commands for the state that a server has stored on disk."""

import json
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from ravenshelf.commands.shared import JsonOption, error_exit

if TYPE_CHECKING:
    from ravenshelf.store.journal import Journal

app = typer.Typer(
    help="Verify, print or compact the stored state of a server that is not running.", no_args_is_help=True
)
FolderArgument = Annotated[Path, typer.Argument(help="Path of the folder that contains the segments.")]


def open_journal(folder: Path, readonly: bool) -> "Journal":
    """Return the journal of a folder.

    Args:
        folder: The folder that contains the segments.
        readonly: Whether the folder is neither locked nor changed.

    Raises:
        typer.Exit: The folder has no segments, is in use or is damaged; the reason is printed.
    """
    from ravenshelf.store.errors import DamagedSegmentError
    from ravenshelf.store.journal import Journal

    try:
        if not any(folder.glob("*.segment")):
            raise DamagedSegmentError(folder, "expected a folder with segments")
        return Journal(folder, {}, is_readonly=readonly)
    except (DamagedSegmentError, OSError) as error:
        raise error_exit(error) from None


@app.command()
def verify(folder: FolderArgument, as_json: JsonOption = False) -> None:
    """Read and check all stored state; if it is damaged, print where, and exit with code 2."""
    journal = open_journal(folder, True)
    summary = {
        "identity": journal.identity,
        "entries": len(journal.entries),
        "segments": len(journal.segments.segment_sizes),
        "octets": sum(journal.segments.segment_sizes.values()),
        "torn_tail": journal.torn_tail_bytes,
    }
    if as_json:
        print(json.dumps(summary))
    else:
        print("sound: " + ", ".join(f"{name} {value}" for name, value in summary.items()))


def _as_text(value: object) -> str:
    return value.hex() if isinstance(value, bytes) else str(value)


@app.command()
def dump(folder: FolderArgument) -> None:
    """Print each stored entry as a line with a JSON object."""
    for key, value in open_journal(folder, True).entries.items():
        print(json.dumps({"key": key, "value": value}, default=_as_text))


@app.command()
def compact(folder: FolderArgument) -> None:
    """Replace all segments by one segment that contains only the current entries."""
    journal = open_journal(folder, False)
    size_before = sum(journal.segments.segment_sizes.values())
    journal.compact()
    print(
        f"{size_before} bytes before, {sum(journal.segments.segment_sizes.values())} bytes after, "
        f"{len(journal.entries)} entries"
    )
    journal.close()
