"""Builders of settings files for tests."""

import pathlib

VALID_ROUTES = """
routes:
  - name: a
    pool: p
    service: s
    model: m
    memory_mib: 10
"""


def write_file(
    folder: str, text: str, name: str = "routes.yaml"
) -> pathlib.Path:
    path = pathlib.Path(folder) / name
    path.write_text(text, encoding="utf-8")
    return path
