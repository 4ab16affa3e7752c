"""Command line of one coordinator: started by the platform, or with an operator's file."""

from __future__ import annotations

import argparse
import logging
import os
import sys
from typing import TYPE_CHECKING

from fordstair.configuration.errors import ConfigError, problem_lines
from fordstair.configuration.platform import Config, load_config
from fordstair.program import Program
from fordstair.program.event_loop import run_program
from fordstair.runtime.event_log import PlainFormatter

if TYPE_CHECKING:
    from fordstair.configuration.operator_options import OperatorOptions

EXIT_OK = 0
EXIT_BAD_CONFIGURATION = 2


def read_configuration(path: str | None) -> tuple[Config, OperatorOptions | None]:
    """Read the platform's configuration and, if given, the operator's file; raise ConfigError."""
    if path is None:
        return load_config(), None
    from fordstair.configuration import operator_file  # saves memory on the platform

    return load_config(), operator_file.operator_options(
        operator_file.load_operator_file(path, require_site=False)
    )


def main() -> int:
    """Run until the program has drained; return its exit code."""
    parser = argparse.ArgumentParser(prog="python -m fordstair", description="Run one coordinator.")
    parser.add_argument("--operator", metavar="FILE", help="the operator's file: OData, identities, console")
    arguments = parser.parse_args()
    _log_to_standard_error()
    exit_code = EXIT_OK
    try:
        _run(arguments.operator)
    except* ConfigError as group:
        for line in problem_lines(group):
            print(f"fordstair: {line}", file=sys.stderr)
        exit_code = EXIT_BAD_CONFIGURATION
    return exit_code


def _run(operator_path: str | None) -> None:
    """Run until the program has drained; raise ConfigError, or a group that contains one."""
    if operator_path is not None and not os.environ.get("RELAY_CONFIG"):
        from fordstair.cli.serve import run  # without RELAY_CONFIG the file configures everything

        run(operator_path)
        return
    config, operator = read_configuration(operator_path)
    run_program(Program(config, operator, load_config))


def _log_to_standard_error() -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(PlainFormatter())
    logging.basicConfig(level=logging.INFO, handlers=[handler])
