"""Decisions of an entry: request handling, routing and retries."""
