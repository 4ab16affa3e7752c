"""Finds all problems of an operator's file at once, each with the path of its field. Does no I/O."""

from __future__ import annotations

import re
import typing
from collections.abc import Iterator, Mapping
from types import NoneType, UnionType
from typing import Any

import msgspec

from fordstair.configuration.errors import ConfigurationProblem, InvalidOperatorFileError
from fordstair.configuration.operator_consistency import inconsistencies, missing_site_fields
from fordstair.configuration.operator_schema import File
from fordstair.configuration.operator_types import Table

MAX_PROBLEMS = 200
_MSGSPEC_PATH = re.compile(r" - at `[^`]*`\Z")
_TYPE_NAMES = {str: "a text", bool: "true or false", int: "a number", float: "a number", list: "a list"}


def validate_operator_file(document: Mapping[str, Any], *, require_site: bool) -> File:
    """Return the typed file.

    Args:
        document: The file's TOML, as parsed.
        require_site: Also require what a site without a platform needs: its name, classes, teams and engines.

    Raises:
        InvalidOperatorFileError: The file has problems; the error holds the first ``MAX_PROBLEMS``.
    """
    problems = list(_table_problems(document, File, ""))[:MAX_PROBLEMS]
    if problems:
        raise InvalidOperatorFileError(problems)
    file = msgspec.convert(document, File)
    problems = [*inconsistencies(file), *(missing_site_fields(file) if require_site else ())]
    if problems:
        raise InvalidOperatorFileError(problems[:MAX_PROBLEMS])
    return file


def _table_problems(value: Any, table: type[Table], path: str) -> Iterator[ConfigurationProblem]:
    """Yield the problems of one table, field by field, because msgspec stops at the first."""
    if not isinstance(value, Mapping):
        yield ConfigurationProblem(path, f"a table is wanted, not {_type_name(value)}")
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(table)}
    for name in value:
        if name not in fields:
            known = ", ".join(sorted(fields))
            yield ConfigurationProblem(_join(path, str(name)), f"unknown key; known are {known}")
    for name, field in fields.items():
        if name in value:
            yield from _value_problems(value[name], field.type, _join(path, name))
        elif field.required:
            yield ConfigurationProblem(_join(path, name), "is missing")


def _value_problems(value: Any, annotation: Any, path: str) -> Iterator[ConfigurationProblem]:
    inner = _without_metadata(annotation)
    if (table := _as_table(inner)) is not None:
        yield from _table_problems(value, table, path)
        return
    item_types = typing.get_args(inner)
    if typing.get_origin(inner) is list and isinstance(value, list) and _as_table(item_types[0]) is not None:
        for index, item in enumerate(value):
            yield from _value_problems(item, item_types[0], f"{path}.{index}")
        # The items have been checked, so only the bounds on the list's length remain.
        value = [None] * len(value)
        annotation = _with_any_items(annotation)
    try:
        msgspec.convert(value, annotation)
    except msgspec.ValidationError as error:
        reason = _MSGSPEC_PATH.sub("", str(error))
        yield ConfigurationProblem(path, reason[:1].lower() + reason[1:])
    except RecursionError:
        yield ConfigurationProblem(path, "is nested too deeply")


def _without_metadata(annotation: Any) -> Any:
    while typing.get_origin(annotation) is typing.Annotated:
        annotation = typing.get_args(annotation)[0]
    return annotation


def _as_table(annotation: Any) -> type[Table] | None:
    """Return the table class of ``Table`` or ``Table | None``; None for any other type."""
    if typing.get_origin(annotation) in (typing.Union, UnionType):
        choices = [choice for choice in typing.get_args(annotation) if choice is not NoneType]
        annotation = choices[0] if len(choices) == 1 else None
    return annotation if isinstance(annotation, type) and issubclass(annotation, Table) else None


def _with_any_items(annotation: Any) -> Any:
    """Return a list type with the same bounds and items of any type."""
    if typing.get_origin(annotation) is typing.Annotated:
        return typing.Annotated[(list[Any], *annotation.__metadata__)]
    return list[Any]


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _type_name(value: Any) -> str:
    return _TYPE_NAMES.get(type(value), type(value).__name__)
