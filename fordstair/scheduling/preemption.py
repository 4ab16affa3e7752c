"""Pre-emption by priority alone: what runs beyond a budget is lowered while others wait within theirs.

Nothing is ever cancelled or started again here. A load may be slowed, unless somebody of another team waits
for the group of tables that it holds: then slowing it would hold them back as well (priority inversion), so
it keeps its priority, and gets it back at once where it was lowered before.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

HOLD_MS = 1_500.0  # a priority that was changed stays for so long, whatever happens
CHANGES_PER_S = 8.0
ENDS_SOON_MS = 400.0  # what is about to end is left alone
LOWERED = 0  # the priority of what is lowered


@dataclass(frozen=True, slots=True)
class Runs:
    """One attempt that runs."""

    id: int
    team: int
    group: float
    is_load: bool
    left_ms: float  # until it is expected to end
    knows_priority: bool = True  # some protocols of engines have no word for it


@dataclass(slots=True)
class Preemption:
    """Who is lowered, since when, and how many changes may still be made."""

    lowered: dict[int, float] = field(default_factory=dict)  # by id: since when
    raised: dict[int, float] = field(default_factory=dict)  # lately, by id
    tokens: float = CHANGES_PER_S
    at_ms: float = 0.0
    unheard: int = 0  # that would have been lowered, and whose engine knows no priority

    def decide(
        self,
        now_ms: float,
        running: Iterable[Runs],
        within: set[int],
        waiting: set[int],
        groups: dict[float, set[int]],
    ) -> list[tuple[int, bool]]:
        """Return the changes to make: an id, and whether it is lowered (else raised).

        ``within``: teams within their budget. ``waiting``: teams that have something waiting.
        ``groups``: the teams that wait for each group of tables.
        """
        self.tokens = min(CHANGES_PER_S, self.tokens + max(0.0, now_ms - self.at_ms) * CHANGES_PER_S / 1e3)
        self.at_ms = now_ms
        listed = {run.id: run for run in running}
        for table in (self.lowered, self.raised):
            for id in [id for id in table if id not in listed]:
                del table[id]
        kept_waiting = waiting & within
        changes = list[tuple[int, bool]]()
        for run in listed.values():
            blocks = run.is_load and bool(groups.get(run.group, set()) - {run.team})
            wanted = run.team not in within and bool(kept_waiting - {run.team}) and not blocks
            since = self.lowered.get(run.id)
            if wanted and since is None:
                if not run.knows_priority:
                    self.unheard += 1
                elif (
                    run.left_ms > ENDS_SOON_MS
                    and self.tokens >= 1.0
                    and now_ms - self.raised.get(run.id, -HOLD_MS) >= HOLD_MS
                ):
                    self.tokens -= 1.0
                    self.lowered[run.id] = now_ms
                    changes.append((run.id, True))
            elif (
                not wanted
                and since is not None
                and (
                    blocks
                    or (now_ms - since >= HOLD_MS and self.tokens >= 1.0 and run.left_ms > ENDS_SOON_MS)
                )
            ):
                self.tokens -= 0.0 if blocks else 1.0  # an inversion is never waited out
                del self.lowered[run.id]
                self.raised[run.id] = now_ms
                changes.append((run.id, False))
        return changes
