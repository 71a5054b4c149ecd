"""A serving system for many models that share few accelerators."""

__all__ = ["charts", "decisions", "settings", "storage", "telemetry", "wire"]
