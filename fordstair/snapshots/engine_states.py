"""The state of an engine as shown to operators."""

from __future__ import annotations

from fordstair.core.ports import Engine
from fordstair.decisions.engine_list import EngineState
from fordstair.decisions.outlier_detection import CREDIBLE_RELIABILITY
from fordstair.snapshots.views import EngineDisplayState

# An engine with a sign of work within this time is not shown as silent.
RECENT_ACTIVITY_MS = 1_000.0
# An unreliable engine with a lower silence score is shown as failing, not as silent.
MIN_SILENCE_SCORE = 0.5


def engine_state(
    engine: Engine,
    reliability: float,
    warm_up_factor: float,
    silence_score: float,
    since_activity_ms: float,
) -> EngineDisplayState:
    """Return the state to show; an engine that the decision module avoids is never shown as ready."""
    if engine.cordoned:
        return "aside"
    if engine.zone_ejected:
        return "avoided"
    if engine.entry.state is not EngineState.READY:
        return "draining"
    # Below this reliability the decision module takes a low load of the engine for a fault.
    if reliability < CREDIBLE_RELIABILITY:
        if silence_score < MIN_SILENCE_SCORE:
            return "failing"
        return "silent" if since_activity_ms > RECENT_ACTIVITY_MS else "doubted"
    return "warming" if warm_up_factor < 1.0 else "ready"
