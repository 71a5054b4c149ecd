"""Limits that hold over all nodes, and their division among the nodes.

retry_budget, retry_shares
    Limits on retries, and the part that each node may spend.
usage_terms, usage_issuer, usage_credits, usage_asks, usage_messages
    Limits on the usage of workspaces: what may be issued, the leader's issue
    of credits, the credits of a node, its asks, and the messages between them.
engine_memory, memory_use, memory_claims
    Memory of engines: what a node may send, what its requests occupy, and
    what an engine's agent grants.
"""
