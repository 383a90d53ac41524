"""Authenticate callers and endpoints by bearer key."""

import hashlib
import hmac

import msgspec
from baobabwharf_core.fleet_config import Customer, FleetConfig
from baobabwharf_core.refusals import Refusal, RefusalCode

from baobabwharf_daemon.interfaces import ConfigSource

_SCHEME = 'bearer '


class Caller(msgspec.Struct, frozen=True):
    """Identify an authenticated customer; the key is kept only to redact it."""

    customer: Customer
    digest: bytes
    key: bytes


def bearer_key(authorization: str | None) -> bytes | None:
    """Return the bearer key of an Authorization header, or None."""
    if authorization is None:
        return None
    if authorization[: len(_SCHEME)].lower() != _SCHEME:
        return None
    key = authorization[len(_SCHEME) :].strip()
    return key.encode('utf-8', 'surrogateescape') or None


def digest_of(key: bytes) -> bytes:
    """Return the SHA-256 digest under which a key is stored."""
    return hashlib.sha256(key).digest()


class KeyIndex:
    """Look up the keys of the current configuration by their digest."""

    def __init__(self, config_source: ConfigSource) -> None:
        self._config_source = config_source
        self._config: FleetConfig | None = None
        # By digest: the digest, the customer and whether the key is withdrawn.
        self._keys: dict[bytes, tuple[bytes, Customer, bool]] = {}
        # By digest: the digest and the service.
        self._endpoint_keys: dict[bytes, tuple[bytes, str]] = {}

    def authenticate(self, authorization: str | None) -> Caller | Refusal:
        """Return the caller, or a refusal if the key is not valid."""
        key = bearer_key(authorization)
        if key is None:
            return Refusal(RefusalCode.KEY_MISSING)
        digest = digest_of(key)
        refusal = self.refusal_of(digest)
        if refusal is not None:
            return refusal
        return Caller(self._keys[digest][1], digest, key)

    def refusal_of(self, digest: bytes) -> Refusal | None:
        """Return the refusal of an unknown or withdrawn key, else None."""
        self._refresh()
        found = self._keys.get(digest)
        if found is None or not hmac.compare_digest(found[0], digest):
            return Refusal(RefusalCode.KEY_UNKNOWN)
        if found[2] or self._config_source.is_withdrawn(digest):
            return Refusal(RefusalCode.KEY_WITHDRAWN)
        return None

    def endpoint_service(self, authorization: str | None) -> str | None:
        """Return the service of a valid endpoint key, else None."""
        key = bearer_key(authorization)
        if key is None:
            return None
        self._refresh()
        digest = digest_of(key)
        found = self._endpoint_keys.get(digest)
        if found is None or not hmac.compare_digest(found[0], digest):
            return None
        return None if self._config_source.is_withdrawn(digest) else found[1]

    def _refresh(self) -> None:
        config = self._config_source.config
        if config is self._config:
            return
        customers = config.customers
        self._keys = {
            record.digest: (
                record.digest,
                customers[record.customer_id],
                record.withdrawn,
            )
            for record in config.keys.values()
            if record.customer_id in customers
        }
        self._endpoint_keys = {
            record.digest: (record.digest, record.service)
            for record in config.endpoint_keys.values()
            if not record.withdrawn
        }
        self._config = config
