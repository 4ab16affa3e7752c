"""Run an appliance from its operator's file alone."""

from __future__ import annotations

import trio

from fordstair.configuration import operator_file
from fordstair.configuration.platform import Config, ConfigError
from fordstair.logs import setup
from fordstair.program import Program


def run(path: str) -> None:
    """Run until SIGTERM or drain; raise ConfigError where the file, or what it names, cannot be used."""
    file = operator_file.load_checked(path, whole=True)
    log = setup.start(file.log.form, file.log.level, file.log.repeat_seconds, file.log.lines_most)
    try:
        program = Program(operator_file.config(file), operator_file.operator(file), lambda: _again(path))
        if program.console_server is not None:
            log.watchers.append(program.console_server.note)
        trio.run(program.run)
    except* ConfigError as group:
        faults = [str(error) for error in _leaves(group)]
        raise ConfigError("\n".join(f"{path}: {fault}" for fault in faults)) from None
    finally:
        log.close()


def _again(path: str) -> Config:
    return operator_file.config(operator_file.load_checked(path, whole=True))


def _leaves(group: BaseExceptionGroup[ConfigError]) -> list[ConfigError]:
    found = list[ConfigError]()
    for each in group.exceptions:
        found += _leaves(each) if isinstance(each, BaseExceptionGroup) else [each]
    return found
