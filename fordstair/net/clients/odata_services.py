"""The interface of the OData front to its connections and their routers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import trio

from fordstair.configuration.operator_options import OperatorOptions
from fordstair.core.coordinator import Coordinator
from fordstair.net.clients.odata_results import StoredResults
from fordstair.net.clients.repeatable_requests import IdempotencyStore


class ODataServices(Protocol):
    """The parts of a front that its connections use."""

    coordinator: Coordinator
    operator: OperatorOptions
    results: StoredResults
    idempotency_store: IdempotencyStore

    @property
    def team_of(self) -> Callable[[trio.abc.Stream], str | None]:
        """A function that returns the team of a peer by its identity, or None for a peer without one."""
