"""The operators' page and the Graphite graphs agree with the catalogues in the code."""

import json
from pathlib import Path

from ravenshelf import log_events, output
from ravenshelf.graphite import metrics
from ravenshelf.operator_config import keys

ROOT = Path(__file__).resolve().parent.parent.parent
PAGE = ROOT / "docs" / "operations" / "graphite-and-collectd.md"


def assert_on_page(catalogue, rows):
    text = PAGE.read_text()
    assert "\n".join(rows) in text, f"{catalogue}: run `make pages`"


def test_the_page_contains_the_current_catalogues():
    assert_on_page("events", log_events.markdown())
    assert_on_page(
        "figures",
        output.markdown(("path", "unit", "importance", "source", "meaning", "formed"), metrics.rows()),
    )
    assert_on_page("keys", output.markdown(("table", "key", "default", "expected"), keys.rows()))


def test_targets_of_graphs_match_exported_metrics():
    graphs = json.loads((ROOT / "deploy" / "graphite-graphs.json").read_text())
    exported_paths = [metric.path for metric in metrics.CATALOGUE.values()]
    assert len(graphs["graphs"]) >= 8
    for graph in graphs["graphs"]:
        for target in graph["targets"]:
            target_components = target.split("ravenshelf.*.")[1].split(",")[0].rstrip(")").split(".")
            assert any(
                len(path.split(".")) in (len(target_components), len(target_components) - 1)
                and all(
                    component == "*" or component == exported_component or exported_component.startswith("{")
                    for component, exported_component in zip(target_components, path.split("."), strict=False)
                )
                for path in exported_paths
            ), target
