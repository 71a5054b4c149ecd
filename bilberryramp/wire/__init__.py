"""Binary encoding of messages and log records, without any decisions."""

__all__ = ["codec"]
