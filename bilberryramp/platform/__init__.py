"""Codecs between the Guild platform's wire formats and the project's types.

This package makes no decisions. Names of the platform occur only in this
folder, so that another front end can use the rest of the code.
"""
