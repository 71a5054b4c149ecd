"""Simulated model engine and plain service, for tests and demonstrations."""

__all__ = ["engine", "plain_service"]
