"""The decoder against packets that are made independently of it, and which packets are rejected."""

import struct
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ravenshelf.collectd import protocol, security, types
from ravenshelf.collectd.decisions.host_loads import HostLoads
from ravenshelf.collectd.protocol import RejectedPacketError
from standins import collectd as sender

SECOND = 1_000_000
START = 1_700_000_000


def known(name):
    return {"u": [b"pw"], "v": [b"other"]}.get(name, [])


def rejection(data, required_level="none"):
    with pytest.raises(RejectedPacketError) as rejected:
        plain = security.open_packet(data, known, required_level)
        protocol.decode_value_lists(plain.parts)
    return rejected.value.reason.value


def test_all_parts_and_kinds_are_read():
    packet = (
        sender.encode_text(sender.HOST, "h")
        + sender.encode_number(sender.TIME, START)
        + sender.encode_number(sender.INTERVAL, 10)
        + sender.encode_text(sender.PLUGIN, "p")
        + sender.encode_text(sender.PLUGIN_INSTANCE, "pi")
        + sender.encode_text(sender.TYPE, "t")
        + sender.encode_text(sender.TYPE_INSTANCE, "ti")
        + sender.encode_values(
            (sender.COUNTER, 2**64 - 1), (sender.GAUGE, -1.5), (sender.DERIVE, -7), (sender.ABSOLUTE, 9)
        )
        + sender.encode_part(0x0100, b"a notification\0")
        + sender.encode_number(sender.TIME_HR, sender.high_resolution(START + 0.5))
        + sender.encode_number(sender.INTERVAL_HR, sender.high_resolution(2.5))
        + sender.encode_values((sender.GAUGE, 3.0))
    )
    first, second = protocol.decode_value_lists(packet)
    assert (first.host, first.plugin, first.plugin_instance, first.type, first.type_instance) == (
        "h",
        "p",
        "pi",
        "t",
        "ti",
    )
    assert first.values == ((0, 2**64 - 1), (1, -1.5), (2, -7), (3, 9))
    assert (first.time, first.interval) == (START * SECOND, 10 * SECOND)
    assert (second.time, second.interval) == (START * SECOND + SECOND // 2, 2_500_000)


PACKETS = {
    "plain": sender.SimulatedHost("h").packet(START),
    "low resolution": sender.SimulatedHost("h").packet(START, high_resolution_times=False),
    "signed": sender.sign(sender.SimulatedHost("h").packet(START), "u", "pw"),
    "encrypted": sender.encrypt(sender.SimulatedHost("h").packet(START), "u", "pw", bytes(range(16))),
}


@pytest.mark.parametrize("name", PACKETS)
def test_a_complete_packet_is_decoded(name):
    plain = security.open_packet(PACKETS[name], known, "none")
    assert len(protocol.decode_value_lists(plain.parts)) == 6 and plain.is_authenticated == (
        name in ("signed", "encrypted")
    )


@pytest.mark.parametrize("name", PACKETS)
def test_a_packet_cut_at_any_byte_is_rejected_or_a_complete_shorter_one(name):
    packet = PACKETS[name]
    complete = protocol.decode_value_lists(security.open_packet(packet, known, "none").parts)
    for cut in range(len(packet)):
        try:
            decoded = protocol.decode_value_lists(security.open_packet(packet[:cut], known, "none").parts)
        except RejectedPacketError:
            continue
        assert (
            name in ("plain", "low resolution") and decoded == complete[: len(decoded)]
        )  # cut between two parts


@pytest.mark.parametrize("by", [-1, 1])
def test_a_length_of_a_part_that_is_wrong_by_one_is_rejected(by):
    packet, at, parts = PACKETS["plain"], 0, 0
    while at < len(packet):
        size = struct.unpack_from("!H", packet, at + 2)[0]
        bad = packet[: at + 2] + struct.pack("!H", size + by) + packet[at + 4 :]
        assert rejection(bad) == "malformed"
        at, parts = at + size, parts + 1
    assert parts == 20


@pytest.mark.parametrize(
    "packet, required_level, reason",
    [
        (PACKETS["plain"], "sign", "unsigned"),
        (PACKETS["plain"], "encrypt", "unencrypted"),
        (PACKETS["signed"], "encrypt", "unencrypted"),
        (sender.sign(PACKETS["plain"], "v", "pw"), "sign", "wrong signature"),
        (sender.sign(PACKETS["plain"], "w", "pw"), "sign", "unknown user"),
        (PACKETS["signed"][:-1] + bytes([PACKETS["signed"][-1] ^ 1]), "sign", "wrong signature"),
        (
            PACKETS["signed"].replace(b"u" + PACKETS["plain"][:3], b"v" + PACKETS["plain"][:3], 1),
            "sign",
            "wrong signature",
        ),
        (sender.encrypt(PACKETS["plain"], "v", "pw"), "encrypt", "wrong signature"),
        (sender.encrypt(PACKETS["plain"], "w", "pw"), "none", "unknown user"),
        (PACKETS["encrypted"] + b"\0", "none", "malformed"),
        (PACKETS["plain"] + PACKETS["encrypted"], "none", "malformed"),
        (b"", "none", "malformed"),
        (sender.encode_text(0, "h") * 3 + sender.encode_values((1, 1.0)), "none", "malformed"),
        (sender.encode_part(0, b"h\0h\0"), "none", "malformed"),
        (sender.encode_part(0, b"\xff\0"), "none", "malformed"),
    ],
    ids=[
        "plain where signatures are required",
        "plain where encryption is required",
        "signed where encryption is required",
        "signed with another user's password",
        "signed by an unknown user",
        "signed and altered",
        "signed and the user replaced",
        "encrypted with another user's password",
        "encrypted by an unknown user",
        "bytes behind an encrypted part",
        "an encrypted part behind plain ones",
        "empty",
        "values without a type",
        "a zero byte inside a text",
        "a text that is not UTF-8",
    ],
)
def test_a_packet_is_rejected_with_its_reason(packet, required_level, reason):
    assert rejection(packet, required_level) == reason


def test_without_the_user_and_a_required_level_a_signed_packet_counts_as_plain():
    plain = security.open_packet(sender.sign(PACKETS["plain"], "w", "pw"), known, "none")
    assert plain.parts == PACKETS["plain"] and not plain.is_authenticated


@given(
    st.binary(max_size=300)
    | st.tuples(st.sampled_from(sorted(PACKETS)), st.integers(0, 400), st.integers(0, 255))
)
@settings(max_examples=400, deadline=None)
def test_no_bytes_make_the_decoder_fail_otherwise_than_by_rejecting(data):
    if not isinstance(data, bytes):
        name, at, byte = data
        packet = bytearray(PACKETS[name])
        packet[at % len(packet)] = byte
        data = bytes(packet)
    try:
        plain = security.open_packet(data, known, "none")
        lists = protocol.decode_value_lists(plain.parts)
    except RejectedPacketError:
        return
    host_loads = HostLoads(lambda host: (0,), types.parse(types.BUILT_IN_TYPES), Counter())
    host_loads.add(START * SECOND, lists, False)
    for _, busy, age in host_loads.pop_loads(START * SECOND):
        assert 0 <= busy <= 1 and age >= 0
