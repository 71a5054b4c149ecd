"""Life cycle of a call at a node.

gateway, gateway_state
    Messages to a gateway, and what follows from those about the fleet.
call_events, call_ends
    What follows from messages about a call, and how calls end.
call_queue, queue_waits, waiting_times
    Calls that wait: who is sent next or refused, for how long the others will
    wait, and when refused clients may return.
dispatch
    Sends a call, requests a model for it or leaves it in the queue.
admission
    Judgement of calls by the keys of the document in force.
"""
