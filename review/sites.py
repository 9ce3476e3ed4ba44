"""The figures of the two deployments of the cases: from its page, and from a day that its site file draws."""

from review.platform import Site

_ADDIS_CLASSES = (
    {
        "name": "stock-check",
        "objective-ms": 1200.0,
        "deadline-ms": 3000.0,
        "idempotency": "pure",
        "importance": 1.0,
    },
    {
        "name": "deposit",
        "objective-ms": 800.0,
        "deadline-ms": 2000.0,
        "idempotency": "token",
        "importance": 5.0,
    },
    {
        "name": "build-order",
        "objective-ms": 1500.0,
        "deadline-ms": 5000.0,
        "idempotency": "side_effect",
        "importance": 5.0,
    },
)
_SOUTH_CLASSES = (
    {
        "name": "slot-check",
        "objective-ms": 1500.0,
        "deadline-ms": 5000.0,
        "idempotency": "pure",
        "importance": 2.0,
    },
    {
        "name": "booking-confirm",
        "objective-ms": 1000.0,
        "deadline-ms": 2500.0,
        "idempotency": "side_effect",
        "importance": 6.0,
    },
)

# addis-orders at its size of today: "26 to 35 order servers and 26 to 36 shop proxies", "1 to 4 pilots".
ADDIS = Site(
    name="addis-orders-later",
    zones=("bole", "megenagna", "kality", "ayat"),
    servers=1,
    proxies=36,
    classes=_ADDIS_CLASSES,
    class_shares=(0.54, 0.27, 0.19),
    class_work=(0.205, 0.205, 0.31),
    load=0.55,
    cores=3,
    speed=1.25,
    slots_per_core=3.5,
    queue_per_core=10,
    cold_share=0.16,
    warm_after=16.0,
    fall_multiple=4.0,
    fall_for=2.0,
    drain_grace=3.3,
    bare=5.1,
    lines_per_s=1200,
    most_waiting=1800,
    messages_most=30,
    late=0.413,
    pick="rotate",
    outlier_after=0,
    outlier_for=0.0,
    redial=(0.24, 2.4),
    report_delay=0.9,
    columns=("active",),
    list_period=0.3,
)

# south-delivery: "15 to 21 dispatch nodes and 9 to 12 gateways", two pilots.
SOUTH = Site(
    name="south-delivery",
    zones=("hawassa", "shashemene", "dilla"),
    servers=2,
    proxies=12,
    classes=_SOUTH_CLASSES,
    class_shares=(0.53, 0.47),
    class_work=(0.33, 0.2),
    load=0.52,
    cores=4,
    speed=0.97,
    slots_per_core=2.25,
    queue_per_core=10.5,
    cold_share=0.19,
    warm_after=18.0,
    fall_multiple=4.0,
    fall_for=3.0,
    drain_grace=3.9,
    bare=7.8,
    lines_per_s=1500,
    most_waiting=3000,
    messages_most=12,
    late=0.178,
    pick="p2c",
    outlier_after=3,
    outlier_for=5.0,
    redial=(0.1, 2.5),
    report_delay=0.85,
    columns=("waiting", "avg_ms"),
    list_period=0.16,
)
