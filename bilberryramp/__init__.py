"""A serving system for many models on fewer accelerators."""

__all__ = ["charts", "decisions", "settings", "storage", "telemetry", "wire"]
