"""Settings documents of the recorded runs, in the format of the protocol."""

from __future__ import annotations

_REQUEST_CLASS_FIELDS = (
    "name",
    "effect",
    "promiseMs",
    "aimStretch",
    "giveUpMs",
    "worth",
    "lateWorth",
    "group",
    "memorySpanMs",
)

_PERTH_CLASSES = (
    ("lookup", "read_like", 1200, 1.5, 6000, 1, 0, "all", 5000),
    ("settlement", "read_like", 2000, 2.5, 25000, 7.5, 0.3, "all", 5000),
    ("meter-load", "non_idempotent", 3000, 3, 20000, 4, 0.6, "all", 5000),
)
_FREIGHT_CLASSES = (
    ("peek", "read_like", 700, 1.5, 2500, 1, 0.1, "all", 0),
    ("manifest", "read_like", 1500, 2.5, 9000, 6, 0.2, "all", 0),
    ("stamp", "idempotency_key", 800, 2, 3000, 3, 0, "zone", 900),
    ("berth-swap", "idempotency_key", 2500, 3, 8000, 5, 0.5, "all", 1200),
)
_TRAM_CLASSES = (
    ("tap-in", "non_idempotent", 400, 1.5, 1500, 1, 0.2, "all", 0),
    ("day-fold", "idempotency_key", 2500, 2.5, 12000, 9, 0.3, "cell", 3000),
)

_PERTH = """
instances=3
projects.count=3
projects.0.quotaPerS=70
projects.1.quotaPerS=12
projects.2.quotaPerS=9
overShareWorth=0.1
extra.cpuOfKind=12
extra.kindMemoryMb=24576
extra.largestShare=0.4
extra.priorities=true
extra.parallelism=1,4,2
extra.loads=false,false,true
extra.tellsEveryMs=500
report.fields=util,inflight
report.source=piggyback
limits.mayCancel=true
limits.sendCap=4
limits.retryAfter=true
limits.maxRetryAfterMs=1000
obligations.coldFrom=0.32
obligations.coldMs=15000
obligations.fallMultiple=2.5
obligations.fallMs=1000
"""
_FREIGHT = """
instances=3
projects.count=4
projects.0.quotaPerS=30
projects.1.quotaPerS=26
projects.2.quotaPerS=11
projects.3.quotaPerS=8
extra.cpuOfKind=8
extra.kindMemoryMb=16384
extra.largestShare=0.5
extra.priorities=true
extra.parallelism=1,3,1,2
extra.loads=false,false,false,true
extra.tellsEveryMs=500
report.fields=util,inflight
report.source=piggyback
limits.mayCancel=true
limits.sendCap=3
limits.retryAfter=true
limits.maxRetryAfterMs=600
obligations.coldFrom=0.4
obligations.coldMs=9000
obligations.fallMultiple=2.5
obligations.fallMs=1000
"""
_TRAM = """
instances=3
projects.count=0
extra.cpuOfKind=16
extra.kindMemoryMb=32768
extra.largestShare=0.4
extra.priorities=true
extra.parallelism=1,6
extra.loads=false,true
extra.waitsForLoads=true,false
report.fields=inflight,x1
report.source=piggyback
limits.mayCancel=true
limits.sendCap=2
limits.retryAfter=false
obligations.coldFrom=0.32
obligations.coldMs=15000
obligations.fallMultiple=3
obligations.fallMs=2000
"""
_EVERY_FEATURE = """
instances=2
projects.count=2
projects.0.quotaPerS=40
projects.1.quotaPerS=15
extra.cpuOfKind=12,4
extra.kindMemoryMb=24576,8192
extra.largestShare=0.4
extra.grants=true
extra.priorities=true
extra.parallelism=1,4,2
extra.loads=false,false,true
extra.waitsForLoads=true,false,false
report.fields=util,inflight
report.source=pull
limits.mayCancel=true
limits.probes=true
limits.sendCap=4
limits.retryAfter=true
limits.maxRetryAfterMs=1000
obligations.furtherRatio=0.2
obligations.budgetFree=3
obligations.lookBackMs=4000
obligations.orderSettleMs=400
obligations.coldFrom=0.32
obligations.coldMs=12000
obligations.fallMultiple=2.5
obligations.fallMs=1000
discovery=ask
categories.0.areasOpen=0,1
categories.1.hostTypesAllowed=0
categories.2.serialByKey=true
"""


def _document(request_classes: tuple[tuple[object, ...], ...], rest: str) -> str:
    lines = [f"categories.count={len(request_classes)}"]
    for index, values in enumerate(request_classes):
        pairs = zip(_REQUEST_CLASS_FIELDS, values, strict=True)
        lines += [f"categories.{index}.{field}={value}" for field, value in pairs]
    return "\n".join(lines) + rest


SETTINGS_DOCUMENTS = {
    "perth_billing": _document(_PERTH_CLASSES, _PERTH),
    "quay_freight": _document(_FREIGHT_CLASSES, _FREIGHT),
    "tram_fares": _document(_TRAM_CLASSES, _TRAM),
    "every_feature": _document(_PERTH_CLASSES, _EVERY_FEATURE),
}
