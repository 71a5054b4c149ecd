"""Decision logic of the fleet nodes.

A node is the single program that runs on every instance behind a load
balancer. Each package has one job and imports only packages above it in this
list:

core
    Types that all others refer to.
limits
    Limits that hold over all nodes.
quarantine
    Requests that end the engines that run them.
orders
    Which engine holds which model, and who orders it to.
register
    Replication of the service document.
routing
    Selection of the upstream for a call.
queueing
    Who waits, who goes first and who is turned away.
gateway
    Life cycle of a call.

The tests in `tests` play several packages together; those of one package are
beside it.
"""
