"""A site's settings as the platform sends them, reduced for fake engines: three classes and one team."""

from __future__ import annotations

from typing import Any

SETTINGS: dict[str, Any] = {
    "areas": ["hall-a"],
    "hostTypes": ["std"],
    "instances": 1,
    "index": 0,
    "family": "queries",
    "categories": [
        {
            "name": "lookup",
            "effect": "read_like",
            "promiseMs": 1200.0,
            "aimStretch": 1.5,
            "giveUpMs": 6000.0,
            "worth": 1.0,
            "lateWorth": 0.5,
            "group": "all",
            "memorySpanMs": 5000.0,
        },
        {
            "name": "settlement",
            "effect": "read_like",
            "promiseMs": 2000.0,
            "aimStretch": 2.5,
            "giveUpMs": 25000.0,
            "worth": 7.5,
            "lateWorth": 0.3,
            "group": "all",
            "memorySpanMs": 5000.0,
        },
        {
            "name": "meter-load",
            "effect": "non_idempotent",
            "promiseMs": 3000.0,
            "aimStretch": 3.0,
            "giveUpMs": 20000.0,
            "worth": 4.0,
            "lateWorth": 0.6,
            "group": "all",
            "memorySpanMs": 5000.0,
        },
    ],
    "projects": [{"name": "karri-energy", "quotaPerS": 1000.0}],
    "extra": {
        "cpuOfKind": [8],
        "kindMemoryMb": [24576.0],
        "largestShare": 0.4,
        "priorities": True,
        "loads": [False, False, True],
        "parallelism": [1, 4, 2],
        "tellsEveryMs": 500.0,
    },
    "limits": {
        "mayCancel": True,
        "sendCap": 4,
        "retryAfter": True,
        "maxRetryAfterMs": 1000.0,
        "connectTimeoutMs": 250.0,
        "connIdleMs": 30000.0,
        "probes": False,
    },
    "obligations": {"coldFrom": 0.32, "coldMs": 15000.0, "fallMultiple": 2.5, "fallMs": 1000.0},
    "report": {"fields": ["util", "inflight"], "source": "piggyback"},
    "discovery": "push",
}
