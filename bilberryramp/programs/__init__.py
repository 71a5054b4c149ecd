"""The programs' entry points; `pyproject.toml` names them."""

__all__ = [
    "control",
    "ctl",
    "entry",
    "launch",
    "load",
    "standin",
    "upstream",
]
