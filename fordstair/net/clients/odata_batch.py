"""Batches in the JSON format (OData JSON Format 4.01, 19): requests that are answered in their order."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import ujson

from fordstair.net.clients.odata_errors import ODataError
from fordstair.net.clients.odata_messages import (
    ODataRequest,
    Response,
    decode_json,
    encode_json,
    error_response,
)
from fordstair.net.clients.odata_metadata import XML
from fordstair.net.clients.odata_preferences import Preferences
from fordstair.net.clients.odata_statements import StatementRunner

MAX_REQUESTS = 100
_FIRST_ERROR_STATUS = 400

Respond = Callable[[ODataRequest], Awaitable[Response]]


@dataclass(slots=True, frozen=True)
class BatchPart:
    """One request of a batch."""

    name: str
    method: str
    url: str
    fields: Mapping[str, Any]  # as they came

    @property
    def in_atomicity_group(self) -> bool:
        """Whether it is to succeed or fail together with others."""
        return bool(self.fields.get("atomicityGroup"))

    def may_run(self, failed: set[str]) -> bool:
        """Whether nothing that it depends on has failed; a malformed list counts as failed."""
        depends_on = self.fields.get("dependsOn") or []
        return isinstance(depends_on, list) and not failed & {str(each) for each in depends_on}

    def request(self, inherited_headers: Mapping[str, str]) -> ODataRequest:
        """Return it as a request of its own."""
        headers = self.fields.get("headers")
        own_headers = headers if isinstance(headers, dict) else {}
        content = self.fields.get("body")
        return ODataRequest(
            self.method,
            self.url,
            {**inherited_headers, **{str(key).lower(): str(value) for key, value in own_headers.items()}},
            b"" if content is None else encode_json(content),
            in_batch=True,
        )


@dataclass(slots=True)
class BatchProgress:
    """What a batch has come to so far."""

    responses: list[dict[str, Any]] = field(default_factory=list)
    failed: set[str] = field(default_factory=set)  # names of requests

    def add(self, name: str, response: Response) -> None:
        """Note the response to one request."""
        if response.status >= _FIRST_ERROR_STATUS:
            self.failed.add(name)
        self.responses.append(_encode_part(name, response))


class Batches:
    """Runs the batches of one connection; parts inherit the given headers (in lower case) from theirs."""

    def __init__(
        self, inherited_headers: tuple[str, ...], respond: Respond, statements: StatementRunner
    ) -> None:
        self._inherited_headers = inherited_headers
        self._respond = respond
        self._statements = statements

    async def run(self, headers: Mapping[str, str], body: bytes) -> Response:
        """Run a batch; one whose client has left goes no further. Raise ODataError where it is malformed."""
        if not headers.get("content-type", "").startswith("application/json"):
            raise ODataError(415, "UnsupportedMediaType", "batches are served in the JSON format")
        parts = _read_parts(body)
        inherited = {name: value for name, value in headers.items() if name in self._inherited_headers}
        preferences = Preferences(headers)
        progress = BatchProgress()
        with self._statements.batch_limit(preferences.wait_ms):
            for part in parts:
                if self._statements.disconnected:  # a load that has not begun never begins
                    break
                progress.add(part.name, await self._run_part(part, progress.failed, inherited))
                if part.name in progress.failed and not preferences.continue_on_error:
                    break
        return Response(200, encode_json({"responses": progress.responses}))

    async def _run_part(
        self, part: BatchPart, failed: set[str], inherited_headers: Mapping[str, str]
    ) -> Response:
        if not part.may_run(failed):
            return error_response(ODataError(424, "FailedDependency", "one before it has failed"))
        if part.in_atomicity_group:
            return error_response(ODataError(501, "NotImplemented", "no atomicity groups are served"))
        return await self._respond(part.request(inherited_headers))


def _read_parts(body: bytes) -> list[BatchPart]:
    try:
        parts = [
            BatchPart(str(each["id"]), str(each["method"]).upper(), str(each["url"]), each)
            for each in decode_json(body)["requests"]
        ]
    except (ValueError, KeyError, TypeError):
        raise ODataError(400, "BadBatch", "each request needs an id, a method and a url") from None
    if len(parts) > MAX_REQUESTS or len({part.name for part in parts}) < len(parts):
        raise ODataError(400, "BadBatch", f"at most {MAX_REQUESTS} requests, each with an id of its own")
    return parts


def _encode_part(name: str, response: Response) -> dict[str, Any]:
    part: dict[str, Any] = {
        "id": name,
        "status": response.status,
        "headers": {key.lower(): value for key, value in response.headers.items()},
    }
    if response.body:
        xml = response.headers.get("Content-Type") == XML
        part["body"] = response.body.decode() if xml else ujson.loads(response.body)
    return part
