"""Decisions of control: the replicated log, tables, placement, records."""
