"""Translates between the Guild platform's wire formats and our own types.

Nothing here decides anything, and no name of the platform is known outside
this folder.
"""
