"""Encoding of messages and log records; nothing is decided here."""

__all__ = ["codec"]
