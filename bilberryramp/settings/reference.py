"""Reference page of all settings, generated from their classes."""

import dataclasses
import inspect
import re
import typing
from collections.abc import Iterator

from bilberryramp.decisions.control import demand
from bilberryramp.decisions.shared import tables
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
    return head + "".join(_section(cls, title) for cls, title in _SECTIONS)


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
