"""Divides the limits on sockets and memory between clients, engines and the program itself."""

from __future__ import annotations

from dataclasses import dataclass

from fordstair.net.clients.client_limits import RPC_MAX_STATEMENT_BYTES

# Listeners, the discovery channel, the console and standard streams, with some to spare.
RESERVED_SOCKETS = 40
# Share of all sockets; engines get the rest without the reserved ones.
CLIENTS_SOCKET_SHARE = 0.4
# Share of the memory for the partly received statements of all clients together.
STATEMENTS_MEMORY_SHARE = 0.125
MIN_STATEMENT_LIMIT_BYTES = 16 * 1024
BYTES_PER_MB = 2**20


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """The limits of each component.

    Attributes:
        engine_connections: Connections to engines.
        rpc_clients: Client connections of the RPC front.
        odata_clients: Client connections of the OData front; 0 without that front.
        max_statement_bytes: Size of one statement at the RPC front.
    """

    engine_connections: int
    rpc_clients: int
    odata_clients: int
    max_statement_bytes: int


def divide_resources(sockets: int, memory_mb: float, *, with_odata: bool) -> ResourceLimits:
    """Divide the sockets and the memory in MB that the program may use; two fronts get half the clients each.

    The partly received statements of all clients together must not exhaust the memory.
    """
    clients = int(CLIENTS_SOCKET_SHARE * sockets)
    rpc_clients = clients // 2 if with_odata else clients
    statement_bytes = int(STATEMENTS_MEMORY_SHARE * memory_mb * BYTES_PER_MB / rpc_clients)
    return ResourceLimits(
        engine_connections=sockets - clients - RESERVED_SOCKETS,
        rpc_clients=rpc_clients,
        odata_clients=clients - rpc_clients,
        max_statement_bytes=max(MIN_STATEMENT_LIMIT_BYTES, min(RPC_MAX_STATEMENT_BYTES, statement_bytes)),
    )
