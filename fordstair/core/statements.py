"""What the core reads out of a statement: its group of tables."""

from __future__ import annotations

import re

_SKIPPED = r"'(?:[^']|'')*(?:'|\Z)|--[^\n]*|\$(?P<tag>\w*)\$.*?\$(?P=tag)\$"
_NAME = r'(?:"(?P<quoted>[^"]+)"|(?P<plain>[A-Za-z_]\w*))'
_TOKEN = re.compile(rf"{_SKIPPED}|/\*|{_NAME}|(?P<mark>[.,()])|\d[\w.]*|\S", re.S)
_COMMENT_EDGE = re.compile(r"/\*|\*/")
_GROUPED = re.compile(r".*_(\d{1,9})$", re.S)
# Words after which a table's name stands; elsewhere a dotted name may start with an alias such as t_1.
_BEFORE_TABLE = {"from", "join", "into", "update", "table", "using", "only", "overwrite", "copy"}


def table_group(statement: str) -> float:
    """Return the number in the name of the schema that the statement reads or writes; 0 without one.

    Names inside strings and comments do not count, nor does the schema ``staging``.
    """
    elsewhere = 0.0
    names, expected, listed = list[str](), False, False
    for kind, text in _tokens(statement):
        if kind == "mark" and text == "." and names:
            names.append("")
            continue
        if kind == "name" and names and names[-1] == "":
            names[-1] = text
            continue
        if len(names) > 1 and names[-1]:
            group = _GROUPED.match(names[-2])
            if group and names[-2].lower() != "staging":
                if expected:
                    return float(group[1])
                elsewhere = elsewhere or float(group[1])
        if kind == "name":
            # a name after FROM's comma is a table's as well, unless the list has moved on to other clauses
            word = text.lower()
            if word in _BEFORE_TABLE:
                expected, listed, names = True, word == "from", []
                continue
            if names and expected:  # an alias follows the table
                expected = False
            names = [text]
        else:
            expected = text == "," and listed
            names = []
        if word_ends_list(text):
            listed = False
    return elsewhere


def word_ends_list(text: str) -> bool:
    """Whether a token ends the list of tables after FROM."""
    return text.lower() in {"where", "group", "order", "having", "set", "values", "select", "limit", ")", ";"}


def _tokens(statement: str) -> list[tuple[str, str]]:
    """Return names and marks in order, past strings and comments; the last one is an end mark."""
    tokens, at = list[tuple[str, str]](), 0
    while (match := _TOKEN.search(statement, at)) is not None:
        at = match.end()
        if match[0] == "/*":
            at = _comment_end(statement, at)
        elif match["quoted"] is not None or match["plain"] is not None:
            tokens.append(("name", match["quoted"] or match["plain"]))
        elif match["mark"] is not None or not _is_skipped(match[0]):
            tokens.append(("mark", match[0]))
    tokens.append(("mark", ";"))
    return tokens


def _is_skipped(text: str) -> bool:
    return (text[0] in "'$" and len(text) > 1) or text.startswith("--")


def _comment_end(statement: str, at: int) -> int:
    """Return where a comment ends; comments may be nested."""
    depth = 1
    while depth and (edge := _COMMENT_EDGE.search(statement, at)) is not None:
        depth += 1 if edge[0] == "/*" else -1
        at = edge.end()
    return at if not depth else len(statement)
