"""Stand-ins for a model engine and a plain service, for tests and demos."""

__all__ = ["engine", "plain_service"]
