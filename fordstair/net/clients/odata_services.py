"""What the OData front shares with its connections and their routers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import trio

from fordstair.configuration.operator_options import Operator
from fordstair.core.coordinator import Coordinator
from fordstair.net.clients.odata_results import StoredResults
from fordstair.net.clients.repeatable_requests import IdempotencyStore


class ODataServices(Protocol):
    """One front, as its connections see it."""

    coordinator: Coordinator
    operator: Operator
    results: StoredResults
    idempotency_store: IdempotencyStore

    @property
    def team_of(self) -> Callable[[trio.abc.Stream], str | None]:
        """Returns the team of a peer by its identity, None for one without."""
