"""Tests of learned costs, which are restored where too little was learned."""

from __future__ import annotations

import pytest

from fordstair.replication.learned_costs import differs_enough, learned_values, restore_values
from tests.helpers import GatewayHarness
from tests.helpers import settings as settings_of


def test_costs_learned_by_one_module_are_restored_in_a_new_one() -> None:
    harness = GatewayHarness(settings_of(instances=2))
    for _ in range(20):
        request = harness.send_request(0, 0.0, table_group=7.0)
        harness.end_attempt(request, work_ms=340.0, latency=400.0, memory_mb=50.0)
    values = dict(learned_values(harness.gateway))
    assert "class|quick|mean" in values
    assert "group|quick|7" in values
    new = GatewayHarness(settings_of(instances=2))
    assert restore_values(
        new.gateway,
        values
        | {
            "class|unknown|mean": values["class|quick|mean"],
            "noise": b"\xc1",
            "group|quick|nan": values["class|quick|mean"],
        },
    ) == len(values)
    assert new.gateway.cost_model.predict(0, 7.0, 0.0) == pytest.approx(340.0, rel=0.02)
    # Means with enough outcomes are not replaced.
    assert restore_values(new.gateway, values) == 0
    request = new.send_request(0, 0.0, table_group=7.0)
    new.end_attempt(request, work_ms=3_400.0, latency=400.0)
    # New outcomes take effect immediately.
    assert new.gateway.cost_model.class_mean(0) > 400.0
    old, other = values["class|quick|mean"], values["class|quick|memory"]
    assert not differs_enough(old, old)
    assert differs_enough(old, other)
    assert differs_enough(None, old)
    assert not differs_enough(None, b"\xc1")
