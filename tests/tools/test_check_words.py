"""The check against withdrawn words and names of one letter."""

import pytest

from tools.check_words import FOLDERS, OWN_FILES, all_places, places, short_names


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


@pytest.mark.parametrize(
    "text, words",
    [
        ("unproved_count = 1", ["unproved"]),
        ("def test_everyone_is_told(): ...", ["everyone", "told"]),
        ("class EndpointStrengths: ...", ["strengths"]),
        ("usual_pace = orders", ["usual", "pace", "orders"]),
        ('"""Report the usual order, as said above."""', []),
        ("ordered = adapt(border)", []),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_words_withdrawn_later_are_reported_in_names_only(text, words):
    assert [occurrence.word for occurrence in places("module.py", text)] == words


def test_a_word_of_an_outer_interface_is_allowed_only_in_its_file():
    text = 'pilots = pilots_total\n"tally"\n'
    assert [occurrence.word for occurrence in places("benchmarks/capacity.py", text)] == ["pilots", "tally"]
    assert [occurrence.word for occurrence in places("tools/outer_forms/simulator_session.py", text)] == [
        "pilots",
        "pilots",
    ]
    assert [occurrence.word for occurrence in places("module.py", text)] == ["pilots", "pilots", "tally"]


@pytest.mark.parametrize(
    "text, names",
    [
        ("n = 1", ["n"]),
        ("n: int = 1", ["n"]),
        ("n += 1", ["n"]),
        ("first, (b, *c) = values", ["b", "c"]),
        ("for i, value in values: ...", ["i"]),
        ("with open(path) as f: ...", ["f"]),
        ("if (n := count()): ...", ["n"]),
        ("def add(a, /, b, *c, d=1, **e): ...", ["a", "b", "c", "d", "e"]),
        ("async def add(a): ...", ["a"]),
        ("import numbers as n", ["n"]),
        ("try: ...\nexcept ValueError as e: ...", ["e"]),
        ("def outer():\n    def inner():\n        n = 1", ["n"]),
        ("for _, value in values: _ = value", []),
        ("total = sum(a * b for a, b in pairs)", []),
        ("names = [n for n in values] + [*{n for n in values}, *{n: n for n in values}]", []),
        ("values.sort(key=lambda v: v.name)", []),
        ("count = n + world.n", []),
    ],
)
def test_bindings_of_one_letter_are_reported_outside_short_expressions(text, names):
    assert [occurrence.word for occurrence in short_names("module.py", text)] == names


def test_all_folders_are_searched_and_codecs_only_for_names_of_one_letter(tmp_path):
    for file in [*(f"{folder}/deep/module.py" for folder in FOLDERS), *OWN_FILES, "ravenshelf/settings.py"]:
        (tmp_path / file).parent.mkdir(parents=True, exist_ok=True)
        (tmp_path / file).write_text("pilot = n = 1\n")
    places_in_files = [(f"{folder}/deep/module.py", word) for folder in FOLDERS for word in ("pilot", "n")]
    assert [(occurrence.file, occurrence.word) for occurrence in all_places(tmp_path)] == sorted(
        [*places_in_files, ("ravenshelf/settings.py", "n")], key=lambda file_and_word: file_and_word[0]
    )


def test_the_code_base_has_no_finding():
    assert all_places() == []
