"""Durable storage of control replicas and of the fleet's register."""

__all__ = ["journal"]
