"""The operator file, the catalogues, the layers, and what serving loads."""

import ast
import json
import subprocess
import sys
from pathlib import Path

import pytest

from ravenshelf import log_events, output
from ravenshelf.graphite import metrics
from ravenshelf.operator_config import reading
from ravenshelf.operator_config.reading import OperatorConfigurationError, check
from ravenshelf.process import logs

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "operations" / "graphite-and-collectd.md"


@pytest.mark.parametrize(
    "said, complaint",
    [
        (
            {"graphite": {"recievers": []}},
            "f: [graphite] recievers: found a key that is not known; did you mean receivers?",
        ),
        ({"grafite": {}}, "f: grafite: found a table that is not known; did you mean graphite?"),
        ({"graphite": 3}, "f: [graphite]: found 3, expected a table"),
        (
            {"graphite": {"every_s": "10"}},
            "f: [graphite] every_s: found '10', expected a whole number from 1 to 3600",
        ),
        (
            {"graphite": {"every_s": 0}},
            "f: [graphite] every_s: found 0, expected a whole number from 1 to 3600",
        ),
        (
            {"graphite": {"every_s": True}},
            "f: [graphite] every_s: found True, expected a whole number from 1 to 3600",
        ),
        ({"graphite": {"prefix": "a b"}}, "f: [graphite] prefix: found 'a b', expected words parted by dots"),
        (
            {"graphite": {"receivers": ["a:1", 2]}},
            "f: [graphite] receivers[1]: found ['a:1', 2], expected a list",
        ),
        ({"graphite": {"receivers": ["a"]}}, "f: [graphite] receivers[0]: found 'a', expected host:port"),
        (
            {"graphite": {"receivers": ["a:1", "a:1"]}},
            "f: [graphite] receivers[1]: found 'a:1' again, expected each once",
        ),
        (
            {"graphite": {"spool_mb": 3}},
            "f: [graphite] spool_dir: found nothing, expected a folder, since spool_mb is given",
        ),
        ({"log": {"format": "xml"}}, 'f: [log] format: found \'xml\', expected "text" or "json"'),
        ({"collectd": {"security": "sign"}}, "f: [collectd] users: found nothing, expected a file"),
        ({"collectd": {"plugins": ["disk"]}}, "f: [collectd] plugins[0]: found ['disk'], expected a list of"),
        (
            {"background": {"turn_ms": 15, "a_second_ms": 5}},
            "f: [background] turn_ms: found 15, expected at most a_second_ms (5)",
        ),
    ],
)
def test_each_complaint_names_file_table_key_what_was_found_and_expected(said, complaint):
    with pytest.raises(OperatorConfigurationError) as why:
        check(said, "f")
    assert str(why.value).startswith(complaint)


@pytest.mark.parametrize("members, taken", [(1024, True), (1025, True), (4096, True), (4097, False)])
def test_as_many_members_as_terms_can_tell_apart(members, taken):
    said = {
        "leadership": {
            "name": "m0",
            "cluster": "c",
            "members": {f"m{n}": f"10.0.{n // 250}.{n % 250}:7000" for n in range(members)},
        },
        "store": {"folder": "/tmp"},
    }
    if taken:
        assert len(check(said, "f").leadership.members) == members
    else:
        with pytest.raises(OperatorConfigurationError, match="expected up to 4096"):
            check(said, "f")


def test_all_that_is_wrong_is_told_at_once():
    with pytest.raises(OperatorConfigurationError) as why:
        check({"graphite": {"every_s": 0, "route": "some"}, "lag": {}}, "f")
    assert len(str(why.value).splitlines()) == 3


def test_an_empty_file_turns_nothing_on_and_the_deployed_one_is_one():
    operator = check({}, "f")
    assert not operator.graphite.receivers and not operator.collectd.listen and operator.log.format == "text"
    assert reading.read(ROOT / "deploy" / "operator.toml") == operator


def test_files_that_it_names_are_read_with_it(tmp_path):
    file = tmp_path / "operator.toml"
    for text, complaint in (
        ("[collectd]\nusers = 'none'", "No such file"),
        ("[log\n", "expected TOML"),
        (f"[collectd]\ntypes = '{tmp_path / 't'}'", "expected name:KIND"),
    ):
        (tmp_path / "t").write_text("x y")
        file.write_text(text)
        with pytest.raises(OperatorConfigurationError, match=complaint):
            reading.read(file)
    with pytest.raises(OperatorConfigurationError, match="gone.toml: No such file"):
        reading.read(tmp_path / "gone.toml")


# --- events ---


def test_every_message_is_an_event_with_the_fields_that_it_names():
    used = set()
    for path in (ROOT / "ravenshelf").rglob("*.py"):
        tree = ast.parse(path.read_text())
        for node in ast.walk(tree):
            if (
                isinstance(node, ast.Attribute)
                and isinstance(node.value, ast.Name)
                and path.name != "log_events.py"
            ):
                assert node.value.id != "logger" or node.attr in ("remove", "add", "level"), (
                    f"{path}:{node.lineno}"
                )
                if node.value.id == "log_events" and node.attr.isupper():
                    used.add(node.attr)
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr.isupper()
            ):
                event = getattr(log_events, node.func.attr, None)
                if event is not None:
                    assert {k.arg for k in node.keywords} == set(event.fields), f"{path}:{node.lineno}"
    made = {name for name in dir(log_events) if isinstance(getattr(log_events, name), log_events.LogEvent)}
    assert made == used


def test_json_lines_hold_the_fields_as_values():
    lines = []
    sink = logs.start("INFO", "json", lines.append)
    log_events.RECEIVER_DISCONNECTED(receiver="a:1", end="reset", rest=1.25)
    try:
        1 / 0
    except ZeroDivisionError as why:
        log_events.JOB_FAILED.with_traceback(why, job="x")
    sink.finish(2)
    first, second = map(json.loads, lines)
    assert (first["event"], first["level"], first["rest"], first["receiver"]) == (
        "graphite.disconnected",
        "WARNING",
        1.25,
        "a:1",
    )
    assert (
        first["message"] == "connection to Graphite receiver a:1 ended: reset; reconnect in 1.2 s"
        and "at" in first
    )
    assert "ZeroDivisionError" in second["trace"] and second["job"] == "x"


# --- pages made from the code ---


def held(heading, rows):
    text = PAGE.read_text()
    assert "\n".join(rows) in text, f"{heading}: run `make pages`"


def test_the_page_holds_the_catalogues_as_they_are():
    held("events", log_events.markdown())
    held(
        "figures",
        output.markdown(("path", "unit", "importance", "source", "meaning", "formed"), metrics.rows()),
    )
    held("keys", output.markdown(("table", "key", "default", "expected"), reading.rows()))


def test_the_graphs_for_the_morning_name_figures_that_are_sent():
    graphs = json.loads((ROOT / "deploy" / "graphite-graphs.json").read_text())
    known = [one.path for one in metrics.CATALOGUE.values()]
    assert len(graphs["graphs"]) >= 8
    for graph in graphs["graphs"]:
        for target in graph["targets"]:
            path = target.split("ravenshelf.*.")[1].split(",")[0].rstrip(")")
            parts = path.split(".")
            assert any(
                len(k.split(".")) in (len(parts), len(parts) - 1)
                and all(w == "*" or w == h or h.startswith("{") for w, h in zip(parts, k.split(".")))
                for k in known
            ), target


# --- what serving loads ---


def loaded(*operator):
    program = (
        "import sys\nfrom ravenshelf import __main__\nfrom ravenshelf.process import logs, run, control_plane, serving\n"
        + ("from ravenshelf.process.operations import composer\n" if operator else "")
        + "print('\\n'.join(sorted(sys.modules)))"
    )
    out = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout
    return set(out.split())


EXTRAS = (
    "numpy",
    "scipy",
    "hdrh",
    "xxhash",
    "cryptography",
    "hypothesis",
    "pytest",
    "matplotlib",
    "z3",
    "textual",
    "tomlkit",
    "pydantic",
    "importlinter",
    "grpc",
)
COMMAND_LINE = ("typer", "click", "rich", "shellingham", "markdown_it", "pygments")
OWN = (
    "ravenshelf.graphite",
    "ravenshelf.collectd",
    "ravenshelf.store",
    "ravenshelf.background",
    "ravenshelf.operator_config",
    "standins",
    "benchmarks",
    "examples",
)


def test_serving_loads_nothing_that_it_does_not_use():
    modules = loaded()
    assert "ravenshelf.policy.controller" in modules
    assert not [m for m in modules if m.split(".")[0] in (*EXTRAS, "msgspec") or m.startswith(OWN)]
    assert not [m for m in modules if m.split(".")[0] in COMMAND_LINE or m == "ravenshelf.commands"]
    assert not [
        m
        for m in loaded("operator")
        if m.split(".")[0] in EXTRAS or m.startswith(("ravenshelf.graphite", "ravenshelf.collectd"))
    ]


def test_the_layers_hold():
    done = subprocess.run(
        [str(Path(sys.executable).parent / "lint-imports"), "--no-cache"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 0, done.stdout


@pytest.mark.parametrize("words", [("check",), ("format", "--check")], ids=["linter", "formatter"])
def test_the_linter_and_the_formatter_find_nothing(words):
    """Over the whole tree; pyproject.toml lists by module what does not pass yet."""
    done = subprocess.run(
        [str(Path(sys.executable).parent / "ruff"), *words, "--no-cache"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 0, done.stdout
