"""Helpers that the scripts of the review share."""
