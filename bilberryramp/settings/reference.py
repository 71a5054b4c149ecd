"""Reference page of all settings, generated from their classes."""

import dataclasses
import inspect
import re
import typing
from collections.abc import Iterator

from bilberryramp.decisions.control import demand
from bilberryramp.decisions.shared import (
    client_memory,
    client_review,
    tables,
)
from bilberryramp.settings import schema

__all__ = ["render"]

# Classes of settings in the order of the page, each with its heading.
_SECTIONS = (
    (tables.Route, "`routes.yaml`: each of `routes`"),
    (tables.Pool, "`pools.yaml`: each of `pools`"),
    (schema.EntryProgramSettings, "`bilberry-entry`"),
    (schema.UpstreamSettings, "`bilberry-upstream`"),
    (schema.ControlSettings, "`bilberry-control`"),
    (schema.CtlSettings, "`bilberryctl`"),
    (schema.StandinSettings, "`bilberry-standin`"),
    (demand.DemandSettings, "`bilberry-control`: `demand`"),
    (schema.ControlReplica, "each of `controls` and `replicas`"),
    (schema.TelemetrySettings, "`telemetry`"),
    (client_review.Limits, "`bilberry-node`: limits on its clients"),
)


def render() -> str:
    """Render the reference page of all settings.

    Returns
    -------
    str
        Content of ``docs/SETTINGS.md``, in Markdown.
    """
    head = (
        "# Settings and tables\n\nAll files are YAML. Unknown and duplicate "
        "keys are errors. Every error names the file, the path of the key, "
        "the value found and what was expected. A field whose default is "
        "`required` must be set.\n"
    )
    sections = "".join(_section(cls, title) for cls, title in _SECTIONS)
    return head + sections + _client_memory()


def _client_memory() -> str:
    """Return how a node's memory and descriptors are split, as a section."""
    listeners = "".join(
        f"| `{name}` | {part:g} | {_connections(name)} |\n"
        for name, part in client_memory.LISTENER_PARTS.items()
    )
    return (
        "\n## `bilberry-node`: memory and descriptors of its clients\n\n"
        "From `memoryMb` and `maxFds` of the settings file; not set "
        "otherwise.\n\n"
        "| listener | part of the budget | connections |\n"
        f"| --- | --- | --- |\n{listeners}\n"
        f"- Budget: {client_memory.CLIENTS_PART:g} of the memory that is free "
        "when the node listens.\n"
        f"- {client_memory.SMALL_PART:g} of each listener's budget is kept "
        f"for connections that hold up to {client_memory.SMALL_BYTES} "
        "bytes.\n"
        f"- A connection counts {client_memory.CONNECTION_BYTES} bytes, and "
        f"{client_memory.WAITING_BYTES} more while it waits for memory. "
        f"Connections take {client_memory.CONNECTIONS_PART:g} of the budget "
        "at most.\n"
        f"- Of the descriptors, {client_memory.RESERVED_DESCRIPTORS} are set "
        f"aside, {client_memory.OWN_DESCRIPTORS} are for files and "
        f"{client_memory.PEER_DESCRIPTORS} for each peer.\n"
    )


def _connections(name: str) -> str:
    if name not in client_memory.OTHER_LISTENERS:
        return (
            "what the document's channels and the others leave, at least "
            f"{client_memory.MIN_CLIENT_PART:g} of the rest"
        )
    part, most = client_memory.OTHER_LISTENERS[name]
    return f"{part:g} of the rest, at most {most}"


def _section(cls: type, title: str) -> str:
    doc = inspect.getdoc(cls)
    return (
        f"\n## {title}\n\n{doc.splitlines()[0]}\n\n"
        "| field | type | default |\n| --- | --- | --- |\n"
        f"{''.join(_rows(cls))}\n{_field_notes(doc)}"
    )


def _rows(cls: type) -> Iterator[str]:
    hints = typing.get_type_hints(cls)
    for field in dataclasses.fields(cls):
        default = _describe_default(field)
        yield (
            f"| `{field.name}` | {_type_of(hints[field.name])} | {default} |\n"
        )


def _describe_default(field: dataclasses.Field) -> str:
    if field.default is dataclasses.MISSING:
        return "required"
    if dataclasses.is_dataclass(field.default):
        return "defaults of its fields"
    return f"`{field.default!s}`" if field.default != "" else "empty"


def _type_of(hint) -> str:
    if typing.get_origin(hint) is tuple:
        return f"list of {_type_of(typing.get_args(hint)[0])}"
    if hasattr(hint, "__members__"):
        return ", ".join(f"`{member.value}`" for member in hint)
    return hint.__name__


def _field_notes(doc: str) -> str:
    """Return the Attributes section of a docstring as a Markdown list."""
    _, _, text = doc.partition("Attributes\n----------\n")
    rows = re.findall(r"^(\S[^\n]*)\n((?:    [^\n]+\n?)+)", text, re.M)
    return "".join(
        f"- `{names}`: {' '.join(body.split())}\n" for names, body in rows
    )
