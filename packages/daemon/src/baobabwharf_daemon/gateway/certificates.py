"""Create the TLS contexts of the HTTP listeners and clients and reload them."""

import asyncio
import ssl
from pathlib import Path

from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.settings import Tls

RELOAD_INTERVAL_S = 2
_log = get_logger('gateway')


def server_context(tls: Tls) -> ssl.SSLContext:
    """Return the server context for callers and operators."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    return context


def mutual_tls_server_context(tls: Tls) -> ssl.SSLContext:
    """Return a server context that requires the client certificate of a VM."""
    context = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH, cafile=str(tls.ca_file)
    )
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def mutual_tls_client_context(tls: Tls) -> ssl.SSLContext:
    """Return a client context that presents the certificate of this VM."""
    context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH, cafile=str(tls.ca_file)
    )
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    return context


class CertificateReloader:
    """Reload changed certificate files into existing contexts."""

    def __init__(self, tls: Tls, contexts: tuple[ssl.SSLContext, ...]) -> None:
        self._tls = tls
        self._contexts = contexts
        self._loaded = self._file_versions()

    async def reload_forever(self) -> None:
        """Check for changes periodically until cancelled."""
        while True:
            await asyncio.sleep(RELOAD_INTERVAL_S)
            self.reload_if_changed()

    def reload_if_changed(self) -> bool:
        """Reload changed files; keep the loaded ones if the new are invalid."""
        versions = self._file_versions()
        if versions == self._loaded:
            return False
        try:
            # Load into a temporary context first: a partly written pair must not
            # reach a context in use.
            ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER).load_cert_chain(
                self._tls.certificate_file, self._tls.key_file
            )
        except (ssl.SSLError, OSError) as error:
            _log.warning('Cannot load the changed certificate: %s', error)
            return False
        for context in self._contexts:
            context.load_cert_chain(
                self._tls.certificate_file, self._tls.key_file
            )
        self._loaded = versions
        _log.info('Reloaded the certificate.')
        return True

    def _file_versions(self) -> tuple[tuple[int, int], ...]:
        files = (self._tls.certificate_file, self._tls.key_file)
        return tuple(_file_version(path) for path in files)


def _file_version(path: Path) -> tuple[int, int]:
    try:
        state = path.stat()
    except OSError:
        return 0, 0
    return state.st_mtime_ns, state.st_ino


class TlsContexts:
    """Hold the TLS contexts of this VM; all are None without TLS."""

    def __init__(self, tls: Tls | None) -> None:
        self.caller: ssl.SSLContext | None = None
        self.server: ssl.SSLContext | None = None
        self.client: ssl.SSLContext | None = None
        self.reloader: CertificateReloader | None = None
        if tls is not None:
            self.caller = server_context(tls)
            self.server = mutual_tls_server_context(tls)
            self.client = mutual_tls_client_context(tls)
            self.reloader = CertificateReloader(
                tls, (self.caller, self.server, self.client)
            )
