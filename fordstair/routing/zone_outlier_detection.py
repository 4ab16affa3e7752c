"""Ejects a whole zone that is out of reach, before each of its engines was found out alone; pure.

Several engines of one zone that miss one after another, with no response from any other of that zone while
other zones respond, have more likely one cause than several. A suspicion may be wrong, and is taken back at
the first response (Chandra and Toueg 1996, section 2); a zone is readmitted for a trial as in a circuit
breaker's half-open state (Nygard, Release It!, 2007, section 5.2) with an ejection time that doubles.

A miss is a connect that never came up, or an attempt in flight without a response for ATTEMPT_SILENCE_MS. A
response is what an engine answers about an attempt that runs, and its result. Errors, resets and refused
connects are neither.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

MISSING_ENGINES_TO_EJECT = 3  # engines of a zone that must miss, or all but one where it has fewer
MIN_MISSING_ENGINES_TO_EJECT = 2  # one engine alone tells nothing of its zone
ZONE_SILENCE_MS = 300.0  # without any response from the zone, before its misses count together
ATTEMPT_SILENCE_MS = 700.0  # a sound engine answers each poll within 250 ms
BASE_EJECTION_MS = 1_000.0
MAX_EJECTION_MS = 4_000.0
EJECTION_GROWTH = 2.0  # each time that a trial was in vain
OTHER_ZONE_RESPONSE_MS = (
    1_000.0  # another zone must have responded within: else this coordinator is cut off itself
)
UNKNOWN_ZONE = -1


@dataclass(slots=True)
class ZoneState:
    """What is known of one zone; times are milliseconds of the caller's clock."""

    engines: set[str] = field(default_factory=set)
    last_response_ms: float = 0.0  # of any of its engines
    missing: set[str] = field(default_factory=set)  # engines that have missed since then
    ejected_until_ms: float = 0.0  # 0: it is not ejected
    next_ejection_ms: float = BASE_EJECTION_MS

    @property
    def ejected(self) -> bool:
        """Whether nothing new goes there."""
        return self.ejected_until_ms > 0.0

    @property
    def missing_to_eject(self) -> int:
        """How many of its engines must be missing before it is ejected."""
        return max(MIN_MISSING_ENGINES_TO_EJECT, min(MISSING_ENGINES_TO_EJECT, len(self.engines) - 1))


class ZoneOutlierDetector:
    """All zones that engines are listed in, by number."""

    def __init__(self) -> None:
        self.zones: dict[int, ZoneState] = {}
        self._zone_of: dict[str, int] = {}

    def update_engines(self, now_ms: float, zones: Mapping[str, int], restarted: Iterable[str] = ()) -> None:
        """Take in the zone of each listed engine, and which of them have a new process.

        A process that has just started is a response of its zone: somebody there has told discovery of it.
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
        """Note a response of an engine; return whether its zone is readmitted by it."""
        if (zone := self._zone(engine)) is None:
            return False
        was_ejected = zone.ejected
        zone.last_response_ms = now_ms
        zone.ejected_until_ms = 0.0
        zone.next_ejection_ms = BASE_EJECTION_MS
        zone.missing.clear()
        return was_ejected

    def record_miss(self, now_ms: float, engine: str) -> bool:
        """Note a miss of an engine; return whether its zone is ejected from now on."""
        if (zone := self._zone(engine)) is None:
            return False
        zone.missing.add(engine)
        if not self._is_outlier(zone, now_ms):
            return False
        zone.ejected_until_ms = now_ms + zone.next_ejection_ms
        zone.next_ejection_ms = min(MAX_EJECTION_MS, EJECTION_GROWTH * zone.next_ejection_ms)
        return True

    def readmit_expired(self, now_ms: float) -> list[int]:
        """Return the zones whose ejection is over: they take requests until as many have missed again."""
        expired = [
            number for number, zone in self.zones.items() if zone.ejected and zone.ejected_until_ms <= now_ms
        ]
        for number in expired:
            self.zones[number].ejected_until_ms = 0.0
            self.zones[number].missing.clear()
        return expired

    def is_ejected(self, engine: str) -> bool:
        """Whether an engine's zone is ejected."""
        zone = self._zone(engine)
        return zone is not None and zone.ejected

    def any_ejected(self) -> bool:
        """Whether any zone is ejected."""
        return any(zone.ejected for zone in self.zones.values())

    def _is_outlier(self, zone: ZoneState, now_ms: float) -> bool:
        """Whether a zone is silent, with enough engines missing, while another zone responds."""
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
