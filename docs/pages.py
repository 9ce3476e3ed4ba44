"""Writes the catalogues that the operators' pages hold between `<!-- NAME -->` and `<!-- /NAME -->`."""

import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from ravenshelf import log_events, output  # noqa: E402
from ravenshelf.graphite import metrics  # noqa: E402
from ravenshelf.operator_config import keys  # noqa: E402

CATALOGUES = {
    "events": log_events.markdown(),
    "figures": output.markdown(("path", "unit", "importance", "source", "meaning", "formed"), metrics.rows()),
    "keys": output.markdown(("table", "key", "default", "expected"), keys.rows()),
}

for page in sorted((ROOT / "docs" / "operations").glob("*.md")):
    text = page.read_text()
    for name, rows in CATALOGUES.items():
        block = "\n".join(rows)
        text = re.sub(
            f"(<!-- {name} -->\n).*?(<!-- /{name} -->)", lambda m: f"{m[1]}{block}\n{m[2]}", text, flags=re.S
        )
    page.write_text(text)
