"""Settings and tables, read from YAML and validated."""

__all__ = ["reader", "reference", "schema"]
