"""Decoder of collectd packets, and the reasons for which packets are rejected.

The packets are encoded by a test double that shares no code with the decoder.
"""

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


def find_passwords(name):
    return {"u": [b"pw"], "v": [b"other"]}.get(name, [])


def rejection_reason(data, required_level="none"):
    with pytest.raises(RejectedPacketError) as error_info:
        plain_packet = security.open_packet(data, find_passwords, required_level)
        protocol.decode_value_lists(plain_packet.parts)
    return error_info.value.reason.value


def test_all_types_of_parts_and_kinds_of_values_are_decoded():
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
        + sender.encode_number(sender.TIME_HR, sender.encode_high_resolution_time(START + 0.5))
        + sender.encode_number(sender.INTERVAL_HR, sender.encode_high_resolution_time(2.5))
        + sender.encode_values((sender.GAUGE, 3.0))
    )
    first_list, second_list = protocol.decode_value_lists(packet)
    assert (
        first_list.host,
        first_list.plugin,
        first_list.plugin_instance,
        first_list.type,
        first_list.type_instance,
    ) == (
        "h",
        "p",
        "pi",
        "t",
        "ti",
    )
    assert first_list.values == ((0, 2**64 - 1), (1, -1.5), (2, -7), (3, 9))
    assert (first_list.time, first_list.interval) == (START * SECOND, 10 * SECOND)
    assert (second_list.time, second_list.interval) == (START * SECOND + SECOND // 2, 2_500_000)


PACKETS = {
    "plain": sender.SimulatedHost("h").packet(START),
    "low resolution": sender.SimulatedHost("h").packet(START, high_resolution_times=False),
    "signed": sender.sign(sender.SimulatedHost("h").packet(START), "u", "pw"),
    "encrypted": sender.encrypt(sender.SimulatedHost("h").packet(START), "u", "pw", bytes(range(16))),
}


@pytest.mark.parametrize("name", PACKETS)
def test_a_complete_packet_is_decoded(name):
    plain_packet = security.open_packet(PACKETS[name], find_passwords, "none")
    assert len(protocol.decode_value_lists(plain_packet.parts)) == 6 and plain_packet.is_authenticated == (
        name in ("signed", "encrypted")
    )


@pytest.mark.parametrize("name", PACKETS)
def test_a_packet_truncated_at_any_byte_is_rejected_or_decodes_to_fewer_value_lists(name):
    packet = PACKETS[name]
    all_value_lists = protocol.decode_value_lists(security.open_packet(packet, find_passwords, "none").parts)
    for length in range(len(packet)):
        try:
            value_lists = protocol.decode_value_lists(
                security.open_packet(packet[:length], find_passwords, "none").parts
            )
        except RejectedPacketError:
            continue
        # The packet was truncated between two parts.
        assert name in ("plain", "low resolution") and value_lists == all_value_lists[: len(value_lists)]


@pytest.mark.parametrize("length_error", [-1, 1])
def test_a_part_whose_length_is_wrong_by_one_is_rejected(length_error):
    packet, position, part_count = PACKETS["plain"], 0, 0
    while position < len(packet):
        size = struct.unpack_from("!H", packet, position + 2)[0]
        malformed_packet = (
            packet[: position + 2] + struct.pack("!H", size + length_error) + packet[position + 4 :]
        )
        assert rejection_reason(malformed_packet) == "malformed"
        position, part_count = position + size, part_count + 1
    assert part_count == 20


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
        "signed and changed afterwards",
        "signed and the user replaced",
        "encrypted with another user's password",
        "encrypted by an unknown user",
        "bytes after an encrypted part",
        "an encrypted part after plain ones",
        "empty",
        "values without a type",
        "a zero byte inside a text",
        "a text that is not UTF-8",
    ],
)
def test_a_packet_is_rejected_with_the_expected_reason(packet, required_level, reason):
    assert rejection_reason(packet, required_level) == reason


def test_a_signed_packet_of_an_unknown_user_counts_as_plain_if_no_level_is_required():
    plain_packet = security.open_packet(sender.sign(PACKETS["plain"], "w", "pw"), find_passwords, "none")
    assert plain_packet.parts == PACKETS["plain"] and not plain_packet.is_authenticated


@given(
    st.binary(max_size=300)
    | st.tuples(st.sampled_from(sorted(PACKETS)), st.integers(0, 400), st.integers(0, 255))
)
@settings(max_examples=400, deadline=None)
def test_arbitrary_bytes_are_decoded_or_rejected_without_any_other_error(data):
    if not isinstance(data, bytes):
        name, position, byte = data
        packet = bytearray(PACKETS[name])
        packet[position % len(packet)] = byte
        data = bytes(packet)
    try:
        plain_packet = security.open_packet(data, find_passwords, "none")
        value_lists = protocol.decode_value_lists(plain_packet.parts)
    except RejectedPacketError:
        return
    host_loads = HostLoads(lambda host: (0,), types.parse(types.BUILT_IN_TYPES), Counter())
    host_loads.add(START * SECOND, value_lists, False)
    for _, busy_share, age in host_loads.pop_loads(START * SECOND):
        assert 0 <= busy_share <= 1 and age >= 0
