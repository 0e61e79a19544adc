"""Certificates for a stand-in site with TLS."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

import trustme

if TYPE_CHECKING:
    from pathlib import Path

CERTIFICATE: Final = "certificate.pem"
KEY: Final = "key.pem"
AUTHORITY: Final = "authority.pem"


def write_certificates(folder: Path) -> None:
    """Write a certificate for loopback, its key and its authority."""
    authority = trustme.CA()
    issued = authority.issue_cert("127.0.0.1")
    authority.cert_pem.write_to_path(str(folder / AUTHORITY))
    issued.private_key_pem.write_to_path(str(folder / KEY))
    for number, part in enumerate(issued.cert_chain_pems):
        path = str(folder / CERTIFICATE)
        part.write_to_path(path, append=number > 0)
