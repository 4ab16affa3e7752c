"""Maps errors of sockets and h11 to those of the engine transport, where they are first caught."""

from __future__ import annotations

import h11
import trio

from fordstair.net.engines.errors import (
    ConnectError,
    ConnectionLostError,
    ConnectRefusedError,
    ConnectTimeoutError,
    ExchangeError,
    ProtocolError,
)
from fordstair.net.system_errors import ErrorScope, error_scope, is_connection_refused

LOST_CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)
PROTOCOL_ERRORS = (h11.ProtocolError, ValueError)
EXCHANGE_ERRORS = (*LOST_CONNECTION_ERRORS, *PROTOCOL_ERRORS)


def map_exchange_error(error: Exception) -> ExchangeError:
    """Return the error to raise for one of ``EXCHANGE_ERRORS``."""
    text = str(error) or type(error).__name__
    return ConnectionLostError(text) if isinstance(error, LOST_CONNECTION_ERRORS) else ProtocolError(text)


def map_connect_error(address: str, error: Exception) -> ConnectError:
    """Return the error to raise for a connect or TLS handshake that failed for good."""
    text = f"{address}: {error}"
    if isinstance(error, trio.BrokenResourceError) or not isinstance(error, OSError):
        return ConnectError(text)
    if is_connection_refused(error):
        return ConnectRefusedError(text)
    if error_scope(error) is ErrorScope.TRANSIENT:
        return ConnectTimeoutError(text)
    return ConnectError(text)
