"""Reading the configuration anew at SIGHUP: what a running program may change, and what waits."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from fordstair.configuration.platform import Config
from fordstair.runtime.event_log import EventLog

log = EventLog("fordstair")

FIXED_UNTIL_RESTART = ("name", "listen", "settings")


def load_or_log(load: Callable[[], Config]) -> Config | None:
    """Read and check the configuration; log why and return None where it cannot be used."""
    try:
        return load()
    except Exception as error:  # noqa: BLE001 - whatever is wrong with a file must not end the program
        why = " ".join(str(error).split())
        log.error("configuration.rejected", why=why)  # noqa: TRY400 - for the author of the file
        return None


def keep_fixed_fields(running: Config, loaded: Config) -> Config:
    """Return the loaded configuration with the fields that only a restart changes; log those that differ."""
    changed = [name for name in FIXED_UNTIL_RESTART if getattr(loaded, name) != getattr(running, name)]
    if changed:
        log.warning("configuration.restart_required", fields=", ".join(changed))
    return replace(loaded, **{name: getattr(running, name) for name in FIXED_UNTIL_RESTART})
