"""Pure decisions: typed messages in, effects out.

Nothing here imports asyncio, sockets, files, a wall clock or the global
random generator; `tests/test_purity.py` checks that. Time is an integer
argument in milliseconds and randomness is a `random.Random` argument.
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
