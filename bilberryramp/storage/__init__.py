"""The log, hard state and snapshots of a control replica on its disk."""

__all__ = ["journal"]
