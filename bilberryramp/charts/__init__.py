"""State charts as YAML files, and the reader that parses them."""

__all__ = ["loader"]
