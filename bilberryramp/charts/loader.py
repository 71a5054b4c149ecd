"""Reads state charts from the YAML files of this folder."""

import importlib.resources
import pathlib

import msgspec
import yaml

from bilberryramp.decisions.shared import charting

__all__ = ["ChartFileError", "load", "names", "parse"]


class ChartFileError(charting.ChartError):
    """A chart file that does not have the form of a chart."""


def names() -> list[str]:
    """List the charts shipped with the package.

    Returns
    -------
    list of str
        Chart names in alphabetical order.
    """
    folder = importlib.resources.files(__package__)
    files = (pathlib.PurePath(item.name) for item in folder.iterdir())
    return sorted(file.stem for file in files if file.suffix == ".yaml")


def load(name: str) -> charting.ChartSpec:
    """Read a chart shipped with the package.

    Parameters
    ----------
    name
        The chart's name, which is its file's name without ending.

    Returns
    -------
    ChartSpec
        Not yet bound to functions.

    Raises
    ------
    ChartFileError
        When the file is not a chart.
    """
    folder = importlib.resources.files(__package__)
    text = folder.joinpath(f"{name}.yaml").read_text(encoding="utf-8")
    return parse(text)


def parse(text: str) -> charting.ChartSpec:
    """Read a chart from YAML text.

    Parameters
    ----------
    text
        The YAML. A transition is a mapping, or a list of mappings that
        are tried in turn.

    Returns
    -------
    ChartSpec
        Not yet bound to functions.

    Raises
    ------
    ChartFileError
        Naming what is wrong and where.
    """
    try:
        raw = yaml.safe_load(text)
        raw["states"] = {
            name: _with_lists(state) for name, state in raw["states"].items()
        }
        return msgspec.convert(raw, charting.ChartSpec)
    except (yaml.YAMLError, msgspec.ValidationError) as exc:
        raise ChartFileError(str(exc)) from exc
    except (TypeError, KeyError, AttributeError) as exc:
        raise ChartFileError(f"not a chart: {exc!r}") from exc


def _with_lists(state: dict | None) -> dict:
    state = dict(state or {})
    # YAML 1.1 reads the key `on` as a boolean.
    transitions = state.pop(True, None) or state.pop("on", {})
    state["on"] = {
        event: steps if isinstance(steps, list) else [steps]
        for event, steps in transitions.items()
    }
    return state
