"""The JSON Schema of the operator's file, as ``fordstair schema`` prints it."""

from __future__ import annotations

from typing import Any

import ujson
from typer.testing import CliRunner

from fordstair.cli.app import app
from tests.wires.recordings import recorded

# Texts for readers, and the names under which tables stand in the document itself: no key of a file.
FOR_READERS = {"title", "description"}


def messages() -> dict[str, str]:
    """The printed text, and what it demands of a file."""
    printed = CliRunner().invoke(app, ["schema"]).stdout
    schema = ujson.loads(printed)
    return {"printed": printed, "demands": ujson.dumps(demands(schema, schema["$defs"]))}


def demands(part: Any, tables: dict[str, Any]) -> Any:
    """Return a schema with its tables in their places, and without what is for readers alone."""
    if isinstance(part, list):
        return [demands(each, tables) for each in part]
    if not isinstance(part, dict):
        return part
    if "$ref" in part:
        return demands(tables[part["$ref"].rpartition("/")[2]], tables)
    if "properties" in part:  # its keys are those of a file, whatever they are called
        inside = {key: demands(value, tables) for key, value in part["properties"].items()}
        return {"properties": inside} | demands({k: v for k, v in part.items() if k != "properties"}, tables)
    return {
        key: demands(value, tables)
        for key, value in part.items()
        if key not in FOR_READERS and key != "$defs"
    }


def test_the_schema_demands_the_same() -> None:
    assert ujson.loads(messages()["demands"]) == ujson.loads(recorded("operator_schema")["demands"])


def test_the_schema_is_printed_as_recorded() -> None:
    assert messages()["printed"] == recorded("operator_schema")["printed"]
