"""Writes the catalogues that the operators' pages hold between `<!-- NAME -->` and `<!-- /NAME -->`."""

import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from ravenshelf import events, printing  # noqa: E402
from ravenshelf.graphite import figures  # noqa: E402
from ravenshelf.operating import reading  # noqa: E402

CATALOGUES = {
    "events": events.markdown(),
    "figures": printing.markdown(
        ("path", "unit", "importance", "source", "meaning", "formed"), figures.rows()
    ),
    "keys": printing.markdown(("table", "key", "default", "expected"), reading.rows()),
}

for page in sorted((ROOT / "docs" / "operations").glob("*.md")):
    text = page.read_text()
    for name, rows in CATALOGUES.items():
        block = "\n".join(rows)
        text = re.sub(
            f"(<!-- {name} -->\n).*?(<!-- /{name} -->)", lambda m: f"{m[1]}{block}\n{m[2]}", text, flags=re.S
        )
    page.write_text(text)
