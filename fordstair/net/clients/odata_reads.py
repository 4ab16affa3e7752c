"""Reads of single entities, and of collections page by page."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from fordstair.configuration.operator_options import OperatorOptions
from fordstair.net.clients.odata_errors import ODataError
from fordstair.net.clients.odata_messages import Response, encode_json
from fordstair.net.clients.odata_model import EntitySet
from fordstair.net.clients.odata_preferences import Preferences
from fordstair.net.clients.odata_results import PagePosition, Result, StoredResults
from fordstair.net.clients.odata_sql import ReadQuery, parse_read, read_resource
from fordstair.net.clients.odata_statements import Statement, StatementRunner


class ReadHandler:
    """Answers one connection's GET requests for entities."""

    def __init__(
        self, operator: OperatorOptions, results: StoredResults, statements: StatementRunner
    ) -> None:
        self._operator = operator
        self._results = results
        self._statements = statements

    async def read(
        self, path: str, options: Mapping[str, str], team: str, preferences: Preferences
    ) -> Response:
        """Run a read; return an entity, or the first page of a collection. Raise ODataError."""
        query = parse_read(path, options, self._operator.entity_sets)
        statement = Statement(query.statement, query.class_name, query.entity_set, team, preferences.wait_ms)
        pages = await self._statements.run(statement)
        rows = [row for row in b"".join(pages).split(b"\n") if row]
        if query.single:
            return self._entity_response(query, rows)
        return self._first_page(query, rows, team, preferences)

    def next_page(self, path: str, skip_token: str, team: str) -> Response:
        """Return a further page of a stored result; raise ODataError."""
        position = self._results.page(skip_token, team)
        if position.result.entity_set is not read_resource(path, self._operator.entity_sets).entity_set:
            raise ODataError(400, "BadRequest", "this token belongs to another set")
        return self._page_response(position)

    def _entity_response(self, query: ReadQuery, rows: list[bytes]) -> Response:
        if not rows:
            raise ODataError(404, "NotFound", "no such entity")
        context = f"{self._operator.root}/$metadata#{query.entity_set.name}/$entity"
        entity = row_to_entity(rows[0], query.entity_set, query.select)
        return Response(200, encode_json({"@odata.context": context, **entity}))

    def _first_page(
        self, query: ReadQuery, rows: list[bytes], team: str, preferences: Preferences
    ) -> Response:
        page_rows = self._operator.page_rows
        if preferences.max_page_rows:
            page_rows = min(page_rows, preferences.max_page_rows)
        result = Result(team, rows, query.entity_set, query.select, page_rows)
        result_id = self._results.store(result) if len(rows) > page_rows else ""
        response = self._page_response(PagePosition(result, 0, result_id), count=query.count)
        if preferences.max_page_rows is not None:
            response.headers["Preference-Applied"] = f"odata.maxpagesize={page_rows}"
        return response

    def _page_response(self, position: PagePosition, *, count: bool = False) -> Response:
        result = position.result
        entity_set = result.entity_set
        root = self._operator.root
        page: dict[str, Any] = {"@odata.context": f"{root}/$metadata#{entity_set.name}"}
        if count:
            page["@odata.count"] = len(result.rows)
        rows = result.rows[position.start : position.start + result.page_rows]
        page["value"] = [row_to_entity(row, entity_set, result.select) for row in rows]
        if position.next_token:
            page["@odata.nextLink"] = f"{root}/{entity_set.name}?$skiptoken={position.next_token}"
        return Response(200, encode_json(page))


def row_to_entity(row: bytes, entity_set: EntitySet, select: tuple[str, ...]) -> dict[str, str]:
    """Return the selected columns of a row, in which every column ends with a tab."""
    cells = row.decode("utf-8", "replace").split("\t")
    return {name: cell for name, cell in zip(entity_set.columns, cells, strict=False) if name in select}
