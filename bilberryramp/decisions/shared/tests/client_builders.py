"""Builders of ledgers and of clients as the review sees them."""

import math

from bilberryramp.decisions.shared import (
    client_memory,
    client_review,
    connection_stop,
)


def make_ledger(total_bytes, max_connections=1000):
    """Make an empty ledger, a quarter of it for small requests."""
    return client_memory.new_ledger(
        client_memory.Budget(total_bytes, total_bytes // 4, max_connections)
    )


def make_client(key, state=connection_stop.State.IDLE, **changes):
    """Make a client that has just been read from, and has read all."""
    fields = {
        "held_bytes": 16384,
        "head_bytes": 0,
        "began_ms": math.inf,
        "last_read_ms": 0,
        "unread_since_ms": math.inf,
        "waits_for_memory": False,
    }
    return client_review.Client(key, state, **(fields | changes))
