"""The coordinator process: composition root, graceful shutdown, resource limits, reload and persistence."""

from fordstair.program.coordinator_program import Program

__all__ = ["Program"]
