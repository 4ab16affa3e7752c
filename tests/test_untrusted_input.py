"""Untrusted input from engines, clients and discovery raises only the typed errors."""

from __future__ import annotations

import tempfile
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgpack
import pytest
import trio
import ujson
from hypothesis import example, given, settings
from hypothesis import strategies as st

from fordstair.configuration import operator_file
from fordstair.configuration.errors import ConfigError
from fordstair.configuration.platform import parse
from fordstair.core.coordinator import Coordinator
from fordstair.core.ports import AttemptFailedError, AttemptRequest, Engine, Query
from fordstair.decisions.engine_list import EngineEntry
from fordstair.net.clients import rpc_wire
from fordstair.net.clients.messagepack import IncompleteMessageError, MalformedMessageError, read
from fordstair.net.clients.odata_errors import ODataError
from fordstair.net.clients.odata_front import ODataFront
from fordstair.net.clients.odata_messages import ODataRequest
from fordstair.net.clients.odata_model import EntitySet
from fordstair.net.clients.odata_results import Result, StoredResults
from fordstair.net.clients.odata_router import ODataRouter
from fordstair.net.clients.odata_statements import Statement, StatementRunner
from fordstair.net.clients.rpc_query import InvalidRequestError, read_query
from fordstair.net.console_commands import InvalidCommandError, read_command
from fordstair.net.engine_list_wire import FrameError, read_event, read_frame
from fordstair.net.engines.call import HttpCall, HttpTransport
from fordstair.net.engines.errors import ProtocolError
from fordstair.net.engines.http_messages import HttpResponse
from fordstair.net.engines.odata import ODataTransport
from fordstair.net.engines.pool import ConnectionPool
from fordstair.net.engines.rest import RestTransport
from fordstair.net.spiffe import IdentityError, parse_id
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from tests.standins import SETTINGS, config
from tests.test_odata import OPERATOR, READING

many = settings(max_examples=200, derandomize=True, deadline=None)
# urlsplit rejects this address, and int() rejects this many digits.
MALFORMED_URL = "http://[::1"
TOO_MANY_DIGITS = "9" * 5_000
SURROGATE = "\ud800"
hostile_text = st.text(max_size=40) | st.sampled_from(
    [MALFORMED_URL, "//[", TOO_MANY_DIGITS, "/a b", "/é", "-1", "²"]
)
header_value = hostile_text.map(lambda text: text.encode("latin-1", "replace"))
json_value = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | hostile_text | st.just(SURROGATE),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(hostile_text, inner, max_size=4),
    max_leaves=12,
)


def attempt(transport_type: type[HttpTransport]) -> HttpCall:
    """Return an attempt over one engine protocol, with nothing sent yet."""
    deadlines = Deadlines()
    pool = ConnectionPool(deadlines, Counters())
    transport: Any = transport_type(pool, deadlines, ("util", "inflight"))
    engine = Engine(EngineEntry("s-1"), "127.0.0.1:1")
    call = transport.call(AttemptRequest(Query("0" * 16, "lookup", 0, 0, 1000.0, b""), engine, 1, 1000.0))
    assert isinstance(call, HttpCall)
    return call


@many
@given(
    st.sampled_from([RestTransport, ODataTransport]),
    st.sampled_from([200, 202, 204, 500, 503, 504]),
    st.fixed_dictionaries(
        {},
        optional={
            name: header_value
            for name in (
                b"location",
                b"retry-after",
                b"asyncresult",
                b"x-sheets",
                b"x-gauges",
                b"x-how",
                b"x-val",
            )
        },
    ),
    st.binary(max_size=40) | json_value.map(lambda value: ujson.dumps({"value": value}).encode()),
)
@example(ODataTransport, 202, {b"location": MALFORMED_URL.encode()}, b"")
@example(ODataTransport, 202, {b"location": b"/a b"}, b"")
@example(ODataTransport, 200, {b"asyncresult": TOO_MANY_DIGITS.encode()}, b"")
@example(ODataTransport, 200, {}, b'{"value":[{"a":"\\ud800"}]}')
@example(ODataTransport, 200, {}, b'{"value":[],"@odata.nextLink":"http://[::1"}')
@example(RestTransport, 200, {b"x-sheets": TOO_MANY_DIGITS.encode()}, b"a\tb\tc\n")
def test_an_engine_response_is_progress_a_failed_attempt_or_a_protocol_error(
    transport_type: type[HttpTransport], status: int, headers: dict[bytes, bytes], body: bytes
) -> None:
    # Guards against a response that ends its attempt with an internal error.
    call = attempt(transport_type)
    try:
        call.read_progress(HttpResponse(status, headers, body))
    except (AttemptFailedError, ProtocolError):
        return
    # A path that the response named can be requested.
    assert all("!" <= char <= "~" for char in call.path)


class StubStatements(StatementRunner):
    """Encodes each statement as it would be sent, but runs none; each returns one row."""

    async def run(self, statement: Statement) -> Sequence[bytes]:
        """Encode the statement and return the row."""
        self._query(statement)
        return [b"a\tb\tc\n"]


def odata_router() -> ODataRouter:
    """Return a router of a coordinator that is not started."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "appliance.toml"
        path.write_text(OPERATOR)
        operator = operator_file.operator_options(
            operator_file.load_operator_file(str(path), require_site=False)
        )
    front = ODataFront(coordinator(), operator)
    return ODataRouter(front, trio.testing.MemorySendStream(), StubStatements(front.coordinator))  # type: ignore[arg-type]


def coordinator() -> Coordinator:
    """Return a coordinator that is not started."""
    return Coordinator(parse(config()).settings, 1, {}, Deadlines(), Counters())


ROUTER = odata_router()
TARGETS = ["/odata/Readings", "/odata/$batch", "/odata/Settlements?$skiptoken="]


@many
@given(
    st.sampled_from(["GET", "POST"]),
    st.builds(lambda start, end: start + end, st.sampled_from([*TARGETS, ""]), hostile_text),
    json_value | st.fixed_dictionaries({name: json_value for name in READING}),
    hostile_text,
)
@example("GET", MALFORMED_URL, None, "")
@example("GET", f"/odata/Settlements?$skiptoken=a-{TOO_MANY_DIGITS}", None, "")
@example("POST", "/odata/Readings", READING | {"meter": SURROGATE}, "")
@example("POST", "/odata/Readings", READING | {"kwh": float("inf")}, "")
@example("POST", "/odata/$batch", {"requests": [{"id": "1", "method": "GET", "url": "//["}]}, "")
@example(
    "POST", "/odata/$batch", {"requests": [{"id": SURROGATE, "method": SURROGATE, "url": SURROGATE}]}, ""
)
def test_every_request_at_the_odata_front_is_answered(
    method: str, target: str, body: object, header: str
) -> None:
    # Guards against a request whose connection is closed without an answer.
    headers = {"content-type": "application/json", "prefer": header, "repeatability-request-id": header}
    encoded = ujson.dumps(body).encode("utf-8", "surrogatepass")
    response = trio.run(ROUTER.respond, ODataRequest(method, target, headers, encoded))
    assert 200 <= response.status < 600
    if response.headers.get("Content-Type", "json") == "json" and response.body:
        assert "Infinity" not in response.body.decode()


@many
@given(json_value, st.binary(max_size=60))
@example(["lookup", {"unique": SURROGATE}], b"")
def test_a_client_message_is_valid_or_raises_a_typed_error(value: object, noise: bytes) -> None:
    unstarted = coordinator()
    packed = msgpack.packb([0, 1, "lookup", value], unicode_errors="surrogatepass", default=str)
    for encoded in (packed, noise):
        try:
            message = rpc_wire.read_message(read(memoryview(encoded))[0])
            if isinstance(message, rpc_wire.RequestMessage):
                read_query(message.method, message.params, unstarted, 1_000)
        except (IncompleteMessageError, MalformedMessageError, InvalidRequestError):
            pass
        rpc_wire.read_request_start(memoryview(encoded))


@many
@given(st.binary(max_size=80))
def test_input_from_discovery_and_the_console_is_valid_or_raises_a_typed_error(noise: bytes) -> None:
    frame_bytes = (9 + len(noise)).to_bytes(4, "big") + bytes(8) + b"\x01" + noise
    try:
        if (frame := read_frame(memoryview(frame_bytes))) is not None:
            read_event(frame)
    except FrameError:
        pass
    with suppress(InvalidCommandError):
        read_command(noise)
    with suppress(IdentityError):
        parse_id(noise.decode("latin-1"))


@pytest.mark.parametrize("address", ["nowhere", "", "host:", "127.0.0.1:99999", "127.0.0.1:x"])
def test_the_error_for_an_unusable_engine_address_names_its_field(address: str) -> None:
    # Guards against an address with which every attempt fails with an internal error.
    with pytest.raises(ConfigError, match="known"):
        parse(config(address) | {"settings": SETTINGS})


def test_a_page_token_with_an_invalid_start_gets_410() -> None:
    # Guards against a connection that is closed without an answer for a bad token of a stored result.
    results = StoredResults(10, 1_000.0, Deadlines())
    readings = EntitySet("Readings", "readings_2.intervals", ("meter",), "settlement", "lookup")
    name = results.store(Result("karri-energy", [b"a", b"b"], readings, ("meter",), 1))
    assert results.page(f"{name}-1", "karri-energy").start == 1
    for start in (TOO_MANY_DIGITS, "2", "", "-1", "²"):
        with pytest.raises(ODataError) as error:
            results.page(f"{name}-{start}", "karri-energy")
        assert error.value.status == 410
