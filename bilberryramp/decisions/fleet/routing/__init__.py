"""Selection of the upstream for a call.

scheduling
    Cost of a call at each upstream that could serve it.
health, upstream_pauses
    Circuit breakers of upstreams, and the pauses that they ask for.
"""
