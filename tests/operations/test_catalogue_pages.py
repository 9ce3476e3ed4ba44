"""The operators' pages and graphs agree with the catalogues in the code."""

import json
from pathlib import Path

from ravenshelf import log_events, output
from ravenshelf.graphite import metrics
from ravenshelf.operator_config import keys

ROOT = Path(__file__).resolve().parent.parent.parent
PAGE = ROOT / "docs" / "operations" / "graphite-and-collectd.md"


def assert_on_page(heading, rows):
    text = PAGE.read_text()
    assert "\n".join(rows) in text, f"{heading}: run `make pages`"


def test_the_page_has_the_current_catalogues():
    assert_on_page("events", log_events.markdown())
    assert_on_page(
        "figures",
        output.markdown(("path", "unit", "importance", "source", "meaning", "formed"), metrics.rows()),
    )
    assert_on_page("keys", output.markdown(("table", "key", "default", "expected"), keys.rows()))


def test_graphs_name_metrics_that_are_exported():
    graphs = json.loads((ROOT / "deploy" / "graphite-graphs.json").read_text())
    known = [metric.path for metric in metrics.CATALOGUE.values()]
    assert len(graphs["graphs"]) >= 8
    for graph in graphs["graphs"]:
        for target in graph["targets"]:
            parts = target.split("ravenshelf.*.")[1].split(",")[0].rstrip(")").split(".")
            assert any(
                len(path.split(".")) in (len(parts), len(parts) - 1)
                and all(
                    part == "*" or part == exported or exported.startswith("{")
                    for part, exported in zip(parts, path.split("."), strict=False)
                )
                for path in known
            ), target
