"""Field types of the tables of an operator's file: bounded numbers, names and addresses."""

from __future__ import annotations

from typing import Annotated, Literal, TypeAlias

from msgspec import Meta, Struct

Name: TypeAlias = Annotated[
    str,
    Meta(
        pattern=r"\A[A-Za-z][A-Za-z0-9._-]{0,63}\Z",
        description="a letter, then letters, digits, '.', '_' or '-'",
    ),
]
Address: TypeAlias = Annotated[
    str,
    Meta(
        pattern=r"\A[^\s:/]+:[0-9]{1,5}\Z|\A\[[0-9A-Fa-f:.]+\]:[0-9]{1,5}\Z",
        max_length=300,
        description="host:port, or [IPv6]:port",
    ),
]
Identifier: TypeAlias = Annotated[str, Meta(pattern=r"\A[A-Za-z_][A-Za-z0-9_]{0,127}\Z")]
TableName: TypeAlias = Annotated[
    str,
    Meta(
        pattern=r"\A[A-Za-z_][A-Za-z0-9_]*\.[A-Za-z_][A-Za-z0-9_]*\Z",
        max_length=257,
        description="schema.table",
    ),
]
Fraction: TypeAlias = Annotated[float, Meta(ge=0.0, le=1.0)]
Positive: TypeAlias = Annotated[float, Meta(gt=0.0, le=1e9)]
NotNegative: TypeAlias = Annotated[float, Meta(ge=0.0, le=1e12)]
Threads: TypeAlias = Annotated[int, Meta(ge=1, le=1024)]
Text: TypeAlias = Annotated[str, Meta(max_length=4096)]
Protocol: TypeAlias = Literal["rest", "odata"]


class Table(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the file; an unknown key is an error."""
