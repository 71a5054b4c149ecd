"""What every decision of a fleet node refers to.

documents, hosts
    Types of the service document, and the lookup of its routes.
workspaces
    Which workspace a request's key names, and whether it may be sent.
calls, identities
    A client's request at a node, and what identifies its content.
presence
    Table of the upstreams that announce themselves.
sharing
    Load reports that the gateways of the nodes exchange.
prefix_cache
    Estimates of the prompts that engines have cached.
traces, keys
    Log events of decisions, and short keys for ids in messages.
"""
