"""Whether a whole zone is out of reach, told by its engines together before each was found out alone; pure.

Several engines of one zone that miss one after another, with no word from any other of that zone while other
zones are heard, have more likely one cause than several. A suspicion may be wrong, and is taken back at the
first sign of life (Chandra and Toueg 1996, section 2); what lets a zone be tried again is a circuit breaker's
half-open state (Nygard, Release It!, 2007, section 5.2) with a hold that doubles.

A miss is a connect that never came up, or an attempt that is out and has heard nothing for SILENCE_MS. A word
is what an engine says of an attempt that runs, and its result. Errors, resets, refused connects are neither.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

MISSES = 3  # engines of a zone that must miss, or all but one where it has fewer
QUIET_MS = 300.0  # without any word from the zone, before its misses count together
SILENCE_MS = 700.0  # an engine answers each question within 250 ms: that long without one is a miss
HOLD_MS, HOLD_MOST_MS = 1_000.0, 4_000.0  # until a zone is tried again; doubles each time that is in vain
ELSEWHERE_MS = 1_000.0  # another zone must have been heard within: else this coordinator is cut off itself


@dataclass(slots=True)
class ZoneState:
    """What is known of one zone."""

    engines: set[str] = field(default_factory=set)
    heard_ms: float = 0.0  # last word of any of its engines
    missed: set[str] = field(default_factory=set)  # since then
    avoided_until: float = 0.0  # 0: it is not avoided
    hold_ms: float = HOLD_MS

    @property
    def needed(self) -> int:
        """How many of its engines must have missed; one alone tells nothing of its zone."""
        return max(2, min(MISSES, len(self.engines) - 1))


class ZoneFailures:
    """All zones that engines are listed in, by number."""

    def __init__(self) -> None:
        self.zones: dict[int, ZoneState] = {}
        self._of: dict[str, int] = {}

    def listed(self, now: float, engines: Mapping[str, int], started: Iterable[str] = ()) -> None:
        """Take in which engines there are, by zone, and which of them have a new process.

        A process that has just started is a word of its zone: somebody there has told the register of it.
        """
        self._of = dict(engines)
        for engine in started:
            self.heard(now, engine)
        for number in set(engines.values()):
            self.zones.setdefault(number, ZoneState(heard_ms=now))
        for number, zone in list(self.zones.items()):
            zone.engines = {engine for engine, of in engines.items() if of == number}
            zone.missed &= zone.engines
            if not zone.engines:
                del self.zones[number]

    def heard(self, now: float, engine: str) -> bool:
        """Note a word of an engine; whether its zone was avoided until now."""
        if (zone := self._zone(engine)) is None:
            return False
        was_avoided = zone.avoided_until > 0.0
        zone.heard_ms, zone.avoided_until, zone.hold_ms = now, 0.0, HOLD_MS
        zone.missed.clear()
        return was_avoided

    def missed(self, now: float, engine: str) -> bool:
        """Note a miss; whether its zone is to be avoided from now on."""
        if (zone := self._zone(engine)) is None:
            return False
        zone.missed.add(engine)
        elsewhere = any(
            now - other.heard_ms <= ELSEWHERE_MS and not other.avoided_until
            for other in self.zones.values()
            if other is not zone
        )
        if (
            zone.avoided_until
            or len(zone.missed) < zone.needed
            or now - zone.heard_ms < QUIET_MS
            or not elsewhere
        ):
            return False
        zone.avoided_until = now + zone.hold_ms
        zone.hold_ms = min(HOLD_MOST_MS, 2.0 * zone.hold_ms)
        return True

    def tried_again(self, now: float) -> list[int]:
        """Return the zones whose hold is over: they take requests until as many have missed again."""
        over = [number for number, zone in self.zones.items() if 0.0 < zone.avoided_until <= now]
        for number in over:
            self.zones[number].avoided_until = 0.0
            self.zones[number].missed.clear()
        return over

    def avoids(self, engine: str) -> bool:
        """Whether an engine's zone is avoided."""
        zone = self._zone(engine)
        return zone is not None and zone.avoided_until > 0.0

    def _zone(self, engine: str) -> ZoneState | None:
        return self.zones.get(self._of.get(engine, -1))
