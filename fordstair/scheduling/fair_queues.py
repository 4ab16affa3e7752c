"""Start-time fair queues of waiting requests, by team and class; a request is removed anywhere in O(log n).

Start-time fair queueing (Goyal, Vin, Cheng 1996) runs at two levels: between teams, weighted by their quotas,
and between the classes of a team, with equal weights. A request's cost is its predicted thread-milliseconds.
Requests of one team and class are served in order of arrival.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedDict

# Weight of a team without a quota: it is served from the capacity that other teams leave.
MIN_WEIGHT = 1e-3


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """One waiting request.

    Attributes:
        cost: Predicted thread-milliseconds.
        latest_start_ms: A start after this time is too late for an answer in time.
        threads: Threads that the request occupies at an engine.
        sequence: Position in the order of arrival over all queues; set by ``FairQueues.push``.
    """

    id: int
    team: int
    class_index: int
    cost: float
    arrived_ms: float
    latest_start_ms: float
    threads: int = 1
    sequence: int = 0


@dataclass(slots=True, eq=False)
class Flow:
    """One flow of the fair queueing: a team, or a class of a team.

    Attributes:
        start_tag: Virtual time at which the flow's next request starts.
        cost: Total cost of the requests waiting in the flow.
        requests: Waiting requests by sequence number; empty for a team.
        classes: Flows of a team's classes; empty for a class.
        virtual_time: For a team, the start tag of the class served last.
    """

    weight: float = 1.0
    start_tag: float = 0.0
    cost: float = 0.0
    requests: SortedDict[int, QueuedRequest] = field(default_factory=SortedDict)
    classes: dict[int, Flow] = field(default_factory=dict)
    virtual_time: float = 0.0

    def __len__(self) -> int:
        return len(self.requests) + sum(map(len, self.classes.values()))


class FairQueues:
    """All waiting requests, indexed by id, flow, arrival and latest start."""

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
        """The predicted thread-milliseconds of all waiting requests."""
        return sum(flow.cost for flow in self.teams.values())

    def set_weights(self, weights: dict[int, float]) -> None:
        """Apply new weights; waiting requests stay queued, and flows keep their start tags."""
        for team, weight in weights.items():
            self.teams.setdefault(team, Flow()).weight = max(MIN_WEIGHT, weight)

    def push(self, request: QueuedRequest) -> None:
        """Append a request to the queue of its team and class."""
        self._last_sequence += 1
        request.sequence = self._last_sequence
        team = self.teams[request.team]
        # An idle flow starts no earlier than the current virtual time: idleness earns no credit.
        if not len(team):
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
        """Remove a request from any position and return it; return None if it is not waiting."""
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
        """Remove a request whose turn has come, and advance the start tags of its flows."""
        self.pop(request.id)
        team = self.teams[request.team]
        class_flow = team.classes[request.class_index]
        start = max(team.start_tag, self.virtual_time)
        self.virtual_time = start
        team.start_tag = start + request.cost / team.weight
        start = max(class_flow.start_tag, team.virtual_time)
        team.virtual_time = start
        class_flow.start_tag = start + request.cost

    def newest_of_largest_backlog(self, teams: Iterable[int]) -> QueuedRequest | None:
        """Return the newest request of that one of these teams whose waiting requests cost most."""
        waiting = [team for team in teams if len(self.teams[team])]
        if not waiting:
            return None
        team = max(waiting, key=lambda team: (self.teams[team].cost, team))
        return max(
            (flow.requests.peekitem(-1)[1] for flow in self.teams[team].classes.values() if flow.requests),
            key=lambda request: request.sequence,
        )

    def oldest(self) -> QueuedRequest | None:
        """Return the request that arrived first, or None if none is waiting."""
        return self._by_arrival.peekitem(0)[1] if self._by_arrival else None

    def heads(self, team: int) -> list[QueuedRequest]:
        """Return the first request of each non-empty class of a team, ordered by the classes' start tags."""
        flows = [flow for flow in self.teams[team].classes.values() if flow.requests]
        flows.sort(key=lambda flow: (flow.start_tag, flow.requests.peekitem(0)[0]))
        return [flow.requests.peekitem(0)[1] for flow in flows]

    def waiting_teams(self) -> list[int]:
        """Return the teams with waiting requests, ordered by their start tags."""
        teams = [team for team, flow in self.teams.items() if flow.cost > 0.0 or len(flow)]
        return sorted(teams, key=lambda team: (self.teams[team].start_tag, team))

    def pop_overdue(self, now_ms: float) -> Iterator[QueuedRequest]:
        """Remove and yield the requests whose latest start has passed."""
        while self._by_latest_start and self._by_latest_start.peekitem(0)[0][0] <= now_ms:
            request = self._by_latest_start.peekitem(0)[1]
            self.pop(request.id)
            yield request
