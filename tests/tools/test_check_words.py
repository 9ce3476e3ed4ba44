"""Test of the check for words of the former house style."""

import pytest

from tools.check_words import places


@pytest.mark.parametrize(
    "text, words",
    [
        ("pilot_count = 1", ["pilot"]),
        ("class PilotService: ...", ["pilot"]),
        ('"""Reads octets."""', ["octets"]),
        ("# a stranger", ["stranger"]),
        ('"""What a pilot does."""', []),  # The operators use this word, so it is allowed in sentences.
        ("co_pilots_chance = heard", ["pilots", "chance", "heard"]),
        ("copilot = 1", []),
        ("class ChannelFlowControl: ...", []),
        ("flow_controls = flow", ["flow", "flow"]),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_words_are_found_in_names_and_the_clearest_ones_in_sentences(text, words):
    assert [occurrence.word for occurrence in places("module.py", text)] == words
