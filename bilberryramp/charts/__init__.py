"""State charts as YAML files, and the reader that checks them."""

__all__ = ["loader"]
