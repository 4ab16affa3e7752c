"""The coordinator's program: its composition root, drain, limits, reload, and what it keeps on disk."""

from fordstair.program.coordinator_program import Program

__all__ = ["Program"]
