"""Finds the group of tables that a statement uses, in time proportional to the statement's length."""

from __future__ import annotations

import re
from bisect import bisect_left
from collections.abc import Iterable, Iterator
from typing import NamedTuple

MAX_SCANNED_TOKENS = 5_000  # strings and comments included; what follows them is ignored

_STRING_OR_COMMENT = r"'[^']*(?:''[^']*)*(?:'|\Z)|--[^\n]*"
_NAME = r'(?:"(?P<quoted>[^"]+)"|(?P<plain>[A-Za-z_]\w*))'
_DOLLAR_TAG = r"(?P<dollar>\$\w*\$)"
_TOKEN = re.compile(rf"{_STRING_OR_COMMENT}|{_DOLLAR_TAG}|/\*|{_NAME}|(?P<mark>[.,()])|\d[\w.]*|\S", re.S)
_NOT_SPACE = re.compile(r"\S")  # at a space, each alternative of a token would be tried in vain
_DOLLAR_TAG_START = re.compile(r"\$(?=(\w*\$))")
_COMMENT_DELIMITER = re.compile(r"/\*|\*/")
_NUMBERED_SCHEMA = re.compile(r".*_(\d{1,9})$", re.S)
# Keywords that a table's name follows; elsewhere a dotted name may start with an alias such as t_1.
_TABLE_KEYWORDS = frozenset({"from", "join", "into", "update", "table", "using", "only", "overwrite", "copy"})
# Tokens that end the list of tables after FROM.
_FROM_LIST_END = frozenset(
    {"where", "group", "order", "having", "set", "values", "select", "limit", ")", ";"}
)


class _Token(NamedTuple):
    """A name or a punctuation mark; the last token of a statement is always a ``;`` mark."""

    text: str
    is_name: bool


def table_group(statement: str) -> float:
    """Return a statement's table group: the number at the end of its schema's name, or 0 without one.

    Names in strings and comments are ignored, and so is the schema ``staging``.
    """
    return _TableGroupScan().run(_tokens(statement))


class _TableGroupScan:
    """One pass over a statement's tokens that looks for dotted names whose schema ends in a number."""

    def __init__(self) -> None:
        self._name_parts: list[str] = []
        self._table_expected = False
        self._in_from_list = False
        self._fallback_group = 0.0  # first group found outside the places of table names

    def run(self, tokens: Iterable[_Token]) -> float:
        """Return the group of the first table that has one, else that of the first name that has one."""
        for token in tokens:
            if self._continue_name(token):
                continue
            group = self._group_of_name()
            if group is not None:
                if self._table_expected:
                    return group
                self._fallback_group = self._fallback_group or group
            self._start_name(token)
            if token.text.lower() in _FROM_LIST_END:
                self._in_from_list = False
        return self._fallback_group

    def _continue_name(self, token: _Token) -> bool:
        """Add a token to the dotted name before it; return whether it belongs to that name."""
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
        """Return the number of the schema of the dotted name just read, or None if it has none."""
        if len(self._name_parts) < 2 or not self._name_parts[-1]:
            return None
        schema = self._name_parts[-2]
        group = _NUMBERED_SCHEMA.match(schema)
        return float(group[1]) if group and schema.lower() != "staging" else None

    def _start_name(self, token: _Token) -> None:
        if not token.is_name:
            # A comma in the FROM list is followed by another table, unless a later clause has begun.
            self._table_expected = token.text == "," and self._in_from_list
            self._name_parts = []
            return
        word = token.text.lower()
        if word in _TABLE_KEYWORDS:
            self._table_expected = True
            self._in_from_list = word == "from"
            self._name_parts = []
            return
        if self._name_parts:  # the name before was the table, and this one is its alias
            self._table_expected = False
        self._name_parts = [token.text]


class _DollarTags:
    """The places of a statement's dollar tags, by tag; they are searched for once."""

    def __init__(self, statement: str) -> None:
        self._starts: dict[str, list[int]] = {}
        for match in _DOLLAR_TAG_START.finditer(statement):
            self._starts.setdefault("$" + match[1], []).append(match.start())

    def closing_end(self, tag: str, position: int) -> int | None:
        """Return the end of the first such tag at or after a position; None if there is none."""
        starts = self._starts[tag]
        index = bisect_left(starts, position)
        return starts[index] + len(tag) if index < len(starts) else None


def _tokens(statement: str) -> Iterator[_Token]:
    """Yield the names and punctuation marks in order, without strings and comments."""
    dollar_tags: _DollarTags | None = None
    position = 0
    for _ in range(MAX_SCANNED_TOKENS):
        start = _NOT_SPACE.search(statement, position)
        if start is None:
            break
        match = _TOKEN.match(statement, start.start())
        assert match is not None  # any character but a space is a token
        position = match.end()
        if match[0] == "/*":
            position = _comment_end(statement, position)
        elif match["dollar"] is not None:
            dollar_tags = dollar_tags or _DollarTags(statement)
            closing_end = dollar_tags.closing_end(match[0], position)
            if closing_end is None:  # no string begins here
                position = match.start() + 1
                yield _Token("$", is_name=False)
            else:
                position = closing_end
        elif match["quoted"] is not None or match["plain"] is not None:
            yield _Token(match["quoted"] or match["plain"], is_name=True)
        elif match["mark"] is not None or not _is_string_or_comment(match[0]):
            yield _Token(match[0], is_name=False)
    yield _Token(";", is_name=False)


def _is_string_or_comment(text: str) -> bool:
    return (text[0] == "'" and len(text) > 1) or text.startswith("--")


def _comment_end(statement: str, position: int) -> int:
    """Return the position after a comment, which may contain nested comments."""
    depth = 1
    while depth and (delimiter := _COMMENT_DELIMITER.search(statement, position)) is not None:
        depth += 1 if delimiter[0] == "/*" else -1
        position = delimiter.end()
    return position if not depth else len(statement)
