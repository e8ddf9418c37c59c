"""Mutual TLS among the processes of a cell."""

import ssl
from dataclasses import dataclass

import anyio
from loguru import logger

from ibisplank.errors import SettingError

RELOAD_INTERVAL_S = 30.0


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """PEM files of a certificate, its key, and the cell's root."""

    certificate: str
    key: str
    root: str


class PeerTls:
    """Contexts of both ends of a peer stream, made anew as files change.

    Attributes
    ----------
    client : ssl.SSLContext
        For the next stream that is dialled.
    server : ssl.SSLContext
        For a listener; each handshake uses the latest files.

    Raises
    ------
    SettingError
        A file cannot be used.
    """

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        try:
            self.client = _make_client(files)
            self.server = _make_server(files)
        except (OSError, ssl.SSLError) as error:
            raise SettingError(
                f'tls: {error}; check the certificate, key and root files',
            ) from error
        self._latest_server = self.server
        self.server.sni_callback = self._use_latest

    def reload(self) -> None:
        """Read the files again; bad ones leave all as it was."""
        try:
            client = _make_client(self._files)
            server = _make_server(self._files)
        except (OSError, ssl.SSLError) as error:
            logger.warning('tls files not read, the old ones stay: {}', error)
            return
        self.client = client
        self._latest_server = server

    async def run(self) -> None:
        """Read the files again and again, for ever."""
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


def _make_server(files: TlsFiles) -> ssl.SSLContext:
    """Return a context that demands the cell's certificate of peers."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = ssl.CERT_REQUIRED
    return _load(context, files)


def _make_client(files: TlsFiles) -> ssl.SSLContext:
    """Return a context that presents the cell's certificate.

    Peers are named by IP number, so the root alone proves them.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    return _load(context, files)


def _load(context: ssl.SSLContext, files: TlsFiles) -> ssl.SSLContext:
    context.set_alpn_protocols(['h2'])
    context.load_cert_chain(files.certificate, files.key)
    context.load_verify_locations(files.root)
    return context
