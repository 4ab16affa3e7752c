"""Translates $filter into SQL."""

from __future__ import annotations

from typing import Any

from odata_query import ast
from odata_query.exceptions import ODataException
from odata_query.grammar import ODataLexer, ODataParser
from odata_query.sql.base import AstToSqlVisitor

from fordstair.net.clients.odata_errors import ODataError
from fordstair.net.clients.odata_model import EntitySet


def filter_to_sql(text: str, entity_set: EntitySet) -> str:
    """Return the condition of a WHERE clause; raise ODataError if the filter is invalid or not supported."""
    try:
        return str(_FilterVisitor(entity_set).visit(ODataParser().parse(ODataLexer().tokenize(text))))
    except ODataException as error:
        raise ODataError(400, "BadFilter", f"the filter cannot be read: {error}") from None
    except RecursionError:
        raise ODataError(400, "BadFilter", "the filter is nested too deeply") from None


def quote_text(text: str) -> str:
    """Return a text as an SQL literal."""
    return "'" + text.replace("'", "''") + "'"


class _FilterVisitor(AstToSqlVisitor):
    """Accepts only the set's columns as identifiers; the library calls the method named after a node."""

    def __init__(self, entity_set: EntitySet) -> None:
        super().__init__()
        self._columns = entity_set.columns

    def visit_Identifier(self, node: ast.Identifier) -> str:  # noqa: N802 - the library's name
        """Return the name of a column; reject any other identifier."""
        if node.name not in self._columns or node.namespace:
            raise ODataError(400, "BadFilter", f"no property {node.name!r}")
        return str(node.name)

    def visit_String(self, node: ast.String) -> str:  # noqa: N802 - the library's name
        """Return a text as an SQL literal; a lone wildcard in it would change what LIKE matches."""
        return quote_text(node.val)

    def visit_Call(self, node: ast.Call) -> str:  # noqa: N802 - the library's name
        """Reject every function: their wildcards and types differ between engines."""
        raise ODataError(501, "NotImplemented", f"the function {node.func.name} is not served")

    def generic_visit(self, node: Any) -> Any:
        """Reject a node without a method of its own; the library would return no SQL for it."""
        raise ODataError(501, "NotImplemented", f"{type(node).__name__} is not served in a filter")
