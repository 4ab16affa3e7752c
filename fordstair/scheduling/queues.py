"""Waiting requests by team and class, fair by start tags, with removal from the middle in O(log n).

Start-time fair queueing (Goyal, Vin, Cheng 1996) at two levels: between teams with their shares as
weights, and between the classes of a team with equal ones. An item's cost is its predicted
thread-milliseconds. Within one team and class the order is that of arrival.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedDict

LEAST_WEIGHT = 1e-3  # of a team without a share: it is served from what others leave


@dataclass(slots=True, eq=False)
class Item:
    """One waiting request."""

    id: int
    team: int
    class_index: int
    cost: float  # predicted thread-milliseconds
    at_ms: float  # when it came
    last_start_ms: float  # later than that it cannot be answered in time
    threads: int = 1  # that it holds at an engine
    number: int = 0  # in the order of arrival, over all


@dataclass(slots=True, eq=False)
class Flow:
    """What shares one weight: a team, or a class of a team."""

    weight: float = 1.0
    tag: float = 0.0  # virtual time at which its next item starts
    cost: float = 0.0  # of all that waits in it
    items: SortedDict[int, Item] = field(default_factory=SortedDict)  # by number; of classes only
    classes: dict[int, Flow] = field(default_factory=dict)  # of teams only
    virtual: float = 0.0  # of a team: the start tag of the class served last

    def __len__(self) -> int:
        return len(self.items) + sum(map(len, self.classes.values()))


class Queues:
    """All waiting requests."""

    def __init__(self, weights: dict[int, float]) -> None:
        self.teams = {team: Flow(max(LEAST_WEIGHT, weight)) for team, weight in weights.items()}
        self.virtual = 0.0
        self._items: dict[int, Item] = {}
        self._by_age: SortedDict[int, Item] = SortedDict()
        self._by_end: SortedDict[tuple[float, int], Item] = SortedDict()
        self._last = 0

    def __len__(self) -> int:
        return len(self._items)

    def set_weights(self, weights: dict[int, float]) -> None:
        """Take new weights over; what waits keeps its place."""
        for team, weight in weights.items():
            self.teams.setdefault(team, Flow()).weight = max(LEAST_WEIGHT, weight)

    def push(self, item: Item) -> None:
        """Add an item behind those of its team and class."""
        self._last += 1
        item.number = self._last
        team = self.teams[item.team]
        if not len(team):  # what was idle starts now, and has saved nothing up
            team.tag = max(team.tag, self.virtual)
        class_flow = team.classes.setdefault(item.class_index, Flow())
        if not class_flow.items:
            class_flow.tag = max(class_flow.tag, team.virtual)
        class_flow.items[item.number] = item
        class_flow.cost += item.cost
        team.cost += item.cost
        self._items[item.id] = item
        self._by_age[item.number] = item
        self._by_end[item.last_start_ms, item.number] = item

    def pop(self, id: int) -> Item | None:
        """Take an item out, wherever it stands; None where it does not wait."""
        if (item := self._items.pop(id, None)) is None:
            return None
        del self._by_age[item.number]
        del self._by_end[item.last_start_ms, item.number]
        team = self.teams[item.team]
        class_flow = team.classes[item.class_index]
        del class_flow.items[item.number]
        for flow in (class_flow, team):
            flow.cost = max(0.0, flow.cost - item.cost) if len(flow) else 0.0
        return item

    def serve(self, item: Item) -> None:
        """Take an item out because its turn has come, and move its flows' tags on."""
        self.pop(item.id)
        team = self.teams[item.team]
        class_flow = team.classes[item.class_index]
        start = max(team.tag, self.virtual)
        self.virtual = start
        team.tag = start + item.cost / team.weight
        start = max(class_flow.tag, team.virtual)
        team.virtual = start
        class_flow.tag = start + item.cost

    def last_of(self, teams: Iterable[int]) -> Item | None:
        """The item that came last, of the one of these teams that has most waiting."""
        waiting = [team for team in teams if len(self.teams[team])]
        if not waiting:
            return None
        team = max(waiting, key=lambda team: (self.teams[team].cost, team))
        return max(
            (flow.items.peekitem(-1)[1] for flow in self.teams[team].classes.values() if flow.items),
            key=lambda item: item.number,
        )

    def oldest(self) -> Item | None:
        """The item that came first."""
        return self._by_age.peekitem(0)[1] if self._by_age else None

    def heads(self, team: int) -> list[Item]:
        """The first item of each class of a team that has any, the class whose turn it is first."""
        flows = [flow for flow in self.teams[team].classes.values() if flow.items]
        flows.sort(key=lambda flow: (flow.tag, flow.items.peekitem(0)[0]))
        return [flow.items.peekitem(0)[1] for flow in flows]

    def waiting(self) -> list[int]:
        """The teams that have something waiting, the one whose turn it is first."""
        teams = [team for team, flow in self.teams.items() if flow.cost > 0.0 or len(flow)]
        return sorted(teams, key=lambda team: (self.teams[team].tag, team))

    def overdue(self, now_ms: float) -> Iterator[Item]:
        """Take out and yield those that can no longer be answered in time."""
        while self._by_end and self._by_end.peekitem(0)[0][0] <= now_ms:
            item = self._by_end.peekitem(0)[1]
            self.pop(item.id)
            yield item

    def next_overdue(self) -> float:
        """When the next one can no longer be answered in time; inf where none waits."""
        return float(self._by_end.peekitem(0)[0][0]) if self._by_end else float("inf")
