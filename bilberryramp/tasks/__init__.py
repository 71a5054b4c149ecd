"""Tasks that own their sockets and state and communicate by messages.

Each role of `bilberryramp.decisions` has one task here. The task passes
messages from its mailbox to the role's functions and performs the effects
that they return.
"""

__all__ = [
    "clock",
    "control_link",
    "control_node",
    "entry_frontend",
    "entry_router",
    "mailbox",
    "operator_api",
    "upstream_engine",
    "upstream_node",
]
