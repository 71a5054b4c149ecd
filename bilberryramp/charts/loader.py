"""Reader of the state charts in the YAML files of this package."""

import importlib.resources
import pathlib

import msgspec
import yaml

from bilberryramp.decisions.shared import charting

__all__ = ["ChartFileError", "load", "names", "parse"]


class ChartFileError(charting.ChartError):
    """The text of a chart is not valid YAML or does not define a chart."""


def names() -> list[str]:
    """Return the names of the charts in this package.

    Returns
    -------
    list of str
        Chart names in alphabetical order.
    """
    folder = importlib.resources.files(__package__)
    files = (pathlib.PurePath(item.name) for item in folder.iterdir())
    return sorted(file.stem for file in files if file.suffix == ".yaml")


def load(name: str) -> charting.ChartSpec:
    """Read a chart of this package.

    Parameters
    ----------
    name
        Name of the chart, equal to its file name without the suffix.

    Returns
    -------
    ChartSpec
        The chart's specification, to be passed to `charting.bind`.

    Raises
    ------
    ChartFileError
        If the file does not contain a valid chart.
    """
    folder = importlib.resources.files(__package__)
    text = folder.joinpath(f"{name}.yaml").read_text(encoding="utf-8")
    return parse(text)


def parse(text: str) -> charting.ChartSpec:
    """Parse a chart from YAML text.

    Parameters
    ----------
    text
        The chart as YAML. The transition for an event is a mapping, or a
        list of mappings whose guards are evaluated in order.

    Returns
    -------
    ChartSpec
        The chart's specification, to be passed to `charting.bind`.

    Raises
    ------
    ChartFileError
        If the text is not valid YAML, or a field is missing, unknown or of
        the wrong type.
    """
    try:
        raw = yaml.safe_load(text)
        raw["states"] = {
            name: _normalize_transitions(state)
            for name, state in raw["states"].items()
        }
        return msgspec.convert(raw, charting.ChartSpec)
    except (yaml.YAMLError, msgspec.ValidationError) as exc:
        raise ChartFileError(f"invalid chart: {exc}") from exc
    except (TypeError, KeyError, AttributeError) as exc:
        raise ChartFileError(f"invalid chart: {exc!r}") from exc


def _normalize_transitions(state: dict | None) -> dict:
    """Return a state in which each event has a list of transitions."""
    state = dict(state or {})
    # YAML 1.1 parses the key `on` as the boolean true.
    by_event = state.pop(True, None) or state.pop("on", {})
    state["on"] = {
        event: transitions if isinstance(transitions, list) else [transitions]
        for event, transitions in by_event.items()
    }
    return state
