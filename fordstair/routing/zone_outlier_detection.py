"""Outlier detection for zones: ejects an unreachable zone as a whole, before each engine is detected alone.

If several engines of a zone miss, none of its engines responds and other zones do respond, one common cause
is more likely than several. Such a suspicion may be wrong, and is withdrawn at the first response (Chandra
and Toueg 1996, section 2). A zone whose ejection time is over is readmitted for a trial, as in a circuit
breaker's half-open state (Nygard, Release It!, 2007, section 5.2); the ejection time doubles with each trial
that fails.

A miss is a connect that was never established, or an attempt in flight without a response for
ATTEMPT_SILENCE_MS. A response is an engine's answer about a running attempt, or its result. Errors, resets
and refused connects are neither. The module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

# Number of engines that must miss to eject their zone, or all but one in a smaller zone.
MISSING_ENGINES_TO_EJECT = 3
# A single engine's misses say nothing about its zone.
MIN_MISSING_ENGINES_TO_EJECT = 2
# Time without any response from a zone before its misses count together.
ZONE_SILENCE_MS = 300.0
# Time without a response after which an attempt is a miss; a healthy engine answers each poll within 250 ms.
ATTEMPT_SILENCE_MS = 700.0
BASE_EJECTION_MS = 1_000.0
MAX_EJECTION_MS = 4_000.0
# Factor on the ejection time after each failed trial.
EJECTION_GROWTH = 2.0
# Another zone must have responded within this time; otherwise this coordinator itself may be cut off.
OTHER_ZONE_RESPONSE_MS = 1_000.0
UNKNOWN_ZONE = -1


@dataclass(slots=True)
class ZoneState:
    """State of one zone; times are milliseconds of the caller's clock.

    Attributes:
        last_response_ms: Time of the last response from any of its engines.
        missing: Engines that have missed since the last response or readmission.
        ejected_until_ms: End of the ejection; 0 if the zone is not ejected.
        next_ejection_ms: Duration of the next ejection.
    """

    engines: set[str] = field(default_factory=set)
    last_response_ms: float = 0.0
    missing: set[str] = field(default_factory=set)
    ejected_until_ms: float = 0.0
    next_ejection_ms: float = BASE_EJECTION_MS

    @property
    def ejected(self) -> bool:
        """Return True if no new attempts are sent to the zone."""
        return self.ejected_until_ms > 0.0

    @property
    def missing_to_eject(self) -> int:
        """The number of missing engines at which the zone is ejected."""
        return max(MIN_MISSING_ENGINES_TO_EJECT, min(MISSING_ENGINES_TO_EJECT, len(self.engines) - 1))


class ZoneOutlierDetector:
    """Tracks the zones of the listed engines, by zone number."""

    def __init__(self) -> None:
        self.zones: dict[int, ZoneState] = {}
        self._zone_of: dict[str, int] = {}

    def update_engines(self, now_ms: float, zones: Mapping[str, int], restarted: Iterable[str] = ()) -> None:
        """Update the zone of each listed engine, and record which of them have a new process.

        A process that has just started counts as a response of its zone, since discovery has learned of it
        from there.
        """
        self._zone_of = dict(zones)
        for engine in restarted:
            self.record_response(now_ms, engine)
        for number in set(zones.values()):
            self.zones.setdefault(number, ZoneState(last_response_ms=now_ms))
        for number, zone in list(self.zones.items()):
            zone.engines = {engine for engine, other in zones.items() if other == number}
            zone.missing &= zone.engines
            if not zone.engines:
                del self.zones[number]

    def record_response(self, now_ms: float, engine: str) -> bool:
        """Record a response of an engine; return whether it readmits its zone."""
        if (zone := self._zone(engine)) is None:
            return False
        was_ejected = zone.ejected
        zone.last_response_ms = now_ms
        zone.ejected_until_ms = 0.0
        zone.next_ejection_ms = BASE_EJECTION_MS
        zone.missing.clear()
        return was_ejected

    def record_miss(self, now_ms: float, engine: str) -> bool:
        """Record a miss of an engine; return whether it ejects its zone."""
        if (zone := self._zone(engine)) is None:
            return False
        zone.missing.add(engine)
        if not self._is_outlier(zone, now_ms):
            return False
        zone.ejected_until_ms = now_ms + zone.next_ejection_ms
        zone.next_ejection_ms = min(MAX_EJECTION_MS, EJECTION_GROWTH * zone.next_ejection_ms)
        return True

    def readmit_expired(self, now_ms: float) -> list[int]:
        """Readmit and return the zones whose ejection is over; enough new misses eject them again."""
        expired = [
            number for number, zone in self.zones.items() if zone.ejected and zone.ejected_until_ms <= now_ms
        ]
        for number in expired:
            self.zones[number].ejected_until_ms = 0.0
            self.zones[number].missing.clear()
        return expired

    def is_ejected(self, engine: str) -> bool:
        """Return whether an engine's zone is ejected."""
        zone = self._zone(engine)
        return zone is not None and zone.ejected

    def any_ejected(self) -> bool:
        """Return whether any zone is ejected."""
        return any(zone.ejected for zone in self.zones.values())

    def _is_outlier(self, zone: ZoneState, now_ms: float) -> bool:
        """Return whether a zone is silent, with enough engines missing, while another zone responds."""
        if zone.ejected or len(zone.missing) < zone.missing_to_eject:
            return False
        if now_ms - zone.last_response_ms < ZONE_SILENCE_MS:
            return False
        return any(
            now_ms - other.last_response_ms <= OTHER_ZONE_RESPONSE_MS and not other.ejected
            for other in self.zones.values()
            if other is not zone
        )

    def _zone(self, engine: str) -> ZoneState | None:
        return self.zones.get(self._zone_of.get(engine, UNKNOWN_ZONE))
