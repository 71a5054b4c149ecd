"""Shared parts of the cases 6 to 10: a small fleet of the programs."""
