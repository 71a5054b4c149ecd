"""Decisions of an entry: callers' requests, routing and attempts."""
