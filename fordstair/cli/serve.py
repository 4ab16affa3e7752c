"""``fordstair serve``: runs an appliance that is configured by its operator's file alone."""

from __future__ import annotations

from fordstair.configuration import operator_file
from fordstair.configuration.errors import ConfigError, problem_lines
from fordstair.configuration.platform import Config
from fordstair.logs.handler import start_logging
from fordstair.program import Program
from fordstair.program.event_loop import run_program


def run(path: str) -> None:
    """Run until SIGTERM or drain.

    Raises:
        ConfigError: The file, or an address, certificate or path that it names, cannot be used.
    """
    file = operator_file.load_operator_file(path, require_site=True)
    handler = start_logging(
        file.log.format, file.log.level, file.log.repeat_window_s, file.log.max_waiting_lines
    )
    try:
        program = Program(
            operator_file.coordinator_config(file),
            operator_file.operator_options(file),
            lambda: _read_config(path),
        )
        if program.console_server is not None:
            handler.listeners.append(program.console_server.add_log_line)
        run_program(program)
    except* ConfigError as group:
        raise ConfigError("\n".join(f"{path}: {line}" for line in problem_lines(group))) from None
    finally:
        handler.close()


def _read_config(path: str) -> Config:
    return operator_file.coordinator_config(operator_file.load_operator_file(path, require_site=True))
