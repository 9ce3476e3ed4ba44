"""The encoded bytes of distribution messages are those that released versions write and read."""

import json
from pathlib import Path
from typing import get_args

import pytest

from ravenshelf.distribution.messages import Message, decode, encode
from tools.write_distribution_fixtures import samples

FIXTURES = Path(__file__).resolve().parent.parent / "fixtures" / "distribution" / "messages.json"
ENCODED = {
    name: bytes.fromhex(text) for name, text in json.loads(FIXTURES.read_text(encoding="utf-8")).items()
}


@pytest.mark.parametrize("name", ENCODED)
def test_decoding_and_encoding_again_gives_the_same_bytes(name):
    assert encode(decode(ENCODED[name])) == ENCODED[name]


@pytest.mark.parametrize("name", ENCODED)
def test_decoding_gives_the_sample_that_was_encoded(name):
    assert decode(ENCODED[name]) == samples()[name]


@pytest.mark.parametrize("name", samples())
def test_encoding_a_sample_gives_the_recorded_bytes(name):
    assert encode(samples()[name]) == ENCODED[name]


def test_there_is_a_fixture_of_every_message_type():
    assert {type(decode(data)) for data in ENCODED.values()} == set(get_args(Message))
