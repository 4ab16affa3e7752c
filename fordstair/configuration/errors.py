"""What the readers of the configuration raise."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


class ConfigError(Exception):
    """A field that cannot be used; the message names it, one line a problem."""


def problem_lines(error: ConfigError | BaseExceptionGroup[ConfigError]) -> list[str]:
    """Return a line for each problem; a program's tasks raise their errors in groups."""
    if isinstance(error, ConfigError):
        return str(error).splitlines()
    return [line for each in error.exceptions for line in problem_lines(each)]


class SettingsDocumentError(ValueError):
    """A setting that cannot be read; the message names its path and what is wrong."""


@dataclass(frozen=True, slots=True, order=True)
class ConfigurationProblem:
    """One problem of an operator's file: where, as ``class.0.worth``, and what is wrong there."""

    path: str
    reason: str

    def line(self, file: str) -> str:
        """Return it in the form ``file: path: reason``."""
        return f"{file}: {self.path}: {self.reason}" if self.path else f"{file}: {self.reason}"


class InvalidOperatorFileError(ConfigError):
    """An operator's file that cannot be used, with every problem that was found."""

    def __init__(self, problems: Iterable[ConfigurationProblem]) -> None:
        self.problems = tuple(problems)
        super().__init__("; ".join(f"{problem.path}: {problem.reason}" for problem in self.problems))
