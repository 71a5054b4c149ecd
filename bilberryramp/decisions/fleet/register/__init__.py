"""Replication of the service document among the nodes.

register, electorate
    The replicated record, its leader and its voters.
register_messages
    Messages between the nodes.
operator_calls
    Calls of operators and upstreams at a node.
"""
