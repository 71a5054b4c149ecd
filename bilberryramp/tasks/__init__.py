"""Tasks that own their sockets and state and talk by messages.

Each role of `bilberryramp.decisions` has one task here that feeds it
messages from a mailbox and performs its effects.
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
