"""SPIFFE identities: an X.509-SVID and a trust bundle from files, mutual TLS, and who a peer is.

What a peer's certificate must be is set out in the SPIFFE documents "SPIFFE-ID" and "X509-SVID".
"""

from __future__ import annotations

import re
import ssl
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import trio
from cryptography import x509
from cryptography.x509.oid import ExtendedKeyUsageOID

from fordstair.configuration.errors import ConfigError
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)

LOOK_MS = 2_000.0  # between two looks at the files, which are replaced when the identity rotates
HANDSHAKE_MS = 5_000.0
_ID = re.compile(r"spiffe://(?P<domain>[a-z0-9._-]{1,255})(?P<path>(?:/[A-Za-z0-9._-]+)+)\Z")
_USAGES = {ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH}


class IdentityError(Exception):
    """A certificate that is no X.509-SVID of a peer, or not of one that is wanted."""


def parse_id(text: str) -> tuple[str, str]:
    """Return trust domain and path of a workload's SPIFFE ID."""
    match = _ID.match(text)
    if match is None or len(text) > 2048 or {".", ".."} & set(match["path"].split("/")):
        raise IdentityError(f"not the SPIFFE ID of a workload: {text[:100]!r}")
    return match["domain"], match["path"]


def spiffe_id(certificate: x509.Certificate) -> str:
    """Return the ID in a leaf X.509-SVID, whose chain TLS has verified; raise IdentityError for any other."""
    try:
        names = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
        uris = names.get_values_for_type(x509.UniformResourceIdentifier)
        usage = certificate.extensions.get_extension_for_class(x509.KeyUsage).value
    except (x509.ExtensionNotFound, ValueError) as error:
        raise IdentityError(f"not an X.509-SVID: {error}") from None
    if len(uris) != 1:
        raise IdentityError(f"an X.509-SVID has exactly one URI, not {len(uris)}")
    parse_id(uris[0])
    for extension in certificate.extensions:
        value = extension.value
        if isinstance(value, x509.BasicConstraints) and value.ca:
            raise IdentityError("a signing certificate is no identity of a workload")
        if isinstance(value, x509.ExtendedKeyUsage) and not set(value).issuperset(_USAGES):
            raise IdentityError("the extended key usage lacks server or client authentication")
    if not usage.digital_signature or usage.key_cert_sign or usage.crl_sign:
        raise IdentityError("the key usage is not that of a leaf")
    return uris[0]


@dataclass(frozen=True, slots=True)
class Files:
    """Where the identity stands, and who is trusted."""

    certificate: Path
    key: Path
    bundle: Path
    trust_domain: str
    teams: Mapping[str, str]  # by SPIFFE ID
    engines: frozenset[str]  # SPIFFE IDs that engines may have


def read_files(told: Mapping[str, Any]) -> Files:
    """Read the operator's table; raise ConfigError, which names the field."""
    for name in ("certificate", "key", "bundle", "trust_domain"):
        if not isinstance(told.get(name), str):
            raise ConfigError(f"identity.{name}: a text is wanted")
    teams, engines = told.get("teams", {}), told.get("engines", [])
    if not isinstance(teams, dict) or not isinstance(engines, list):
        raise ConfigError("identity: teams is a table, engines a list")
    for name in [*teams, *engines]:
        try:
            parse_id(str(name))
        except IdentityError as error:
            raise ConfigError(f"identity: {error}") from None
    return Files(
        Path(told["certificate"]),
        Path(told["key"]),
        Path(told["bundle"]),
        told["trust_domain"],
        {str(name): str(team) for name, team in teams.items()},
        frozenset(map(str, engines)),
    )


class Identity:
    """This program's own identity, read anew when its files change, and its judgement of peers."""

    def __init__(self, files: Files, deadlines: Deadlines, counters: Counters) -> None:
        self.files, self.deadlines, self.counters = files, deadlines, counters
        try:
            self._stamp, self.server, self.client = self._read()
        except (OSError, ssl.SSLError) as error:
            raise ConfigError(f"identity: {error}") from None

    def watch(self) -> None:
        """Look at the files, take over what has changed, and look again later."""
        try:
            if self._stamps() != self._stamp:
                self._stamp, self.server, self.client = self._read()
                self.counters.add("identity.rotations")
                log.info("identity.rotated")
        except (OSError, ssl.SSLError) as error:
            # files that are being replaced, or do not belong together yet: the old identity goes on
            self.counters.add("identity.failed_reads")
            log.warning("identity.kept", why=error)
        self.deadlines.after(LOOK_MS, self.watch)

    def check(self, stream: trio.SSLStream[trio.SocketStream]) -> str:
        """Return the ID of the peer of a finished handshake; it must be of the trust domain."""
        der = stream.getpeercert(binary_form=True)
        if not der:
            raise IdentityError("no certificate")
        name = spiffe_id(x509.load_der_x509_certificate(der))
        if parse_id(name)[0] != self.files.trust_domain:
            raise IdentityError(f"{name} is of another trust domain")
        return name

    def check_engine(self, _: str, stream: trio.SSLStream[trio.SocketStream]) -> None:
        """Let a connection be used only if an engine's identity is at its other end."""
        try:
            if (name := self.check(stream)) not in self.files.engines:
                raise IdentityError(f"{name} is no engine")
        except IdentityError as error:
            self.counters.add("identity.engines_refused")
            raise ssl.SSLError(str(error)) from error  # nothing has been sent: the connection never came up

    def team_of(self, stream: trio.abc.Stream) -> str | None:
        """Return the team of a secured client's identity, '' for an unknown one, None without TLS."""
        if not isinstance(stream, trio.SSLStream):
            return None
        try:
            return self.files.teams.get(self.check(stream), "")
        except IdentityError as error:
            log.info("identity.client_refused", why=error)
            self.counters.add("identity.clients_refused")
            return ""

    async def secure(self, stream: trio.SocketStream) -> trio.SSLStream[trio.SocketStream] | None:
        """Do a client's handshake; None where it fails or takes too long."""
        secured = trio.SSLStream(stream, self.server, server_side=True, https_compatible=True)
        with self.deadlines.limit_for(HANDSHAKE_MS):
            try:
                await secured.do_handshake()
                return secured
            except (trio.BrokenResourceError, ssl.SSLError) as error:
                log.info("identity.handshake_failed", why=error)
        self.counters.add("identity.handshakes_failed")
        await trio.aclose_forcefully(stream)
        return None

    def _stamps(self) -> tuple[tuple[int, int], ...]:
        paths = (self.files.certificate, self.files.key, self.files.bundle)
        return tuple((path.stat().st_mtime_ns, path.stat().st_ino) for path in paths)

    def _read(self) -> tuple[tuple[tuple[int, int], ...], ssl.SSLContext, ssl.SSLContext]:
        stamp = self._stamps()
        return stamp, self._context(ssl.PROTOCOL_TLS_SERVER), self._context(ssl.PROTOCOL_TLS_CLIENT)

    def _context(self, protocol: int) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.check_hostname = False  # a SPIFFE ID names the peer, not a host
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(self.files.bundle)
        context.load_cert_chain(self.files.certificate, self.files.key)
        return context
