"""Parses SPIFFE IDs and checks X.509-SVIDs, as the SPIFFE documents "SPIFFE-ID" and "X509-SVID" specify."""

from __future__ import annotations

import re
from typing import NamedTuple

from cryptography import x509
from cryptography.x509.oid import ExtendedKeyUsageOID

MAX_ID_CHARS = 2_048
# Bounds an ID in an error message.
_MAX_QUOTED_CHARS = 100
_ID = re.compile(r"spiffe://(?P<domain>[a-z0-9._-]{1,255})(?P<path>(?:/[A-Za-z0-9._-]+)+)\Z")
_REQUIRED_USAGES = {ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH}


class IdentityError(Exception):
    """A SPIFFE ID or X.509-SVID is invalid, or its peer is not accepted."""


class SpiffeId(NamedTuple):
    """The SPIFFE ID of a workload."""

    trust_domain: str
    path: str


def parse_id(text: str) -> SpiffeId:
    """Parse a workload's SPIFFE ID; raise IdentityError."""
    match = _ID.match(text)
    if match is None or len(text) > MAX_ID_CHARS or {".", ".."} & set(match["path"].split("/")):
        raise IdentityError(f"not the SPIFFE ID of a workload: {text[:_MAX_QUOTED_CHARS]!r}")
    return SpiffeId(match["domain"], match["path"])


def spiffe_id(certificate: x509.Certificate) -> str:
    """Return the ID in a leaf X.509-SVID, whose chain TLS has verified; raise IdentityError otherwise."""
    try:
        names = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
        uris = names.get_values_for_type(x509.UniformResourceIdentifier)
        key_usage = certificate.extensions.get_extension_for_class(x509.KeyUsage).value
    except (x509.ExtensionNotFound, ValueError) as error:
        raise IdentityError(f"not an X.509-SVID: {error}") from None
    if len(uris) != 1:
        raise IdentityError(f"an X.509-SVID has exactly one URI, got {len(uris)}")
    parse_id(uris[0])
    for extension in certificate.extensions:
        value = extension.value
        if isinstance(value, x509.BasicConstraints) and value.ca:
            raise IdentityError("a CA certificate cannot be the X.509-SVID of a workload")
        if isinstance(value, x509.ExtendedKeyUsage) and not set(value).issuperset(_REQUIRED_USAGES):
            raise IdentityError("the extended key usage lacks server or client authentication")
    if not key_usage.digital_signature or key_usage.key_cert_sign or key_usage.crl_sign:
        raise IdentityError("the key usage is not that of a leaf certificate")
    return uris[0]
