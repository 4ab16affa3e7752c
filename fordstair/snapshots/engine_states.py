"""The state of an engine as operators are shown it."""

from __future__ import annotations

from fordstair.core.ports import Engine
from fordstair.decisions.engine_list import EngineState
from fordstair.decisions.outlier_detection import CREDIBLE_RELIABILITY
from fordstair.snapshots.views import EngineDisplayState

RECENT_WORK_MS = 1_000.0  # an engine that worked within that time is not called silent
MIN_SILENCE_SCORE = 0.5  # below it an unreliable engine fails rather than keeps silent


def engine_state(
    engine: Engine,
    reliability: float,
    warm_up_factor: float,
    silence_score: float,
    since_response_ms: float,
) -> EngineDisplayState:
    """Name an engine's state so that nothing is called ready that the decision module avoids."""
    if engine.cordoned:
        return "aside"
    if engine.zone_ejected:
        return "avoided"
    if engine.entry.state is not EngineState.READY:
        return "draining"
    if reliability < CREDIBLE_RELIABILITY:  # below it the decision module takes low load there for a fault
        if silence_score < MIN_SILENCE_SCORE:
            return "failing"
        return "silent" if since_response_ms > RECENT_WORK_MS else "doubted"
    return "warming" if warm_up_factor < 1.0 else "ready"
