"""Waiting requests by team and class, fair by start tags, with removal from the middle in O(log n).

Start-time fair queueing (Goyal, Vin, Cheng 1996) at two levels: between teams with their quotas as weights,
and between the classes of a team with equal ones. A request's cost is its predicted thread-milliseconds.
Within one team and class the order is that of arrival.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedDict

MIN_WEIGHT = 1e-3  # of a team without a quota: it is served from what others leave


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """One waiting request."""

    id: int
    team: int
    class_index: int
    cost: float  # predicted thread-milliseconds
    arrived_ms: float
    latest_start_ms: float  # started later, it cannot be answered in time
    threads: int = 1  # that it takes at an engine
    sequence: int = 0  # in the order of arrival, over all


@dataclass(slots=True, eq=False)
class Flow:
    """What shares one weight: a team, or a class of a team."""

    weight: float = 1.0
    start_tag: float = 0.0  # virtual time at which its next request starts
    cost: float = 0.0  # of all that waits in it
    requests: SortedDict[int, QueuedRequest] = field(
        default_factory=SortedDict
    )  # by sequence; of classes only
    classes: dict[int, Flow] = field(default_factory=dict)  # of teams only
    virtual_time: float = 0.0  # of a team: the start tag of the class served last

    def __len__(self) -> int:
        return len(self.requests) + sum(map(len, self.classes.values()))


class FairQueues:
    """All waiting requests."""

    def __init__(self, weights: dict[int, float]) -> None:
        self.teams = {team: Flow(max(MIN_WEIGHT, weight)) for team, weight in weights.items()}
        self.virtual_time = 0.0
        self._requests: dict[int, QueuedRequest] = {}
        self._by_arrival: SortedDict[int, QueuedRequest] = SortedDict()
        self._by_latest_start: SortedDict[tuple[float, int], QueuedRequest] = SortedDict()
        self._last_sequence = 0

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def waiting_cost(self) -> float:
        """The predicted thread-milliseconds of all that waits."""
        return sum(flow.cost for flow in self.teams.values())

    def set_weights(self, weights: dict[int, float]) -> None:
        """Apply new weights; what waits keeps its place."""
        for team, weight in weights.items():
            self.teams.setdefault(team, Flow()).weight = max(MIN_WEIGHT, weight)

    def push(self, request: QueuedRequest) -> None:
        """Add a request behind those of its team and class."""
        self._last_sequence += 1
        request.sequence = self._last_sequence
        team = self.teams[request.team]
        if not len(team):  # what was idle starts now, and has saved nothing up
            team.start_tag = max(team.start_tag, self.virtual_time)
        class_flow = team.classes.setdefault(request.class_index, Flow())
        if not class_flow.requests:
            class_flow.start_tag = max(class_flow.start_tag, team.virtual_time)
        class_flow.requests[request.sequence] = request
        class_flow.cost += request.cost
        team.cost += request.cost
        self._requests[request.id] = request
        self._by_arrival[request.sequence] = request
        self._by_latest_start[request.latest_start_ms, request.sequence] = request

    def pop(self, id: int) -> QueuedRequest | None:
        """Take a request out, wherever it stands; return None where it does not wait."""
        if (request := self._requests.pop(id, None)) is None:
            return None
        del self._by_arrival[request.sequence]
        del self._by_latest_start[request.latest_start_ms, request.sequence]
        team = self.teams[request.team]
        class_flow = team.classes[request.class_index]
        del class_flow.requests[request.sequence]
        for flow in (class_flow, team):
            flow.cost = max(0.0, flow.cost - request.cost) if len(flow) else 0.0
        return request

    def serve(self, request: QueuedRequest) -> None:
        """Take a request out because its turn has come, and move its flows' tags on."""
        self.pop(request.id)
        team = self.teams[request.team]
        class_flow = team.classes[request.class_index]
        start = max(team.start_tag, self.virtual_time)
        self.virtual_time = start
        team.start_tag = start + request.cost / team.weight
        start = max(class_flow.start_tag, team.virtual_time)
        team.virtual_time = start
        class_flow.start_tag = start + request.cost

    def newest_of(self, teams: Iterable[int]) -> QueuedRequest | None:
        """Return the request that came last, of the one of these teams that has most waiting."""
        waiting = [team for team in teams if len(self.teams[team])]
        if not waiting:
            return None
        team = max(waiting, key=lambda team: (self.teams[team].cost, team))
        return max(
            (flow.requests.peekitem(-1)[1] for flow in self.teams[team].classes.values() if flow.requests),
            key=lambda request: request.sequence,
        )

    def oldest(self) -> QueuedRequest | None:
        """Return the request that came first."""
        return self._by_arrival.peekitem(0)[1] if self._by_arrival else None

    def heads(self, team: int) -> list[QueuedRequest]:
        """Return the first request of each class of a team that has any, by the classes' start tags."""
        flows = [flow for flow in self.teams[team].classes.values() if flow.requests]
        flows.sort(key=lambda flow: (flow.start_tag, flow.requests.peekitem(0)[0]))
        return [flow.requests.peekitem(0)[1] for flow in flows]

    def waiting_teams(self) -> list[int]:
        """Return the teams that have something waiting, by their start tags."""
        teams = [team for team, flow in self.teams.items() if flow.cost > 0.0 or len(flow)]
        return sorted(teams, key=lambda team: (self.teams[team].start_tag, team))

    def pop_overdue(self, now_ms: float) -> Iterator[QueuedRequest]:
        """Take out and yield those that can no longer be answered in time."""
        while self._by_latest_start and self._by_latest_start.peekitem(0)[0][0] <= now_ms:
            request = self._by_latest_start.peekitem(0)[1]
            self.pop(request.id)
            yield request
