"""Private certificate authority (CA) that issues VM certificates."""

import datetime
import ipaddress
import os
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

_AUTHORITY_NAME = 'baobabwharf fleet authority'
_OWNER_ONLY_MODE = 0o600
# Tolerated clock difference between VMs.
_CLOCK_SKEW_MARGIN = datetime.timedelta(minutes=10)

_PublicKey = ec.EllipticCurvePublicKey


class CertificateAuthority:
    """Issue certificates signed with the key of a private CA."""

    def __init__(
        self, key: ec.EllipticCurvePrivateKey, certificate: x509.Certificate
    ) -> None:
        self._key = key
        self._certificate = certificate

    def issue(
        self, name: str, address: str, lifetime: datetime.timedelta
    ) -> tuple[bytes, bytes]:
        """Issue a certificate for an IP address; return it and its key as PEM."""
        key = ec.generate_private_key(ec.SECP256R1())
        names = x509.SubjectAlternativeName(
            [
                x509.IPAddress(ipaddress.ip_address(address)),
                x509.DNSName(name),
            ]
        )
        usage = x509.ExtendedKeyUsage(
            [ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH]
        )
        issuer = self._certificate
        builder = (
            _certificate_builder(
                name, issuer.subject, key.public_key(), lifetime
            )
            .add_extension(x509.BasicConstraints(False, None), critical=True)
            .add_extension(names, critical=False)
            .add_extension(usage, critical=False)
            .add_extension(_key_usage(is_authority=False), critical=True)
            .add_extension(
                _authority_key_identifier(self._key.public_key()),
                critical=False,
            )
        )
        signed = builder.sign(self._key, hashes.SHA256())
        return signed.public_bytes(_PEM), _encode_private_key(key)


def load_or_create_authority(
    folder: Path, lifetime: datetime.timedelta
) -> CertificateAuthority:
    """Load the CA from a folder; create and store one if there is none."""
    certificate_file = folder / 'ca.pem'
    key_file = folder / 'ca-key.pem'
    if certificate_file.exists() and key_file.exists():
        loaded = serialization.load_pem_private_key(key_file.read_bytes(), None)
        assert isinstance(loaded, ec.EllipticCurvePrivateKey)
        certificate = x509.load_pem_x509_certificate(
            certificate_file.read_bytes()
        )
        return CertificateAuthority(loaded, certificate)
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = _self_signed(key, lifetime)
    certificate_file.write_bytes(certificate.public_bytes(_PEM))
    write_owner_only_file(key_file, _encode_private_key(key))
    return CertificateAuthority(key, certificate)


def write_owner_only_file(path: Path, content: bytes) -> None:
    """Write a file that only its owner can read or write."""
    path.unlink(missing_ok=True)
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    with os.fdopen(os.open(path, flags, _OWNER_ONLY_MODE), 'wb') as output:
        output.write(content)


def _self_signed(
    key: ec.EllipticCurvePrivateKey, lifetime: datetime.timedelta
) -> x509.Certificate:
    name = _name(_AUTHORITY_NAME)
    builder = (
        _certificate_builder(_AUTHORITY_NAME, name, key.public_key(), lifetime)
        .add_extension(x509.BasicConstraints(True, 0), critical=True)
        .add_extension(_key_usage(is_authority=True), critical=True)
    )
    return builder.sign(key, hashes.SHA256())


def _certificate_builder(
    subject: str,
    issuer: x509.Name,
    public_key: _PublicKey,
    lifetime: datetime.timedelta,
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(_name(subject))
        .issuer_name(issuer)
        .public_key(public_key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - _CLOCK_SKEW_MARGIN)
        .not_valid_after(now + lifetime)
        .add_extension(
            x509.SubjectKeyIdentifier.from_public_key(public_key),
            critical=False,
        )
    )


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _authority_key_identifier(
    public_key: _PublicKey,
) -> x509.AuthorityKeyIdentifier:
    return x509.AuthorityKeyIdentifier.from_issuer_public_key(public_key)


def _key_usage(is_authority: bool) -> x509.KeyUsage:
    return x509.KeyUsage(
        digital_signature=not is_authority,
        content_commitment=False,
        key_encipherment=False,
        data_encipherment=False,
        key_agreement=False,
        key_cert_sign=is_authority,
        crl_sign=is_authority,
        encipher_only=False,
        decipher_only=False,
    )


def _encode_private_key(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        _PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


_PEM = serialization.Encoding.PEM
