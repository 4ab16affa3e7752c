"""This program's SPIFFE identity (X.509-SVID and trust bundle, from files), mutual TLS, and who a peer is."""

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

RELOAD_CHECK_MS = 2_000.0  # between two checks of the files, which are replaced when the identity rotates
HANDSHAKE_TIMEOUT_MS = 5_000.0

StreamT = TypeVar("StreamT", bound=trio.abc.Stream)
FileStamps = tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class IdentityFiles:
    """Where the identity is stored, and who is trusted."""

    certificate: Path
    key: Path
    bundle: Path
    trust_domain: str
    teams: Mapping[str, str]  # by SPIFFE ID
    engines: frozenset[str]  # SPIFFE IDs that engines may have


@dataclass(frozen=True, slots=True)
class Credentials:
    """What was read from the files, and from which state of them."""

    stamps: FileStamps
    server: ssl.SSLContext
    client: ssl.SSLContext


def read_files(table: Mapping[str, Any]) -> IdentityFiles:
    """Read the operator's table; raise ConfigError, which names the field."""
    for name in ("certificate", "key", "bundle", "trust_domain"):
        if not isinstance(table.get(name), str):
            raise ConfigError(f"identity.{name}: a text is wanted")
    teams = table.get("teams", {})
    engines = table.get("engines", [])
    if not isinstance(teams, dict) or not isinstance(engines, list):
        raise ConfigError("identity: teams is a table, engines a list")
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
    """This program's own identity, reloaded when its files change, and its judgement of peers.

    Raises ConfigError where the files cannot be used at the start.
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
        """The context for connections that are accepted."""
        return self._credentials.server

    @property
    def client(self) -> ssl.SSLContext:
        """The context for connections that are opened."""
        return self._credentials.client

    def watch(self) -> None:
        """Check the files, take over what has changed, and set the time of the next check."""
        try:
            if self._file_stamps() != self._credentials.stamps:
                self._credentials = self._load()
                self.counters.add("identity.rotations")
                log.info("identity.rotated")
        except (OSError, ssl.SSLError) as error:
            # Files that are being replaced, or do not belong together yet: the old identity stays in use.
            self.counters.add("identity.reload_failures")
            log.warning("identity.reload_failed", why=error)
        self.deadlines.after(RELOAD_CHECK_MS, self.watch)

    def check(self, stream: trio.SSLStream[Any]) -> str:
        """Return the ID of the peer of a finished handshake; raise IdentityError for another trust domain."""
        certificate = stream.getpeercert(binary_form=True)
        if not certificate:
            raise IdentityError("no certificate")
        name = spiffe_id(x509.load_der_x509_certificate(certificate))
        if parse_id(name).trust_domain != self.files.trust_domain:
            raise IdentityError(f"{name} is of another trust domain")
        return name

    def check_engine(self, _: str, stream: trio.SSLStream[trio.SocketStream]) -> None:
        """Let a connection be used only if an engine's identity is at its other end; raise ssl.SSLError.

        Nothing has been sent then: the connection never came up.
        """
        try:
            name = self.check(stream)
        except IdentityError as error:
            raise self._engine_rejected(str(error)) from error
        if name not in self.files.engines:
            raise self._engine_rejected(f"{name} is no engine")

    def team_of(self, stream: trio.abc.Stream) -> str | None:
        """Return the team of a secured client's identity, '' for an unknown one, None without TLS."""
        if not isinstance(stream, trio.SSLStream):
            return None
        try:
            return self.files.teams.get(self.check(stream), "")
        except IdentityError as error:
            log.info("identity.client_rejected", why=error)
            self.counters.add("identity.clients_rejected")
            return ""

    async def secure(self, stream: StreamT) -> trio.SSLStream[StreamT] | None:
        """Do a client's handshake; None where it fails or takes too long."""
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
        context.check_hostname = False  # a SPIFFE ID names the peer, not a host
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(self.files.bundle)
        context.load_cert_chain(self.files.certificate, self.files.key)
        return context
