"""The console's Unix socket: creation and removal at its path, and the identity of its peers."""

from __future__ import annotations

import contextlib
import os
import pwd
import socket
import stat
import struct
from pathlib import Path

import trio

from fordstair.configuration.errors import ConfigError

# Timeout of the connect that checks whether another program serves an existing socket.
PROBE_TIMEOUT_S = 1.0
BACKLOG = 16
_OWNER_ONLY_UMASK = 0o177
# The process, user and group of SO_PEERCRED, see unix(7).
_CREDENTIALS = struct.Struct("3i")


async def listen(path: str) -> trio.SocketListener:
    """Listen at a path that only the program's own user may open; raise ConfigError.

    The path appears only once the socket listens. Before that, consoles would be refused, and another program
    that starts would treat the socket as stale.
    """
    _remove_stale_socket(path)
    temporary_path = Path(path).with_name(f".{os.getpid()}")
    sock = trio.socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    umask = os.umask(_OWNER_ONLY_UMASK)
    try:
        await sock.bind(str(temporary_path))
        sock.listen(BACKLOG)
        os.link(temporary_path, path)
    except OSError as error:
        sock.close()
        raise ConfigError(f"console.socket: {path}: {error.strerror or error}") from None
    finally:
        os.umask(umask)
        temporary_path.unlink(missing_ok=True)
    return trio.SocketListener(sock)


def inode(path: str) -> int:
    """Return the inode number of the file at a path; raise OSError."""
    return os.stat(path).st_ino


def remove(path: str, own_inode: int) -> None:
    """Remove the program's own socket, but not one that another program has since created at the path."""
    with contextlib.suppress(OSError):
        if inode(path) == own_inode:
            Path(path).unlink()


def peer_name(stream: trio.SocketStream) -> str:
    """Return the peer's user and process as the kernel reports them, "unknown" if it does not."""
    try:
        credentials = stream.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
        process, user, _ = _CREDENTIALS.unpack(credentials if isinstance(credentials, bytes) else b"")
    except (OSError, AttributeError, struct.error):
        return "unknown"
    try:
        name = pwd.getpwuid(user).pw_name
    except KeyError:
        name = f"uid {user}"
    return f"{name} (process {process})"


def _remove_stale_socket(path: str) -> None:
    """Remove a socket that an earlier run has left; raise ConfigError if the path cannot be used."""
    field = f"console.socket: {path}"
    try:
        status = os.lstat(path)
    except FileNotFoundError:
        if not Path(path).parent.is_dir():
            raise ConfigError(f"{field}: the folder does not exist") from None
        return
    except OSError as error:
        raise ConfigError(f"{field}: {error.strerror}") from None
    if not stat.S_ISSOCK(status.st_mode):
        raise ConfigError(f"{field}: exists and is no socket; it was not removed")
    if status.st_uid != os.geteuid():
        raise ConfigError(f"{field}: belongs to another user; it was not removed")
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        probe.settimeout(PROBE_TIMEOUT_S)
        try:
            probe.connect(path)
        except (ConnectionRefusedError, FileNotFoundError):
            with contextlib.suppress(FileNotFoundError):
                Path(path).unlink()
            return
        except OSError as error:
            raise ConfigError(f"{field}: {error.strerror or error}") from None
    raise ConfigError(f"{field}: another program listens there")
