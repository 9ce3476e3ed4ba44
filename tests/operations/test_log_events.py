"""Log events: every call passes the fields of its event, and JSON lines contain them."""

import ast
import json
from pathlib import Path

from ravenshelf import log_events
from ravenshelf.process import logs

ROOT = Path(__file__).resolve().parent.parent.parent


def test_every_log_call_passes_the_fields_of_its_event_and_every_event_is_used():
    used_events = set()
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
                    used_events.add(node.attr)
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr.isupper()
            ):
                event = getattr(log_events, node.func.attr, None)
                if event is not None:
                    assert {keyword.arg for keyword in node.keywords} == set(event.fields), (
                        f"{path}:{node.lineno}"
                    )
    defined_events = {
        name for name in dir(log_events) if isinstance(getattr(log_events, name), log_events.LogEvent)
    }
    assert defined_events == used_events


def test_json_lines_contain_the_fields_of_their_event():
    lines = []
    sink = logs.start("INFO", "json", lines.append)
    log_events.RECEIVER_DISCONNECTED(receiver="a:1", end="reset", rest=1.25)
    try:
        raise ZeroDivisionError
    except ZeroDivisionError as error:
        log_events.JOB_FAILED.with_traceback(error, job="x")
    sink.finish(2)
    disconnection, failure = map(json.loads, lines)
    assert (
        disconnection["event"],
        disconnection["level"],
        disconnection["rest"],
        disconnection["receiver"],
    ) == (
        "graphite.disconnected",
        "WARNING",
        1.25,
        "a:1",
    )
    assert (
        disconnection["message"] == "connection to Graphite receiver a:1 ended: reset; reconnect in 1.2 s"
        and "at" in disconnection
    )
    assert "ZeroDivisionError" in failure["trace"] and failure["job"] == "x"
