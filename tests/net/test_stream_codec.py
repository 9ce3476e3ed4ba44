"""Encoding of messages and decoding of load columns."""

import pytest

from ravenshelf.net import stream_codec
from ravenshelf.net.stream_codec import (
    FIELDS_LIMIT,
    LOAD_COLUMN_ALIASES,
    LOAD_VALUES_LIMIT,
    RATE,
    MalformedMessageError,
    parse_fields,
    parse_named_values,
    split_line,
)
from ravenshelf.state.table_update import AdmissionLevel, TableUpdate


@pytest.mark.parametrize(
    "value, text",
    [
        (1000.0, "1000"),
        (0.01, "0.01"),
        (1e6, "1000000"),
        (0, "0"),
        (0.0, "0"),
        (1 / 3, "0.333333"),
        (1e-7, "0.0000001"),
        (1e-30, "0.000000000001"),
        (123456.75, "123456.75"),
    ],
)
def test_encoded_numbers_decode_to_the_same_value(value, text):
    assert stream_codec.format_decimal(value) == text and (float(text) > 0) == (value > 0)


def test_a_message_is_encoded_as_one_line_for_each_update():
    updates = [
        TableUpdate((0, 1), True, [(0, 1.5), (1, 0)], None, [1], [0]),
        TableUpdate((1,), admission_level=AdmissionLevel(0.5, 1), marker=9),
    ]
    assert stream_codec.encode_message(updates, ["s-1", "s-2"], ["look", "pay"]) == (
        b"CONFIG classes=look+pay whole=1 lines=s-1:1.5,s-2:0 out=s-2 back=s-1 more=1\r\n"
        b"CONFIG classes=pay level=0.5 retry=1 ticket=9\r\n"
    )
    assert [update.count_lines() for update in updates] == [5, 2]
    with pytest.raises(ValueError):
        stream_codec.encode_message([TableUpdate()] * 65, [], [])


@pytest.mark.parametrize(
    "text, columns, expected_load",
    [
        ("inflight=7,queue=2,util=0.61", ["cpu", "active"], (0.61, 7.0)),
        ("inflight=7", ["active", "cpu"], ()),
        ("inflight=nan", ["active"], ()),
        ("", ["active"], ()),
        ("util=0.5,x0=3", ["cpu"], (0.5,)),
        ("inflight", ["active"], ()),
        (
            ",".join(f"{word}={number}" for number, word in enumerate(LOAD_COLUMN_ALIASES)),
            list(LOAD_COLUMN_ALIASES.values()),
            tuple(range(6)),
        ),
    ],
)
def test_load_columns_are_decoded_by_name(text, columns, expected_load):
    assert (
        stream_codec.decode_load_columns(stream_codec.parse_named_values(text, "="), columns) == expected_load
    )


@pytest.mark.parametrize(
    "count, is_valid", [(FIELDS_LIMIT, True), (FIELDS_LIMIT + 1, False), (100_000, False)]
)
def test_a_message_of_very_many_fields_is_rejected_before_it_is_split(count, is_valid):
    """Guards against a line whose hundreds of thousands of short fields take many times its memory."""
    line = b"RATE " + b" ".join(b"n%d=1" % number for number in range(count))
    kind, words = split_line(line)
    assert kind == RATE and len(words) <= FIELDS_LIMIT + 1
    if is_valid:
        assert len(parse_fields(words)) == count
    else:
        with pytest.raises(MalformedMessageError, match="at most 256 fields"):
            parse_fields(words)


def test_a_load_report_of_very_many_values_is_split_only_in_part():
    assert len(parse_named_values(",".join(["active:1"] * 100_000), ":")) <= LOAD_VALUES_LIMIT + 1
