"""How the limits on sockets and memory are divided between clients, engines and the program itself."""

from __future__ import annotations

from dataclasses import dataclass

from fordstair.net.clients.client_limits import RPC_MAX_STATEMENT_BYTES

RESERVED_SOCKETS = 40  # the listeners, the channel, the console, standard streams and some to spare
CLIENTS_SOCKET_SHARE = 0.4  # of all sockets; the rest, without the reserved ones, is for engines
STATEMENTS_MEMORY_SHARE = 0.125  # of the memory, for all clients' half-sent statements together
SMALLEST_STATEMENT_LIMIT_BYTES = 16 * 1024
BYTES_PER_MB = 2**20


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """What each part may hold at a time."""

    engine_connections: int
    rpc_clients: int
    odata_clients: int  # 0 where there is no OData front
    max_statement_bytes: int  # of one RPC client


def divide_resources(sockets: int, memory_mb: float, *, with_odata: bool) -> ResourceLimits:
    """Divide the sockets and the memory in MB that the program may use; two fronts get half the clients each.

    All clients' half-sent statements together must not fill the memory.
    """
    clients = int(CLIENTS_SOCKET_SHARE * sockets)
    rpc_clients = clients // 2 if with_odata else clients
    statement_bytes = int(STATEMENTS_MEMORY_SHARE * memory_mb * BYTES_PER_MB / rpc_clients)
    return ResourceLimits(
        engine_connections=sockets - clients - RESERVED_SOCKETS,
        rpc_clients=rpc_clients,
        odata_clients=clients - rpc_clients,
        max_statement_bytes=max(
            SMALLEST_STATEMENT_LIMIT_BYTES, min(RPC_MAX_STATEMENT_BYTES, statement_bytes)
        ),
    )
