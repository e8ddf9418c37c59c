"""Mutual TLS between the processes of a cell."""

import ssl
from dataclasses import dataclass

import anyio
from loguru import logger

from ibisplank.errors import SettingError

RELOAD_INTERVAL_S = 30.0


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of PEM files: a certificate, its key, and the cell's root CA."""

    certificate: str
    key: str
    root: str


class PeerTls:
    """TLS contexts for both ends of peer streams, reloaded periodically.

    Attributes
    ----------
    client : ssl.SSLContext
        Context for the next outgoing stream.
    server : ssl.SSLContext
        Context for a listener; each handshake uses the files last loaded.

    Raises
    ------
    SettingError
        A file can't be read or is invalid.
    """

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        try:
            self.client = _make_client_context(files)
            self.server = _make_server_context(files)
        except (OSError, ssl.SSLError) as error:
            raise SettingError(
                f'tls: {error}; check the certificate, key and root files',
            ) from error
        self._latest_server = self.server
        self.server.sni_callback = self._use_latest

    def reload(self) -> None:
        """Load the files again; keep the old contexts if that fails."""
        try:
            client = _make_client_context(self._files)
            server = _make_server_context(self._files)
        except (OSError, ssl.SSLError) as error:
            logger.warning(
                'failed to reload TLS files, keeping the old ones: {}', error
            )
            return
        self.client = client
        self._latest_server = server

    async def run(self) -> None:
        """Reload the files periodically, forever."""
        while True:
            await anyio.sleep(RELOAD_INTERVAL_S)
            self.reload()

    def _use_latest(
        self,
        handshake: ssl.SSLObject,
        name: str | None,
        context: ssl.SSLContext,
    ) -> None:
        handshake.context = self._latest_server


def _make_server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a context that requires a certificate of the cell from peers."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = ssl.CERT_REQUIRED
    return _load(context, files)


def _make_client_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a context that presents this process's certificate.

    Host names are not checked: peers are addressed by IP address, and any
    certificate that the cell's root has signed is valid.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    return _load(context, files)


def _load(context: ssl.SSLContext, files: TlsFiles) -> ssl.SSLContext:
    context.set_alpn_protocols(['h2'])
    context.load_cert_chain(files.certificate, files.key)
    context.load_verify_locations(files.root)
    return context
