"""Limits that hold over all nodes, and their division among the nodes.

retry_budget, retry_shares
    Limits on retries, and the part that each node may spend.
engine_memory, memory_use, memory_claims
    Memory of engines: what a node may send, what its requests occupy, and
    what an engine's agent grants.
"""
