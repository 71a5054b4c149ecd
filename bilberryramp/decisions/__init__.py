"""Decision logic without input or output.

Functions of this package take typed messages and yield effects. They do not
use asyncio, sockets, files, clocks or the global random generator, which
`tests/test_purity.py` verifies: time is passed as an integer number of
milliseconds, randomness as a `random.Random`.
"""

__all__ = [
    "admission",
    "call_messages",
    "charting",
    "commands",
    "control_state",
    "demand",
    "effects",
    "entry_calls",
    "entry_messages",
    "errors",
    "feed",
    "feed_messages",
    "ledger",
    "links",
    "log_entries",
    "membership",
    "model_orders",
    "idempotency",
    "placement",
    "placement_state",
    "quarantine",
    "replica_state",
    "replication",
    "replication_messages",
    "role_messages",
    "route_index",
    "routing",
    "shutdown",
    "subscription",
    "tables",
    "upstream_messages",
    "upstream_work",
    "views",
]
