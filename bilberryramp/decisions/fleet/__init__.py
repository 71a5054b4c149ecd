"""Decision logic of the fleet nodes.

A node is the single program that runs on every instance behind a load
balancer.

register, electorate
    Replication of the service document among the nodes with a disk.
presence
    Table of the upstreams that announce themselves.
sharing
    Exchange of load reports with the other entries.
scheduling, dispatch
    Selection of the upstream for a call.
gateway
    Life cycle of a call.
planner, placement
    Assignment of models to engines.
agent
    Orders to an engine to load or unload models and adapters.
"""
