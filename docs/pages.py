"""Writes the catalogues that the operators' pages have between `<!-- NAME -->` and `<!-- /NAME -->`."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from ravenshelf import log_events, output  # noqa: E402
from ravenshelf.graphite import metrics  # noqa: E402
from ravenshelf.operator_config import keys  # noqa: E402

METRIC_COLUMNS = ("path", "unit", "importance", "source", "meaning", "formed")
KEY_COLUMNS = ("table", "key", "default", "expected")
CATALOGUES = {
    "events": log_events.markdown(),
    "figures": output.markdown(METRIC_COLUMNS, metrics.rows()),
    "keys": output.markdown(KEY_COLUMNS, keys.rows()),
}


def with_catalogues(text: str) -> str:
    """Return a page with the present catalogues."""
    for name, rows in CATALOGUES.items():
        start, end = f"<!-- {name} -->\n", f"<!-- /{name} -->"
        before, found_start, rest = text.partition(start)
        _, found_end, after = rest.partition(end)
        if found_start and found_end:
            text = before + start + "\n".join(rows) + "\n" + end + after
    return text


if __name__ == "__main__":
    for page in sorted((ROOT / "docs" / "operations").glob("*.md")):
        page.write_text(with_catalogues(page.read_text()))
