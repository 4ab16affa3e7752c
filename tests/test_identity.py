"""SPIFFE identities: which certificates of peers are valid, and mutual TLS from end to end."""

from __future__ import annotations

import datetime
import os
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
import trio
import ujson
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from fordstair.net.identity import Identity, parse_identity_table
from fordstair.net.spiffe import IdentityError, parse_id, spiffe_id
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from tests.scenes import run_with_timeout
from tests.standins import RestEngine, config, program
from tests.test_odata import OPERATOR, odata_script

START = datetime.datetime(2020, 1, 1)
END = datetime.datetime(2090, 1, 1)
KARRI, ENGINE = "spiffe://solar.example/retailer/karri", "spiffe://solar.example/engine"


class Authority:
    """The certificate authority of a trust domain."""

    def __init__(self) -> None:
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "test")])
        self.certificate = self.sign(self.key, [], ca=True)

    def sign(
        self,
        key: ec.EllipticCurvePrivateKey,
        uris: list[str],
        ca: bool = False,
        digital: bool = True,
        usages: tuple[x509.ObjectIdentifier, ...] = (
            ExtendedKeyUsageOID.SERVER_AUTH,
            ExtendedKeyUsageOID.CLIENT_AUTH,
        ),
    ) -> x509.Certificate:
        usage = x509.KeyUsage(digital, False, False, False, False, ca, ca, False, False)
        subject = self.name if ca else x509.Name([])
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(START)
            .not_valid_after(END)
            .add_extension(usage, True)
            .add_extension(x509.BasicConstraints(ca, None), True)
        )
        if uris:
            names = x509.SubjectAlternativeName([x509.UniformResourceIdentifier(uri) for uri in uris])
            builder = builder.add_extension(names, False).add_extension(x509.ExtendedKeyUsage(usages), False)
        return builder.sign(self.key, hashes.SHA256())

    def write(self, folder: Path, name: str, uri: str) -> dict[str, str]:
        """Write an SVID, its key and the trust bundle; return their paths."""
        key = ec.generate_private_key(ec.SECP256R1())
        pem = serialization.Encoding.PEM
        texts = {
            "certificate": self.sign(key, [uri]).public_bytes(pem),
            "key": key.private_bytes(pem, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()),
            "bundle": self.certificate.public_bytes(pem),
        }
        for part, text in texts.items():
            (folder / f"{name}.{part}").write_bytes(text)
        return {part: str(folder / f"{name}.{part}") for part in texts}


@pytest.mark.parametrize(
    "text",
    [
        "spiffe://solar.example",
        "spiffe://solar.example/",
        "spiffe://Solar.example/a",
        "http://solar.example/a",
        "spiffe://solar.example/a/../b",
        "spiffe://solar.example/a//b",
        "spiffe://solar.example:1/a",
        "spiffe:///a",
        "spiffe://solar.example/a?b",
        "spiffe://u@solar.example/a",
        "spiffe://solar.example/" + "a" * 2048,
        "",
    ],
)
def test_an_invalid_spiffe_id_is_rejected(text: str) -> None:
    with pytest.raises(IdentityError):
        parse_id(text)


def test_only_a_valid_peer_certificate_has_an_id() -> None:
    authority, key = Authority(), ec.generate_private_key(ec.SECP256R1())
    assert spiffe_id(authority.sign(key, [KARRI])) == KARRI
    for bad in (
        authority.sign(key, [KARRI, ENGINE]),
        authority.sign(key, [KARRI], ca=True),
        authority.sign(key, []),
        authority.sign(key, [KARRI], digital=False),
        authority.sign(key, ["https://solar.example/a"]),
        authority.sign(key, [KARRI], usages=(ExtendedKeyUsageOID.CODE_SIGNING,)),
    ):
        with pytest.raises(IdentityError):
            spiffe_id(bad)


def test_rotated_files_are_reloaded_and_broken_ones_are_not(tmp_path: Path) -> None:
    authority, counters = Authority(), Counters()
    paths = authority.write(tmp_path, "own", KARRI) | {"trust_domain": "solar.example"}
    identity = Identity(parse_identity_table(paths), Deadlines(), counters)
    first = identity.server
    identity.watch()
    assert identity.server is first
    good = Path(paths["certificate"]).read_bytes()
    Path(paths["certificate"]).write_text("half a file")
    identity.watch()
    assert identity.server is first
    assert counters["identity.reload_failures"] == 1
    Path(paths["certificate"]).write_bytes(good)
    os.utime(paths["certificate"], (1.0, 1.0))
    identity.watch()
    assert identity.server is not first
    assert counters["identity.rotations"] == 1


@asynccontextmanager
async def serve_over_tls(one: RestEngine, ssl_context: ssl.SSLContext) -> AsyncIterator[RestEngine]:
    """Serve the fake engine over TLS."""

    async def serve(stream: trio.SocketStream) -> None:
        tls = trio.SSLStream(stream, ssl_context, server_side=True, https_compatible=True)
        try:
            await tls.do_handshake()
        except (trio.BrokenResourceError, ssl.SSLError):
            return
        await one.serve(tls)

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        one.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        yield one
        nursery.cancel_scope.cancel()


def ssl_context(protocol: int, paths: dict[str, str]) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.check_hostname, context.verify_mode = False, ssl.CERT_REQUIRED
    context.load_verify_locations(paths["bundle"])
    context.load_cert_chain(paths["certificate"], paths["key"])
    return context


@pytest.mark.parametrize(
    ("client", "engine_id", "status"),
    [
        (KARRI, ENGINE, 200),
        ("spiffe://solar.example/stranger", ENGINE, 403),
        ("spiffe://elsewhere.example/retailer/karri", ENGINE, 403),
        (KARRI, "spiffe://solar.example/no-engine", 503),
    ],
)
def test_mutual_tls_authenticates_the_client_and_the_engine(
    tmp_path: Path, client: str, engine_id: str, status: int
) -> None:
    authority = Authority()
    own = authority.write(tmp_path, "own", "spiffe://solar.example/coordinator")
    engine_paths, client_paths = (
        authority.write(tmp_path, "engine", engine_id),
        authority.write(tmp_path, "client", client),
    )
    lines = [f'{name} = "{path}"' for name, path in own.items()]
    operator = tmp_path / "appliance.toml"
    operator.write_text(
        "\n".join(
            [
                OPERATOR + '[[engine]]\nid = "s-00000000"\nprotocol = "odata"',
                "[identity]",
                *lines,
                'trust_domain = "solar.example"',
                f'engines = ["{ENGINE}"]',
                "[identity.teams]",
                f'"{KARRI}" = "karri-energy"',
            ]
        )
    )

    async def scene() -> None:
        one = RestEngine(odata_script(1))
        async with (
            serve_over_tls(one, ssl_context(ssl.PROTOCOL_TLS_SERVER, engine_paths)),
            program(config(one.address), "--operator", str(operator)) as node,
        ):
            plain = await trio.open_tcp_stream("127.0.0.1", node.ports["odata"])
            tls = trio.SSLStream(
                plain, ssl_context(ssl.PROTOCOL_TLS_CLIENT, client_paths), https_compatible=True
            )
            # With identities configured, the team header is ignored.
            await tls.send_all(
                b"GET /odata/Settlements HTTP/1.1\r\nHost: x\r\nX-Team: karri-energy\r\n"
                b"Connection: close\r\n\r\n"
            )
            answer = b""
            while chunk := await tls.receive_some(65536):
                answer += chunk
            head, _, body = answer.partition(b"\r\n\r\n")
            assert int(head.split()[1]) == status
            assert len(one.posts) == (1 if status == 200 else 0)
            assert status != 200 or len(ujson.loads(body)["value"]) == 2

    run_with_timeout(scene)
