"""The console's Unix socket: taking its path, and who is at the other end."""

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

PROBE_TIMEOUT_S = 1.0  # for a connect to a socket that another program may serve
BACKLOG = 16
_OWNER_ONLY_UMASK = 0o177
_CREDENTIALS = struct.Struct("3i")  # process, user and group, see unix(7)


async def listen(path: str) -> trio.SocketListener:
    """Listen at a path that only the program's own user may open; raise ConfigError.

    The path appears once the socket listens: before, consoles would be refused, and another program that
    starts would take the socket for an abandoned one.
    """
    _remove_abandoned(path)
    unlisted = Path(path).with_name(f".{os.getpid()}")
    sock = trio.socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    umask = os.umask(_OWNER_ONLY_UMASK)
    try:
        await sock.bind(str(unlisted))
        sock.listen(BACKLOG)
        os.link(unlisted, path)
    except OSError as error:
        sock.close()
        raise ConfigError(f"console.socket: {path}: {error.strerror or error}") from None
    finally:
        os.umask(umask)
        unlisted.unlink(missing_ok=True)
    return trio.SocketListener(sock)


def inode(path: str) -> int:
    """Return the number of the file at a path; raise OSError."""
    return os.stat(path).st_ino


def remove(path: str, own_inode: int) -> None:
    """Remove the program's own socket; another program may have taken the path since."""
    with contextlib.suppress(OSError):
        if inode(path) == own_inode:
            Path(path).unlink()


def peer_name(stream: trio.SocketStream) -> str:
    """Return user and process at the other end, as the kernel tells them."""
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


def _remove_abandoned(path: str) -> None:
    """Remove a socket that an earlier run has left; raise ConfigError where the path is not ours to take."""
    field = f"console.socket: {path}"
    try:
        found = os.lstat(path)
    except FileNotFoundError:
        if not Path(path).parent.is_dir():
            raise ConfigError(f"{field}: the folder does not exist") from None
        return
    except OSError as error:
        raise ConfigError(f"{field}: {error.strerror}") from None
    if not stat.S_ISSOCK(found.st_mode):
        raise ConfigError(f"{field}: exists and is no socket; it is left alone")
    if found.st_uid != os.geteuid():
        raise ConfigError(f"{field}: belongs to another user; it is left alone")
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
