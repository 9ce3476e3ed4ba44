"""Decoding of the endpoint registry's lists."""

import json

import pytest
from conftest import target

from ravenshelf.net import endpoint_codec
from ravenshelf.policy.events import (
    EndpointState,
    ListedEndpoint,
)
from ravenshelf.settings import Settings


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"[]",
        b"{}",
        b'{"rev":"4","targets":[]}',
        b'{"rev":4,"targets":{}}',
        b"{\xff}",
        b'{"rev":true,"targets":[]}',
        b'{"rev":4,"targets":[',
    ],
)
def test_unreadable_lists_are_rejected(text):
    with pytest.raises(endpoint_codec.UnreadableListError):
        endpoint_codec.EndpointListDecoder(Settings(), None, None).decode_list(text)


def test_entries_are_decoded_and_malformed_ones_reported():
    names = []
    decoder = endpoint_codec.EndpointListDecoder(
        Settings(zones=("a", "b"), machine_kinds=("m1", "m2")),
        lambda name: names.append(name) or len(names) - 1,
        {"s-2": 9}.get,
    )
    targets = [
        target("s-1", "b", "DRAINING", model="m2", pod_group=3, boot_ms=1500.5, endpoint="10.0.0.1:8080"),
        target("s-2", state="ASLEEP"),
        target("s-3", az="z"),
        target("s 4"),
        7,
        target("s-5", capacity_hint=-1),
        target("s-6", boot_ms="x"),
        target("s-7", endpoint=None, colour="blue"),
        {"uid": "s-8"},
    ]
    entries, addresses, malformed_entries = decoder.decode_entries(json.loads(json.dumps(targets)))
    assert entries == [
        ListedEndpoint(0, 1, 1, 3, EndpointState.DRAINING, 4.0, 1_500_500),
        ListedEndpoint(1, 0, 0, 0, EndpointState.READY, 4.0, 0),
    ]
    assert addresses == {0: "10.0.0.1:8080"} and [index for index, _ in malformed_entries] == [9] + 6 * [None]


@pytest.mark.parametrize(
    "states, decoded_states",
    [
        (("DRAINING", "DELETED"), ("DRAINING", "DELETED")),
        (("DRAINING", "DELETED", "DELETED"), ("DRAINING", "DELETED")),
        (("SERVING", "DELETED"), ("DELETED",)),
        (("DRAINING", "DELETED", "SERVING"), ("SERVING",)),
        (("DRAINING", "SERVING", "DELETED"), ("DELETED",)),
    ],
)
def test_a_drain_that_its_removal_follows_in_one_list_is_kept(states, decoded_states):
    """Guards against an endpoint that counts as removed without a drain, because one line brought both."""
    decoder = endpoint_codec.EndpointListDecoder(Settings(zones=("a",)), lambda name: 0, {}.get)
    entries, _, _ = decoder.decode_entries([target("s-1", state=state) for state in states])
    assert tuple(entry.state for entry in entries) == tuple(
        endpoint_codec.STATES[state] for state in decoded_states
    )
