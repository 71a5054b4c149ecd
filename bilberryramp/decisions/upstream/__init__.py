"""Decisions of an upstream process: queue, memory, models and runs."""
