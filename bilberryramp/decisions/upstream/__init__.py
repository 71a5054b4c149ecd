"""Decisions of an upstream process: queue, memory, orders and runs."""
