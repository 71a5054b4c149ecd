"""Who waits, who goes first, who is turned away, and when they return.

lanes
    How fast calls leave the queue, how long one would wait, and when those
    that are refused may return.
turns
    Order of waiting calls among the workspaces that share the upstreams.
"""
