"""Verification of signed collectd packets and decryption of encrypted ones.

A signed packet starts with a signature part (HMAC-SHA-256) over the user name and the parts that follow. An
encrypted packet is a single part (AES-256 in output feedback mode).
"""

import hashlib
import hmac
from collections.abc import Callable, Sequence
from typing import NamedTuple

from ravenshelf.collectd.protocol import (
    ENCRYPTION,
    MAX_PACKET_BYTES,
    PART_HEADER,
    SIGNATURE,
    RejectedPacketError,
    RejectionReason,
    malformed_packet_error,
)

SECURITY_LEVELS = ("none", "sign", "encrypt")  # The security levels in ascending order.
SIGNATURE_BYTES = 32
NAME_LENGTH_BYTES = 2
IV_BYTES = 16
CHECKSUM_BYTES = 20
MAX_SHOWN_NAME = 40  # Maximum number of bytes of a user name in an error message.

PasswordLookup = Callable[[str], Sequence[bytes]]
"""Returns the passwords that are valid for a user, an empty sequence for an unknown user."""


class PlainPacket(NamedTuple):
    """Parts of a packet without signature and encryption.

    `is_authenticated` is true if the packet was signed or encrypted with a valid password of its user.
    """

    parts: bytes
    is_authenticated: bool


def open_packet(data: bytes, find_passwords: PasswordLookup, required_level: str) -> PlainPacket:
    """Verify and decrypt a packet.

    Args:
        data: The packet.
        find_passwords: Returns the valid passwords of a user.
        required_level: The lowest accepted level, one of SECURITY_LEVELS.

    Returns:
        The plain parts of the packet.

    Raises:
        RejectedPacketError: The packet is malformed, is below the required level, or has an unknown user or a
            wrong password.
    """
    if not PART_HEADER.size <= len(data) <= MAX_PACKET_BYTES:
        raise malformed_packet_error(
            f"expected at least a part header and at most a datagram, found {len(data)} bytes"
        )
    kind, size = PART_HEADER.unpack_from(data)
    if kind == ENCRYPTION:
        if size != len(data):
            raise malformed_packet_error(
                f"expected an encrypted part that fills the packet, found {size} bytes of {len(data)}"
            )
        return PlainPacket(_decrypt(data[PART_HEADER.size :], find_passwords), True)
    if required_level == "encrypt":
        raise RejectedPacketError(
            RejectionReason.UNENCRYPTED, "expected an encrypted packet, found an unencrypted one"
        )
    if kind == SIGNATURE:
        return _check_signature(data, size, find_passwords, required_level)
    if required_level != "none":
        raise RejectedPacketError(
            RejectionReason.UNSIGNED, "expected a signed or encrypted packet, found neither"
        )
    return PlainPacket(data, False)


def _check_signature(
    data: bytes, size: int, find_passwords: PasswordLookup, required_level: str
) -> PlainPacket:
    signature_end = PART_HEADER.size + SIGNATURE_BYTES
    if not signature_end < size <= len(data):
        raise malformed_packet_error(
            f"expected a signature and a user name, found a part of {size} bytes in a packet of {len(data)}"
        )
    signature = data[PART_HEADER.size : signature_end]
    user = data[signature_end:size]
    signed_bytes = data[signature_end:]
    user_passwords = _find_user_passwords(user, find_passwords)
    # According to the published description, a receiver that does not have the user's password accepts a
    # signed packet as a plain one.
    if not user_passwords and required_level == "none":
        return PlainPacket(data[size:], False)
    for password in user_passwords:
        if hmac.compare_digest(hmac.digest(password, signed_bytes, "sha256"), signature):
            return PlainPacket(data[size:], True)
    raise _authentication_error(user, user_passwords)


def _find_user_passwords(user: bytes, find_passwords: PasswordLookup) -> Sequence[bytes]:
    try:
        return find_passwords(user.decode("utf-8"))
    except UnicodeDecodeError:
        return ()


def _authentication_error(user: bytes, user_passwords: Sequence[bytes]) -> RejectedPacketError:
    reason = RejectionReason.WRONG_SIGNATURE if user_passwords else RejectionReason.UNKNOWN_USER
    return RejectedPacketError(reason, f"user {user[:MAX_SHOWN_NAME]!r}")


def _decrypt(body: bytes, find_passwords: PasswordLookup) -> bytes:
    name_length = int.from_bytes(body[:NAME_LENGTH_BYTES], "big")
    name_end = NAME_LENGTH_BYTES + name_length
    iv_end = name_end + IV_BYTES
    if len(body) < iv_end + CHECKSUM_BYTES:
        raise malformed_packet_error(
            f"expected a name, a vector and a checksum, found {len(body)} bytes with a name of {name_length}"
        )
    user = body[NAME_LENGTH_BYTES:name_end]
    user_passwords = _find_user_passwords(user, find_passwords)
    for password in user_passwords:
        plaintext = _decrypt_with(password, body[name_end:iv_end], body[iv_end:])
        checksum, parts = plaintext[:CHECKSUM_BYTES], plaintext[CHECKSUM_BYTES:]
        if hmac.compare_digest(hashlib.sha1(parts).digest(), checksum):
            return parts
    raise _authentication_error(user, user_passwords)


def _decrypt_with(password: bytes, initialization_vector: bytes, ciphertext: bytes) -> bytes:
    # Imported here because the library is only needed for encrypted packets.
    from cryptography.hazmat.primitives.ciphers import Cipher, algorithms

    try:
        from cryptography.hazmat.decrepit.ciphers.modes import OFB
    except ImportError:
        from cryptography.hazmat.primitives.ciphers.modes import OFB
    key = hashlib.sha256(password).digest()
    cipher = Cipher(algorithms.AES(key), OFB(initialization_vector))
    return cipher.decryptor().update(ciphertext)
