"""Loads: a POST of one entity, which runs at most once if it carries a repeatability id."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

from fordstair.net.clients.odata_errors import ODataError
from fordstair.net.clients.odata_messages import Response, decode_json, encode_json, error_response
from fordstair.net.clients.odata_model import EntitySet
from fordstair.net.clients.odata_preferences import Preferences
from fordstair.net.clients.odata_sql import insert_statement, read_resource
from fordstair.net.clients.odata_statements import Statement, StatementRunner
from fordstair.net.clients.repeatable_requests import IdempotencyStore

_REQUEST_ID = "repeatability-request-id"
_REPEATABILITY_ACCEPTED = {"Repeatability-Result": "accepted"}
# The only status that proves that the load did not run.
_REJECTED_STATUS = 503


class LoadHandler:
    """Answers one connection's POST requests for entities."""

    def __init__(
        self,
        root: str,
        sets: Mapping[str, EntitySet],
        idempotency_store: IdempotencyStore,
        statements: StatementRunner,
    ) -> None:
        self._root = root
        self._sets = sets
        self._idempotency_store = idempotency_store
        self._statements = statements

    async def load(self, path: str, team: str, headers: Mapping[str, str], body: bytes) -> Response:
        """Run one load; raise ODataError if it is invalid, rejected or failed."""
        entity_set, entity = self._read_entity(path, body)
        preferences = Preferences(headers)
        text = insert_statement(entity_set, entity)
        statement = Statement(text, entity_set.write_class, entity_set, team, preferences.wait_ms)
        request_id = headers.get(_REQUEST_ID, "")
        if request_id:
            return await self._load_once(statement, entity, preferences, request_id)
        await self._statements.run(statement)
        return self._created_response(entity_set, entity, preferences, {})

    async def _load_once(
        self, statement: Statement, entity: dict[str, Any], preferences: Preferences, request_id: str
    ) -> Response:
        """Run a load at most once under its repeatability id; return the first run's response to a repeat."""
        ticket = await self._idempotency_store.begin(statement.team, request_id)
        if isinstance(ticket, Response):
            return ticket
        try:
            await self._statements.run(statement)
        except ODataError as error:
            never_ran = error.status == _REJECTED_STATUS
            self._idempotency_store.end(ticket, None if never_ran else error_response(error))
            raise
        response = self._created_response(statement.entity_set, entity, preferences, _REPEATABILITY_ACCEPTED)
        self._idempotency_store.end(ticket, response)
        return response

    def _read_entity(self, path: str, body: bytes) -> tuple[EntitySet, Any]:
        resource = read_resource(path, self._sets)
        if resource.key is not None:
            raise ODataError(405, "NotAllowed", "a single entity is only read", {"Allow": "GET"})
        try:
            return resource.entity_set, decode_json(body)
        except ValueError:
            raise ODataError(400, "BadRequest", "the body is no JSON") from None

    def _created_response(
        self,
        entity_set: EntitySet,
        entity: dict[str, Any],
        preferences: Preferences,
        headers: Mapping[str, str],
    ) -> Response:
        if preferences.minimal_response:
            response = Response(204, b"", {**headers, "Preference-Applied": "return=minimal"})
        else:
            context = f"{self._root}/$metadata#{entity_set.name}/$entity"
            response = Response(201, encode_json({"@odata.context": context, **entity}), dict(headers))
        key = quote(str(entity[entity_set.key]).replace("'", "''"), safe="")
        response.headers["Location"] = f"{self._root}/{entity_set.name}('{key}')"
        return response
