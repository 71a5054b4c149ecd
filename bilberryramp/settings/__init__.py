"""Settings and tables in YAML, checked into slotted classes."""

__all__ = ["reader", "reference", "schema"]
