"""Structured log events, metrics and trace spans."""

__all__ = ["events", "metrics", "tracing"]
