"""This program's SPIFFE identity (X.509-SVID and trust bundle from files), mutual TLS, and peer checks."""

from __future__ import annotations

import ssl
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import trio
from cryptography import x509

from fordstair.configuration.errors import ConfigError
from fordstair.net.spiffe import IdentityError, parse_id, spiffe_id
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)

# How often the files are checked; they are replaced when the identity rotates.
RELOAD_CHECK_INTERVAL_MS = 2_000.0
HANDSHAKE_TIMEOUT_MS = 5_000.0

StreamT = TypeVar("StreamT", bound=trio.abc.Stream)
FileStamps = tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class IdentityFiles:
    """The files of the identity, and the peers to accept.

    Attributes:
        certificate: the X.509-SVID.
        key: its private key.
        bundle: the trust bundle.
        trust_domain: the one to which peers must belong.
        teams: clients' teams by SPIFFE ID.
        engines: the SPIFFE IDs that engines may have.
    """

    certificate: Path
    key: Path
    bundle: Path
    trust_domain: str
    teams: Mapping[str, str]
    engines: frozenset[str]


@dataclass(frozen=True, slots=True)
class Credentials:
    """The TLS contexts loaded from the files, and the stamps of the files at that time."""

    stamps: FileStamps
    server: ssl.SSLContext
    client: ssl.SSLContext


def parse_identity_table(table: Mapping[str, Any]) -> IdentityFiles:
    """Parse the operator's ``identity`` table; raise ConfigError, which names the field."""
    for name in ("certificate", "key", "bundle", "trust_domain"):
        if not isinstance(table.get(name), str):
            raise ConfigError(f"identity.{name}: must be text")
    teams = table.get("teams", {})
    engines = table.get("engines", [])
    if not isinstance(teams, dict) or not isinstance(engines, list):
        raise ConfigError("identity: teams must be a table and engines a list")
    for name in [*teams, *engines]:
        try:
            parse_id(str(name))
        except IdentityError as error:
            raise ConfigError(f"identity: {error}") from None
    return IdentityFiles(
        Path(table["certificate"]),
        Path(table["key"]),
        Path(table["bundle"]),
        table["trust_domain"],
        {str(name): str(team) for name, team in teams.items()},
        frozenset(map(str, engines)),
    )


class Identity:
    """This program's own identity, reloaded when its files change, and its checks of peers.

    Raises ConfigError if the files cannot be loaded on construction.
    """

    def __init__(self, files: IdentityFiles, deadlines: Deadlines, counters: Counters) -> None:
        self.files = files
        self.deadlines = deadlines
        self.counters = counters
        try:
            self._credentials = self._load()
        except (OSError, ssl.SSLError) as error:
            raise ConfigError(f"identity: {error}") from None

    @property
    def server(self) -> ssl.SSLContext:
        """The TLS context for accepted connections."""
        return self._credentials.server

    @property
    def client(self) -> ssl.SSLContext:
        """The TLS context for outgoing connections."""
        return self._credentials.client

    def watch(self) -> None:
        """Reload the files if they have changed, and schedule the next check."""
        try:
            if self._file_stamps() != self._credentials.stamps:
                self._credentials = self._load()
                self.counters.add("identity.rotations")
                log.info("identity.rotated")
        except (OSError, ssl.SSLError) as error:
            # While the files are being replaced they may not match; the old identity stays in use.
            self.counters.add("identity.reload_failures")
            log.warning("identity.reload_failed", why=error)
        self.deadlines.after(RELOAD_CHECK_INTERVAL_MS, self.watch)

    def verified_peer_id(self, stream: trio.SSLStream[Any]) -> str:
        """Return the SPIFFE ID of the peer after the handshake.

        Raise IdentityError if the peer has no valid ID or belongs to another trust domain.
        """
        certificate = stream.getpeercert(binary_form=True)
        if not certificate:
            raise IdentityError("the peer has sent no certificate")
        name = spiffe_id(x509.load_der_x509_certificate(certificate))
        if parse_id(name).trust_domain != self.files.trust_domain:
            raise IdentityError(f"{name} is not in trust domain {self.files.trust_domain}")
        return name

    def check_engine(self, _: str, stream: trio.SSLStream[trio.SocketStream]) -> None:
        """Raise ssl.SSLError if the peer of a connection does not have the identity of an engine.

        No request has been sent at that point: the connection counts as not established.
        """
        try:
            name = self.verified_peer_id(stream)
        except IdentityError as error:
            raise self._engine_rejected(str(error)) from error
        if name not in self.files.engines:
            raise self._engine_rejected(f"{name} is not in identity.engines")

    def team_of(self, stream: trio.abc.Stream) -> str | None:
        """Return the team of a TLS client's identity, '' for an unknown or rejected one, None without TLS."""
        if not isinstance(stream, trio.SSLStream):
            return None
        try:
            return self.files.teams.get(self.verified_peer_id(stream), "")
        except IdentityError as error:
            log.info("identity.client_rejected", why=error)
            self.counters.add("identity.clients_rejected")
            return ""

    async def secure(self, stream: StreamT) -> trio.SSLStream[StreamT] | None:
        """Perform the TLS handshake with a client; on failure or timeout close the stream, return None."""
        secured = trio.SSLStream(stream, self.server, server_side=True, https_compatible=True)
        with self.deadlines.limit_for(HANDSHAKE_TIMEOUT_MS):
            try:
                await secured.do_handshake()
            except (trio.BrokenResourceError, ssl.SSLError) as error:
                log.info("identity.handshake_failed", why=error)
            else:
                return secured
        self.counters.add("identity.handshakes_failed")
        await trio.aclose_forcefully(stream)
        return None

    def _engine_rejected(self, why: str) -> ssl.SSLError:
        self.counters.add("identity.engines_rejected")
        return ssl.SSLError(why)

    def _file_stamps(self) -> FileStamps:
        paths = (self.files.certificate, self.files.key, self.files.bundle)
        return tuple((path.stat().st_mtime_ns, path.stat().st_ino) for path in paths)

    def _load(self) -> Credentials:
        stamps = self._file_stamps()
        server = self._context(ssl.PROTOCOL_TLS_SERVER)
        return Credentials(stamps, server, self._context(ssl.PROTOCOL_TLS_CLIENT))

    def _context(self, protocol: int) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.check_hostname = False  # A SPIFFE ID identifies the peer, not a host name.
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(self.files.bundle)
        context.load_cert_chain(self.files.certificate, self.files.key)
        return context
