"""Test certificates for a stand-in site with TLS."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

import trustme

if TYPE_CHECKING:
    from pathlib import Path

CERTIFICATE: Final = "certificate.pem"
"""File of the certificate chain of all servers and clients."""

KEY: Final = "key.pem"
"""File of the private key of the certificate."""

AUTHORITY: Final = "authority.pem"
"""File of the certificate of the authority that issued it."""


def write_certificates(folder: Path) -> None:
    """Issue a certificate for 127.0.0.1 from a new authority.

    :param folder: where the certificate, its key and the authority's
        certificate are written.
    """
    authority = trustme.CA()
    leaf = authority.issue_cert("127.0.0.1")
    authority.cert_pem.write_to_path(str(folder / AUTHORITY))
    leaf.private_key_pem.write_to_path(str(folder / KEY))
    for position, certificate in enumerate(leaf.cert_chain_pems):
        path = str(folder / CERTIFICATE)
        certificate.write_to_path(path, append=position > 0)
