"""Numbered log events, latency metrics and trace spans."""

__all__ = ["events", "metrics", "tracing"]
