"""Errors that the readers of the configuration raise."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


class ConfigError(Exception):
    """A configuration that cannot be used; the message has one line per problem, which names the field."""


def problem_lines(error: ConfigError | BaseExceptionGroup[ConfigError]) -> list[str]:
    """Return one line per problem; errors from the tasks of a program come in groups."""
    if isinstance(error, ConfigError):
        return str(error).splitlines()
    return [line for each in error.exceptions for line in problem_lines(each)]


class SettingsDocumentError(ValueError):
    """A setting that cannot be read; the message names its path and the problem."""


@dataclass(frozen=True, slots=True, order=True)
class ConfigurationProblem:
    """One problem of an operator's file.

    Attributes:
        path: Path of the field, such as ``class.0.worth``; empty if the problem is with the file itself.
        reason: Text that completes the path to a message.
    """

    path: str
    reason: str

    def line(self, file: str) -> str:
        """Return the problem as ``file: path: reason``, or ``file: reason`` if the path is empty."""
        return f"{file}: {self.path}: {self.reason}" if self.path else f"{file}: {self.reason}"


class InvalidOperatorFileError(ConfigError):
    """An operator's file that cannot be used.

    Attributes:
        problems: Every problem that was found.
    """

    def __init__(self, problems: Iterable[ConfigurationProblem]) -> None:
        self.problems = tuple(problems)
        super().__init__("; ".join(f"{problem.path}: {problem.reason}" for problem in self.problems))
