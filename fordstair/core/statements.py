"""What the core reads out of a statement: its group of tables."""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import NamedTuple

_SKIPPED = r"'(?:[^']|'')*(?:'|\Z)|--[^\n]*|\$(?P<tag>\w*)\$.*?\$(?P=tag)\$"
_NAME = r'(?:"(?P<quoted>[^"]+)"|(?P<plain>[A-Za-z_]\w*))'
_TOKEN = re.compile(rf"{_SKIPPED}|/\*|{_NAME}|(?P<mark>[.,()])|\d[\w.]*|\S", re.S)
_COMMENT_EDGE = re.compile(r"/\*|\*/")
_GROUPED = re.compile(r".*_(\d{1,9})$", re.S)
# Words after which a table's name stands; elsewhere a dotted name may start with an alias such as t_1.
_BEFORE_TABLE = frozenset({"from", "join", "into", "update", "table", "using", "only", "overwrite", "copy"})
# Tokens that end the list of tables after FROM.
_AFTER_TABLES = frozenset({"where", "group", "order", "having", "set", "values", "select", "limit", ")", ";"})


class _Token(NamedTuple):
    """A name or a mark; the last one of a statement is an end mark."""

    text: str
    is_name: bool


def table_group(statement: str) -> float:
    """Return the number in the name of the schema that the statement reads or writes; 0 without one.

    Names inside strings and comments do not count, nor does the schema ``staging``.
    """
    return _TableGroupScan().run(_tokens(statement))


class _TableGroupScan:
    """One pass over a statement's tokens, which looks for schemas with a number in dotted names."""

    def __init__(self) -> None:
        self._name_parts: list[str] = []  # of the dotted name that is being read
        self._table_expected = False
        self._in_from_list = False
        self._found_elsewhere = 0.0  # where no table's name is expected

    def run(self, tokens: Iterable[_Token]) -> float:
        """Return the group of the first table; else the first group that any name has."""
        for token in tokens:
            if self._continue_name(token):
                continue
            group = self._group_of_name()
            if group is not None:
                if self._table_expected:
                    return group
                self._found_elsewhere = self._found_elsewhere or group
            self._start_name(token)
            if token.text.lower() in _AFTER_TABLES:
                self._in_from_list = False
        return self._found_elsewhere

    def _continue_name(self, token: _Token) -> bool:
        """Take a token into the dotted name before it; return whether it belongs there."""
        if not self._name_parts:
            return False
        if token.text == "." and not token.is_name:
            self._name_parts.append("")
            return True
        if token.is_name and self._name_parts[-1] == "":
            self._name_parts[-1] = token.text
            return True
        return False

    def _group_of_name(self) -> float | None:
        """Return the number of the schema in the name just read; None where it has none."""
        if len(self._name_parts) < 2 or not self._name_parts[-1]:
            return None
        schema = self._name_parts[-2]
        group = _GROUPED.match(schema)
        return float(group[1]) if group and schema.lower() != "staging" else None

    def _start_name(self, token: _Token) -> None:
        if not token.is_name:
            # A name after a comma in FROM is a table's as well, unless other clauses have begun.
            self._table_expected = token.text == "," and self._in_from_list
            self._name_parts = []
            return
        word = token.text.lower()
        if word in _BEFORE_TABLE:
            self._table_expected = True
            self._in_from_list = word == "from"
            self._name_parts = []
            return
        if self._name_parts:  # an alias follows the table
            self._table_expected = False
        self._name_parts = [token.text]


def _tokens(statement: str) -> list[_Token]:
    """Return names and marks in order, past strings and comments."""
    tokens: list[_Token] = []
    position = 0
    while (match := _TOKEN.search(statement, position)) is not None:
        position = match.end()
        if match[0] == "/*":
            position = _comment_end(statement, position)
        elif match["quoted"] is not None or match["plain"] is not None:
            tokens.append(_Token(match["quoted"] or match["plain"], is_name=True))
        elif match["mark"] is not None or not _is_skipped(match[0]):
            tokens.append(_Token(match[0], is_name=False))
    tokens.append(_Token(";", is_name=False))
    return tokens


def _is_skipped(text: str) -> bool:
    return (text[0] in "'$" and len(text) > 1) or text.startswith("--")


def _comment_end(statement: str, position: int) -> int:
    """Return where a comment ends; comments may be nested."""
    depth = 1
    while depth and (edge := _COMMENT_EDGE.search(statement, position)) is not None:
        depth += 1 if edge[0] == "/*" else -1
        position = edge.end()
    return position if not depth else len(statement)
