"""Entry points of the programs, as listed in ``pyproject.toml``."""

__all__ = [
    "control",
    "ctl",
    "entry",
    "launch",
    "load",
    "standin",
    "upstream",
]
