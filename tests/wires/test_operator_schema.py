"""The JSON Schema of the operator's file, as ``fordstair schema`` prints it."""

from __future__ import annotations

from typing import Any

import ujson
from typer.testing import CliRunner

from fordstair.cli.app import app
from tests.wires.recordings import recorded

# Keys of the schema that do not constrain a file.
ANNOTATION_KEYS = {"title", "description"}


def messages() -> dict[str, str]:
    """Return the printed schema, and its constraints on a file as JSON."""
    printed = CliRunner().invoke(app, ["schema"]).stdout
    schema = ujson.loads(printed)
    return {"printed": printed, "demands": ujson.dumps(constraints(schema, schema["$defs"]))}


def constraints(part: Any, tables: dict[str, Any]) -> Any:
    """Return a schema with each ``$ref`` replaced by its table and without annotations."""
    if isinstance(part, list):
        return [constraints(each, tables) for each in part]
    if not isinstance(part, dict):
        return part
    if "$ref" in part:
        return constraints(tables[part["$ref"].rpartition("/")[2]], tables)
    # The keys of "properties" are keys of a file, so "title" and "description" stay among them.
    if "properties" in part:
        properties = {key: constraints(value, tables) for key, value in part["properties"].items()}
        return {"properties": properties} | constraints(
            {k: v for k, v in part.items() if k != "properties"}, tables
        )
    return {
        key: constraints(value, tables)
        for key, value in part.items()
        if key not in ANNOTATION_KEYS and key != "$defs"
    }


def test_the_constraints_of_the_schema_are_as_recorded() -> None:
    assert ujson.loads(messages()["demands"]) == ujson.loads(recorded("operator_schema")["demands"])


def test_the_schema_is_printed_as_recorded() -> None:
    assert messages()["printed"] == recorded("operator_schema")["printed"]
