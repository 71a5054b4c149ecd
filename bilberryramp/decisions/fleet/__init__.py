"""Decision logic of the fleet nodes.

A node is the single program that runs on every instance behind a load
balancer.

register, electorate
    Replication of the service document among the nodes with a disk.
presence
    Table of the upstreams that announce themselves.
sharing
    Exchange of load reports with the gateways of the other nodes.
scheduling, dispatch
    Selection of the upstream for a call.
gateway, gateway_state
    Life cycle of a call, which is a client's request at a node.
health
    Circuit breakers of upstreams.
retry_budget, retry_shares
    Limits on retries, and their division among the nodes.
prefix_cache
    Estimates of the prompts that engines have cached.
planner, placement
    Assignment of models to engines.
agent
    Orders to an engine to load or unload models and adapters.
documents, hosts
    Types of the service document, and the lookup of its routes.
"""
