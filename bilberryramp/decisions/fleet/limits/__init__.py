"""Limits that hold over all nodes, and their division among the nodes.

retry_budget, retry_shares
    Limits on retries, and the part that each node may spend.
"""
