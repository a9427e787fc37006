"""Certificates and keys into contexts; what can't be used is told without the key's contents."""

import ssl
from pathlib import Path

from fennelwind.errors import FennelwindError


class TlsError(FennelwindError):
    """A certificate or key that can't be used; the text says which and why."""

    code = "tls-unusable"
    advice = (
        "Give a PEM certificate and its key without a password, readable for the controller's "
        "user, and send SIGHUP; until then the certificate is as before."
    )


def server_context(certificate: Path, key: Path) -> ssl.SSLContext:
    """Return the context of a listener: TLS 1.2 or newer. Raises `TlsError`."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    for path in (certificate, key):
        if not path.is_file():
            raise TlsError(f"{path}: no such file")
    try:
        context.load_cert_chain(certificate, key, password=lambda: "")
    except (ssl.SSLError, OSError) as exc:
        raise TlsError(f"{certificate} with {key}: {getattr(exc, 'reason', None) or exc}") from None
    return context


def client_context(authorities: Path) -> ssl.SSLContext:
    """Return the context of links to engines whose certificates these sign. Raises `TlsError`."""
    if not authorities.is_file():
        raise TlsError(f"{authorities}: no such file")
    try:
        context = ssl.create_default_context(cafile=authorities)
    except (ssl.SSLError, OSError) as exc:
        raise TlsError(f"{authorities}: {getattr(exc, 'reason', None) or exc}") from None
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context
