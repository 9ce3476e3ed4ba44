"""The operator file: the location of each problem in error messages, and files that the file names."""

from pathlib import Path

import pytest

from ravenshelf.operator_config import reading
from ravenshelf.operator_config.decoding import decode
from ravenshelf.operator_config.errors import OperatorConfigurationError

ROOT = Path(__file__).resolve().parent.parent.parent


@pytest.mark.parametrize(
    "document, message",
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
        (
            {"graphite": {"prefix": "a b"}},
            "f: [graphite] prefix: found 'a b', expected words separated by dots",
        ),
        (
            {"graphite": {"receivers": ["a:1", 2]}},
            "f: [graphite] receivers[1]: found ['a:1', 2], expected a list",
        ),
        ({"graphite": {"receivers": ["a"]}}, "f: [graphite] receivers[0]: found 'a', expected host:port"),
        (
            {"graphite": {"receivers": ["a:1", "a:1"]}},
            "f: [graphite] receivers[1]: found 'a:1' again, expected each receiver once",
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
    ids=[
        "unknown key",
        "unknown table",
        "a number in place of a table",
        "a number as a string",
        "a number below the minimum",
        "a boolean in place of a number",
        "a prefix with a space",
        "a receiver that is not a string",
        "a receiver without a port",
        "a receiver twice",
        "a spool without a folder",
        "an unknown log format",
        "signatures without users",
        "an unknown plugin",
        "a turn longer than the time per second",
    ],
)
def test_a_problem_names_the_file_the_table_the_key_and_the_value_found_and_expected(document, message):
    with pytest.raises(OperatorConfigurationError) as raised:
        decode(document, "f")
    assert str(raised.value).startswith(message)


@pytest.mark.parametrize(
    "member_count, is_accepted", [(1024, True), (1025, True), (4096, True), (4097, False)]
)
def test_the_number_of_members_is_limited_to_those_whose_terms_are_distinct(member_count, is_accepted):
    document = {
        "leadership": {
            "name": "m0",
            "cluster": "c",
            "members": {
                f"m{number}": f"10.0.{number // 250}.{number % 250}:7000" for number in range(member_count)
            },
        },
        "store": {"folder": "/tmp"},
    }
    if is_accepted:
        assert len(decode(document, "f").leadership.members) == member_count
    else:
        with pytest.raises(OperatorConfigurationError, match="expected up to 4096"):
            decode(document, "f")


def test_all_problems_are_reported_in_one_error():
    with pytest.raises(OperatorConfigurationError) as raised:
        decode({"graphite": {"every_s": 0, "route": "some"}, "lag": {}}, "f")
    assert len(str(raised.value).splitlines()) == 3


def test_an_empty_file_enables_no_feature_and_the_deployed_file_equals_it():
    operator = decode({}, "f")
    assert not operator.graphite.receivers and not operator.collectd.listen and operator.log.format == "text"
    assert reading.read(ROOT / "deploy" / "operator.toml") == operator


def test_files_that_the_operator_file_names_are_read_and_checked(tmp_path):
    file = tmp_path / "operator.toml"
    for text, message in (
        ("[collectd]\nusers = 'none'", "No such file"),
        ("[log\n", "expected TOML"),
        (f"[collectd]\ntypes = '{tmp_path / 't'}'", "expected name:KIND"),
    ):
        (tmp_path / "t").write_text("x y")
        file.write_text(text)
        with pytest.raises(OperatorConfigurationError, match=message):
            reading.read(file)
    with pytest.raises(OperatorConfigurationError, match=r"gone\.toml: No such file"):
        reading.read(tmp_path / "gone.toml")
