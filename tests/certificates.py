"""Certificates for tests."""

from pathlib import Path

import trustme

from harness.processes import LOOPBACK
from ibisplank.connection import TlsFiles


def issue(authority: trustme.CA, folder: Path, name: str) -> TlsFiles:
    """Issue a certificate and write it, its key and the root to files."""
    issued = authority.issue_cert(LOOPBACK)
    files = TlsFiles(
        str(folder / f'{name}.pem'),
        str(folder / f'{name}.key'),
        str(folder / f'{name}.root'),
    )
    issued.cert_chain_pems[0].write_to_path(files.certificate)
    issued.private_key_pem.write_to_path(files.key)
    authority.cert_pem.write_to_path(files.root)
    return files
