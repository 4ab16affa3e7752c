"""Start one coordinator as the platform does; with an operator's file, also what that turns on."""

from __future__ import annotations

import argparse
import logging
import os
import sys
from typing import TYPE_CHECKING

import trio

from fordstair.configuration.errors import ConfigError
from fordstair.configuration.platform import Config, load
from fordstair.program import Program
from fordstair.runtime.event_log import PlainFormatter

if TYPE_CHECKING:
    from fordstair.net.clients.odata_model import Operator


def told_by(path: str | None) -> tuple[Config, Operator | None]:
    """Read what the platform tells, and the operator's file if there is one."""
    if path is None:
        return load(), None
    from fordstair.configuration import (
        operator_file,  # the platform's program holds none of what only this needs
    )

    return load(), operator_file.operator_options(operator_file.load_operator_file(path, require_site=False))


def main() -> int:
    """Run; 2 where the configuration cannot be used."""
    parser = argparse.ArgumentParser(prog="python -m fordstair", description="Run one coordinator.")
    parser.add_argument("--operator", metavar="FILE", help="the operator's file: OData, identities, console")
    told = parser.parse_args()
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(PlainFormatter())
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    try:
        if told.operator is not None and not os.environ.get("RELAY_CONFIG"):
            from fordstair.cli.serve import run  # no platform tells anything: the file tells it all

            run(told.operator)
            return 0
        config, operator = told_by(told.operator)
        program = Program(config, operator, load)
    except ConfigError as error:
        for line in str(error).splitlines():
            print(f"fordstair: {line}", file=sys.stderr)
        return 2
    trio.run(program.run)
    return 0
