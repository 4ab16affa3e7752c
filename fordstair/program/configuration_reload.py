"""Reloading the configuration at SIGHUP; some fields keep their values until a restart."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from fordstair.configuration.platform import Config
from fordstair.runtime.event_log import EventLog

log = EventLog("fordstair")

FIXED_UNTIL_RESTART = ("name", "listen", "settings")


def try_load_config(load_config: Callable[[], Config]) -> Config | None:
    """Read and validate the configuration; if it cannot be used, log the reason and return None."""
    try:
        return load_config()
    except Exception as error:  # noqa: BLE001 - no fault in a file may end the program
        why = " ".join(str(error).split())
        log.error("configuration.rejected", why=why)  # noqa: TRY400 - the file's author needs no traceback
        return None


def keep_fixed_fields(running: Config, loaded: Config) -> Config:
    """Return the loaded configuration with the running FIXED_UNTIL_RESTART fields; log those that differ."""
    changed = [name for name in FIXED_UNTIL_RESTART if getattr(loaded, name) != getattr(running, name)]
    if changed:
        log.warning("configuration.restart_required", fields=", ".join(changed))
    return replace(loaded, **{name: getattr(running, name) for name in FIXED_UNTIL_RESTART})
