"""Commands for stored state."""

import json
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from ravenshelf.commands.shared import JsonOption, reject

if TYPE_CHECKING:
    from ravenshelf.store.journal import Journal

app = typer.Typer(help="State on disk, of a server that does not run.", no_args_is_help=True)
FolderArgument = Annotated[Path, typer.Argument(help="The folder that holds segments.")]


def open_journal(folder: Path, readonly: bool) -> "Journal":
    """Return the journal of a folder; exits where it is damaged."""
    from ravenshelf.store.errors import DamagedSegmentError
    from ravenshelf.store.journal import Journal

    try:
        if not any(folder.glob("*.segment")):
            raise DamagedSegmentError(folder, "expected a folder with segments")
        return Journal(folder, {}, readonly=readonly)
    except (DamagedSegmentError, OSError) as error:
        raise reject(error) from None


@app.command()
def verify(folder: FolderArgument, as_json: JsonOption = False) -> None:
    """Read all of it; exit code 2 names what is damaged."""
    journal = open_journal(folder, True)
    summary = {
        "identity": journal.identity,
        "entries": len(journal.entries),
        "segments": len(journal.segments.sizes),
        "octets": sum(journal.segments.sizes.values()),
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
    """Every entry, one JSON object a line."""
    for key, value in open_journal(folder, True).entries.items():
        print(json.dumps({"key": key, "value": value}, default=_as_text))


@app.command()
def compact(folder: FolderArgument) -> None:
    """Write one segment with all that holds in place of the others."""
    journal = open_journal(folder, False)
    before = sum(journal.segments.sizes.values())
    journal.compact()
    print(
        f"{before} bytes before, {sum(journal.segments.sizes.values())} after, {len(journal.entries)} entries"
    )
    journal.close()
