"""Whatever engines, clients and discovery send: the errors raised are the typed ones alone."""

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
CUT_ADDRESS = "http://[::1"  # that urlsplit rejects
DIGITS = "9" * 5_000  # that int() rejects
SURROGATE = "\ud800"
odd_text = st.text(max_size=40) | st.sampled_from([CUT_ADDRESS, "//[", DIGITS, "/a b", "/é", "-1", "²"])
header_value = odd_text.map(lambda text: text.encode("latin-1", "replace"))
json_value = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | odd_text | st.just(SURROGATE),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(odd_text, inner, max_size=4),
    max_leaves=12,
)


def attempt(transport_type: type[HttpTransport]) -> HttpCall:
    """One attempt in a protocol of engines, of which nothing has been sent."""
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
@example(ODataTransport, 202, {b"location": CUT_ADDRESS.encode()}, b"")
@example(ODataTransport, 202, {b"location": b"/a b"}, b"")
@example(ODataTransport, 200, {b"asyncresult": DIGITS.encode()}, b"")
@example(ODataTransport, 200, {}, b'{"value":[{"a":"\\ud800"}]}')
@example(ODataTransport, 200, {}, b'{"value":[],"@odata.nextLink":"http://[::1"}')
@example(RestTransport, 200, {b"x-sheets": DIGITS.encode()}, b"a\tb\tc\n")
def test_an_engines_answer_is_progress_a_failed_attempt_or_no_answer(
    transport_type: type[HttpTransport], status: int, headers: dict[bytes, bytes], body: bytes
) -> None:
    # Guards against an attempt that ends by the guard against internal errors.
    call = attempt(transport_type)
    try:
        call.read_progress(HttpResponse(status, headers, body))
    except (AttemptFailedError, ProtocolError):
        return
    assert all("!" <= char <= "~" for char in call.path)  # what it named can be asked for


class StubStatements(StatementRunner):
    """Runs no statement: writes it as it would be sent, and has one row for each."""

    async def run(self, statement: Statement) -> Sequence[bytes]:
        """Return the row."""
        self._query(statement)
        return [b"a\tb\tc\n"]


def odata_router() -> ODataRouter:
    """A router in a program that is not started."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "appliance.toml"
        path.write_text(OPERATOR)
        operator = operator_file.operator_options(
            operator_file.load_operator_file(str(path), require_site=False)
        )
    front = ODataFront(coordinator(), operator)
    return ODataRouter(front, trio.testing.MemorySendStream(), StubStatements(front.coordinator))  # type: ignore[arg-type]


def coordinator() -> Coordinator:
    """A coordinator that is not started."""
    return Coordinator(parse(config()).settings, 1, {}, Deadlines(), Counters())


ROUTER = odata_router()
TARGETS = ["/odata/Readings", "/odata/$batch", "/odata/Settlements?$skiptoken="]


@many
@given(
    st.sampled_from(["GET", "POST"]),
    st.builds(lambda start, end: start + end, st.sampled_from([*TARGETS, ""]), odd_text),
    json_value | st.fixed_dictionaries({name: json_value for name in READING}),
    odd_text,
)
@example("GET", CUT_ADDRESS, None, "")
@example("GET", f"/odata/Settlements?$skiptoken=a-{DIGITS}", None, "")
@example("POST", "/odata/Readings", READING | {"meter": SURROGATE}, "")
@example("POST", "/odata/Readings", READING | {"kwh": float("inf")}, "")
@example("POST", "/odata/$batch", {"requests": [{"id": "1", "method": "GET", "url": "//["}]}, "")
@example(
    "POST", "/odata/$batch", {"requests": [{"id": SURROGATE, "method": SURROGATE, "url": SURROGATE}]}, ""
)
def test_every_request_at_the_odata_front_is_answered(
    method: str, target: str, body: object, header: str
) -> None:
    # Guards against a request that is read, and whose connection closes without an answer.
    headers = {"content-type": "application/json", "prefer": header, "repeatability-request-id": header}
    encoded = ujson.dumps(body).encode("utf-8", "surrogatepass")
    response = trio.run(ROUTER.respond, ODataRequest(method, target, headers, encoded))
    assert 200 <= response.status < 600
    if response.headers.get("Content-Type", "json") == "json" and response.body:
        assert "Infinity" not in response.body.decode()


@many
@given(json_value, st.binary(max_size=60))
@example(["lookup", {"unique": SURROGATE}], b"")
def test_a_message_of_a_client_is_one_or_is_malformed(value: object, noise: bytes) -> None:
    taken = coordinator()
    packed = msgpack.packb([0, 1, "lookup", value], unicode_errors="surrogatepass", default=str)
    for encoded in (packed, noise):
        try:
            message = rpc_wire.read_message(read(memoryview(encoded))[0])
            if isinstance(message, rpc_wire.RequestMessage):
                read_query(message.method, message.params, taken, 1_000)
        except (IncompleteMessageError, MalformedMessageError, InvalidRequestError):
            pass
        rpc_wire.read_request_id(memoryview(encoded))


@many
@given(st.binary(max_size=80))
def test_what_discovery_and_a_console_send_is_read_or_malformed(noise: bytes) -> None:
    framed = (9 + len(noise)).to_bytes(4, "big") + bytes(8) + b"\x01" + noise
    try:
        if (frame := read_frame(memoryview(framed))) is not None:
            read_event(frame)
    except FrameError:
        pass
    with suppress(InvalidCommandError):
        read_command(noise)
    with suppress(IdentityError):
        parse_id(noise.decode("latin-1"))


@pytest.mark.parametrize("address", ["nowhere", "", "host:", "127.0.0.1:99999", "127.0.0.1:x"])
def test_an_engine_of_the_configuration_whose_address_cannot_be_used_is_named(address: str) -> None:
    # Guards against an address that fails each attempt with an internal error.
    with pytest.raises(ConfigError, match="known"):
        parse(config(address) | {"settings": SETTINGS})


def test_a_page_token_whose_number_is_too_long_names_no_page() -> None:
    # Guards against the same end of a connection by a token of a result that is stored.
    results = StoredResults(10, 1_000.0, Deadlines())
    readings = EntitySet("Readings", "readings_2.intervals", ("meter",), "settlement", "lookup")
    name = results.store(Result("karri-energy", [b"a", b"b"], readings, ("meter",), 1))
    assert results.page(f"{name}-1", "karri-energy").start == 1
    for start in (DIGITS, "2", "", "-1", "²"):
        with pytest.raises(ODataError) as error:
            results.page(f"{name}-{start}", "karri-energy")
        assert error.value.status == 410
