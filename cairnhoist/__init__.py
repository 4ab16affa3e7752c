"""cairnhoist: the decisions of a front for query engines with limited memory."""

from cairnhoist.logic import Gateway

__all__ = ["Gateway"]
