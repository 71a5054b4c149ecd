"""Life cycle of a call at a node.

gateway, gateway_state
    Messages about a call and what follows from them.
dispatch
    Sends a call, requests a model for it or leaves it in the queue.
waiting_times
    How long calls wait, and when refused clients may return.
"""
