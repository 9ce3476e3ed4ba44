"""Checks signatures of collectd packets and decrypts them: a packet into its plain parts.

A signed packet starts with a signature over the rest of it (HMAC-SHA-256); an encrypted one is a single part
(AES-256 in output feedback mode).
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
    malformed,
)

SECURITY_LEVELS = ("none", "sign", "encrypt")
SIGNATURE_BYTES = 32
NAME_LENGTH_BYTES = 2
IV_BYTES = 16
CHECKSUM_BYTES = 20
MAX_SHOWN_NAME = 40

Passwords = Callable[[str], Sequence[bytes]]
"""Gives the passwords that are valid for a user; none for one who is unknown."""


class PlainPacket(NamedTuple):
    """The plain parts of a packet; `is_authenticated` where a known user has signed or encrypted it."""

    parts: bytes
    is_authenticated: bool


def open_packet(data: bytes, passwords: Passwords, required_level: str) -> PlainPacket:
    """Check and decrypt a packet; raises RejectedPacketError where it does not have the required level."""
    if not PART_HEADER.size <= len(data) <= MAX_PACKET_BYTES:
        raise malformed(f"a packet of {len(data)} bytes")
    kind, size = PART_HEADER.unpack_from(data)
    if kind == ENCRYPTION:
        if size != len(data):
            raise malformed(f"an encrypted part of {size} bytes in a packet of {len(data)}")
        return PlainPacket(_decrypt(data[PART_HEADER.size :], passwords), True)
    if required_level == "encrypt":
        raise RejectedPacketError(RejectionReason.UNENCRYPTED, "expected an encrypted packet")
    if kind == SIGNATURE:
        return _check_signature(data, size, passwords, required_level)
    if required_level != "none":
        raise RejectedPacketError(RejectionReason.UNSIGNED, "expected a signed or encrypted packet")
    return PlainPacket(data, False)


def _check_signature(data: bytes, size: int, passwords: Passwords, required_level: str) -> PlainPacket:
    signature_end = PART_HEADER.size + SIGNATURE_BYTES
    if not signature_end < size <= len(data):
        raise malformed(f"a signature of {size} bytes in a packet of {len(data)}")
    signature = data[PART_HEADER.size : signature_end]
    user = data[signature_end:size]
    signed = data[signature_end:]
    known_passwords = _passwords_of(user, passwords)
    if not known_passwords and required_level == "none":  # as the description has it, without users
        return PlainPacket(data[size:], False)
    for password in known_passwords:
        if hmac.compare_digest(hmac.digest(password, signed, "sha256"), signature):
            return PlainPacket(data[size:], True)
    raise _wrong_user(user, known_passwords)


def _passwords_of(user: bytes, passwords: Passwords) -> Sequence[bytes]:
    try:
        return passwords(user.decode("utf-8"))
    except UnicodeDecodeError:
        return ()


def _wrong_user(user: bytes, known_passwords: Sequence[bytes]) -> RejectedPacketError:
    reason = RejectionReason.WRONG_SIGNATURE if known_passwords else RejectionReason.UNKNOWN_USER
    return RejectedPacketError(reason, f"user {user[:MAX_SHOWN_NAME]!r}")


def _decrypt(body: bytes, passwords: Passwords) -> bytes:
    name_length = int.from_bytes(body[:NAME_LENGTH_BYTES], "big")
    name_end = NAME_LENGTH_BYTES + name_length
    iv_end = name_end + IV_BYTES
    if len(body) < iv_end + CHECKSUM_BYTES:
        raise malformed(f"an encrypted part of {len(body)} bytes with a name of {name_length}")
    user = body[NAME_LENGTH_BYTES:name_end]
    known_passwords = _passwords_of(user, passwords)
    for password in known_passwords:
        plain = _decrypt_with(password, body[name_end:iv_end], body[iv_end:])
        checksum, parts = plain[:CHECKSUM_BYTES], plain[CHECKSUM_BYTES:]
        if hmac.compare_digest(hashlib.sha1(parts).digest(), checksum):
            return parts
    raise _wrong_user(user, known_passwords)


def _decrypt_with(password: bytes, initialization_vector: bytes, encrypted: bytes) -> bytes:
    # loaded only where a packet is encrypted
    from cryptography.hazmat.primitives.ciphers import Cipher, algorithms

    try:
        from cryptography.hazmat.decrepit.ciphers.modes import OFB
    except ImportError:
        from cryptography.hazmat.primitives.ciphers.modes import OFB
    key = hashlib.sha256(password).digest()
    cipher = Cipher(algorithms.AES(key), OFB(initialization_vector))
    return cipher.decryptor().update(encrypted)
