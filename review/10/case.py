"""A client's identity expires while its connection is open; loads that it sends from then on must be refused."""

from __future__ import annotations

import asyncio
import json
import ssl
import sys
import time
from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))
import harness  # noqa: E402
import odata  # noqa: E402

DOMAIN = "solar.example"
CLIENT_VALID_S = 8.0 if harness.TROUBLE else 3600.0
IDENTITY = """
[identity]
certificate = "{folder}/server.pem"
key = "{folder}/server.key"
bundle = "{folder}/bundle.pem"
trust_domain = "solar.example"
engines = ["spiffe://solar.example/engine"]

[identity.teams]
"spiffe://solar.example/retailer/karri-energy" = "karri-energy"
"""


class Issuer:
    """A stand-in issuer of X.509-SVIDs with one root."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(NameOID.ORGANIZATION_NAME, DOMAIN)])
        root = self._builder(self._name, self._key, 7200.0)
        root = root.add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        root = root.add_extension(_key_usage(signs=False), critical=True)
        (folder / "bundle.pem").write_bytes(_pem(root.sign(self._key, hashes.SHA256())))

    def issue(self, name: str, path: str, valid_s: float) -> datetime:
        """Write NAME.pem and NAME.key for an ID of the trust domain; return when it expires."""
        key = ec.generate_private_key(ec.SECP256R1())
        uri = x509.UniformResourceIdentifier(f"spiffe://{DOMAIN}{path}")
        leaf = self._builder(x509.Name([]), key, valid_s)
        leaf = leaf.add_extension(x509.SubjectAlternativeName([uri]), critical=True)
        leaf = leaf.add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
        leaf = leaf.add_extension(_key_usage(signs=True), critical=True)
        usages = [ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH]
        leaf = leaf.add_extension(x509.ExtendedKeyUsage(usages), critical=False)
        certificate = leaf.sign(self._key, hashes.SHA256())
        (self.folder / f"{name}.pem").write_bytes(_pem(certificate))
        (self.folder / f"{name}.key").write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return certificate.not_valid_after_utc

    def _builder(
        self, subject: x509.Name, key: ec.EllipticCurvePrivateKey, valid_s: float
    ) -> x509.CertificateBuilder:
        now = datetime.now(UTC)
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - timedelta(minutes=1))
            .not_valid_after(now + timedelta(seconds=valid_s))
        )


def _key_usage(*, signs: bool) -> x509.KeyUsage:
    return x509.KeyUsage(
        digital_signature=signs,
        content_commitment=False,
        key_encipherment=False,
        data_encipherment=False,
        key_agreement=False,
        key_cert_sign=not signs,
        crl_sign=not signs,
        encipher_only=False,
        decipher_only=False,
    )


def _pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)


async def case(scratch: harness.Scratch, record: harness.Record) -> int:
    """Load before and after the end of the identity; the rule is broken if a load after it runs."""
    issuer = Issuer(scratch.folder)
    issuer.issue("server", "/coordinator", 3600.0)
    engines = [harness.Engine(f"garden-{number}", record) for number in (1, 2)]
    for engine in engines:
        await engine.start()
    site = odata.Site(scratch, "garden", engines, more=IDENTITY.format(folder=scratch.folder))
    process = site.start()
    issuer.issue("probe", "/retailer/karri-energy", 3600.0)
    if not await odata.wait_until_served(site.odata, context=client_context(scratch.folder, "probe")):
        raise RuntimeError("the appliance is not ready")

    expires = issuer.issue("client", "/retailer/karri-energy", CLIENT_VALID_S)
    record.add("the client's identity expires at", expires.isoformat())
    connection = await odata.connect(site.odata, client_context(scratch.folder, "client"))
    ran_after: list[str] = []
    served_before = 0
    for number in range(7):
        body = json.dumps({"meter": f"m-{number}", "started": "2026-11", "kwh": "1.5"}).encode()
        before = sum(len(engine.runs) for engine in engines)
        expired = harness.TROUBLE and time.time() > expires.timestamp() + 1.0
        try:
            status, _ = await odata.exchange(connection, odata.load_request(body), 25.0)
        except (ConnectionError, asyncio.IncompleteReadError):
            record.add("load", number, "the connection has been ended")
            break
        ran = sum(len(engine.runs) for engine in engines) - before
        record.add("load", number, "identity expired" if expired else "identity valid", status, "runs", ran)
        served_before += not expired and status == 201
        if expired and ran:
            ran_after.append(f"{number} ({status})")
        await asyncio.sleep(2.5)
    summary = f"served while valid {served_before}, run after the identity had expired: {ran_after}"
    record.add(summary)
    print(summary)
    connection[1].close()
    if process.exited is not None or not served_before:
        raise RuntimeError("the appliance did not serve")
    return harness.BROKEN if ran_after else harness.HELD


def client_context(folder: Path, name: str) -> ssl.SSLContext:
    """Return the TLS context of a client with an identity."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.load_verify_locations(folder / "bundle.pem")
    context.load_cert_chain(folder / f"{name}.pem", folder / f"{name}.key")
    return context


harness.main(case, HERE)
