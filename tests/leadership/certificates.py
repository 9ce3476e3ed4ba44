"""Certificates for tests, issued by a certificate authority that the test creates."""

import datetime
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

AUTHORITY = "ca"
VALIDITY_BEFORE_NOW = datetime.timedelta(hours=1)
VALIDITY_AFTER_NOW = datetime.timedelta(days=2)


def _write_key(path, key):
    path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
    )


def _sign_certificate(name, key, issuer, signer, is_authority):
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    builder = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer or subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - VALIDITY_BEFORE_NOW)
        .not_valid_after(now + VALIDITY_AFTER_NOW)
        .add_extension(x509.BasicConstraints(ca=is_authority, path_length=None), critical=True)
    )
    if is_authority:
        usage = x509.KeyUsage(True, False, False, False, False, True, True, False, False)
        builder = builder.add_extension(usage, critical=True)
    return builder.sign(signer, hashes.SHA256())


def _load_or_create_authority(folder):
    """Return the key and the certificate of the folder's authority, and create them if they are missing."""
    key_file = folder / f"{AUTHORITY}.key"
    certificate_file = folder / f"{AUTHORITY}.pem"
    if key_file.exists():
        key = serialization.load_pem_private_key(key_file.read_bytes(), None)
        return key, x509.load_pem_x509_certificate(certificate_file.read_bytes())
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = _sign_certificate("authority", key, None, key, is_authority=True)
    _write_key(key_file, key)
    certificate_file.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    return key, certificate


def issue_certificates(folder: Path, *names: str) -> None:
    """Write a new key and certificate for each name; all calls for a folder use the same authority."""
    authority_key, authority = _load_or_create_authority(folder)
    for name in names:
        key = ec.generate_private_key(ec.SECP256R1())
        _write_key(folder / f"{name}.key", key)
        certificate = _sign_certificate(name, key, authority.subject, authority_key, is_authority=False)
        (folder / f"{name}.pem").write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
