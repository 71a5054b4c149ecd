"""Reads YAML files into the classes of `schema`, with typed problems."""

import dataclasses
import pathlib
import re
import typing
from collections.abc import Iterator

import msgspec
import yaml
from returns import result

from bilberryramp.decisions.shared import errors

__all__ = ["SettingsError", "SettingsProblem", "read", "read_or_raise"]


@dataclasses.dataclass(slots=True, frozen=True)
class SettingsProblem:
    """One fault of a settings file.

    Attributes
    ----------
    file, path
        The file, and where in it, such as ``routes[2].pool``.
    seen, expected
        The value found and what would have been right.
    """

    file: str
    path: str
    seen: str
    expected: str

    def __str__(self) -> str:
        """Return the fault as one line for a person."""
        location = f"{self.file}: {self.path}" if self.path else self.file
        return f"{location}: found {self.seen}, expected {self.expected}"


class SettingsError(errors.BilberryError):
    """A settings file that cannot be used.

    Parameters
    ----------
    problem
        What is wrong with it.
    """

    def __init__(self, problem: SettingsProblem):
        super().__init__(str(problem))
        self.problem = problem


class _UniqueKeyLoader(yaml.SafeLoader):
    """Refuses a mapping that names a key twice."""


def _construct_unique_mapping(loader, node):
    seen = set()
    for key_node, _ in node.value:
        key = loader.construct_object(key_node)
        if key in seen:
            raise yaml.constructor.ConstructorError(
                None,
                None,
                f"the key {key!r} stands twice",
                key_node.start_mark,
            )
        seen.add(key)
    return yaml.SafeLoader.construct_mapping(loader, node, deep=True)


_UniqueKeyLoader.add_constructor(
    yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, _construct_unique_mapping
)


def read(
    path: str | pathlib.Path, cls: type
) -> result.Result[typing.Any, SettingsProblem]:
    """Read a file.

    Parameters
    ----------
    path
        The YAML file.
    cls
        A class of `schema`.

    Returns
    -------
    Result
        An instance of `cls`, or the first `SettingsProblem`.
    """
    return _read_yaml(path).bind(lambda raw: _convert(str(path), raw, cls))


def read_or_raise(path: str | pathlib.Path, cls: type):
    """Read a file for a program that cannot start without it.

    Parameters
    ----------
    path, cls
        As for `read`.

    Returns
    -------
    object
        An instance of `cls`.

    Raises
    ------
    SettingsError
        With the problem found.
    """
    outcome = read(path, cls)
    if isinstance(outcome, result.Failure):
        raise SettingsError(outcome.failure())
    return outcome.unwrap()


def _read_yaml(path) -> result.Result:
    file = str(path)
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        return result.Success(yaml.load(text, _UniqueKeyLoader))
    except OSError as exc:
        seen = exc.strerror or type(exc).__name__
        return _fail(file, "", seen, "a readable file")
    except UnicodeDecodeError:
        return _fail(file, "", "bytes that are not UTF-8", "UTF-8 text")
    except yaml.MarkedYAMLError as exc:
        mark = exc.problem_mark
        location = f"line {mark.line + 1}" if mark else ""
        return _fail(
            file, location, exc.problem or "broken YAML", "valid YAML"
        )
    except yaml.YAMLError as exc:
        return _fail(file, "", str(exc), "valid YAML")


def _convert(file: str, raw, cls: type) -> result.Result:
    for path, key, known_keys in _unknown_keys(raw, cls, ""):
        expected = f"one of {', '.join(known_keys)}"
        return _fail(
            file, _join_path(path, key), f"unknown key {key}", expected
        )
    try:
        return result.Success(msgspec.convert(raw, cls))
    except msgspec.ValidationError as exc:
        return _translate_error(file, raw, str(exc))


def _unknown_keys(raw, hint, path: str) -> Iterator[tuple]:
    if dataclasses.is_dataclass(hint) and isinstance(raw, dict):
        hints = typing.get_type_hints(hint)
        for key, value in raw.items():
            if key not in hints:
                yield path, str(key), sorted(hints)
            else:
                yield from _unknown_keys(
                    value, hints[key], _join_path(path, key)
                )
    elif typing.get_origin(hint) is tuple and isinstance(raw, list):
        item = typing.get_args(hint)[0]
        for index, value in enumerate(raw):
            yield from _unknown_keys(value, item, f"{path}[{index}]")


def _join_path(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def _translate_error(file: str, raw, message: str) -> result.Result:
    text, _, location = message.partition(" - at `$")
    path = location.rstrip("`").lstrip(".")
    missing_field = re.search(r"missing required field `(\w+)`", text)
    if missing_field:
        path = _join_path(path, missing_field.group(1))
        return _fail(file, path, "nothing", "a value: it is required")
    seen = _value_at(raw, path)
    expected = text.removeprefix("Expected ").partition(", got")[0]
    return _fail(file, path, repr(seen), expected)


def _value_at(raw, path: str):
    for name, index in re.findall(r"(\w+)|\[(\d+)\]", path):
        raw = raw[int(index)] if index else raw[name]
    return raw


def _fail(file: str, path: str, seen: str, expected: str) -> result.Result:
    return result.Failure(SettingsProblem(file, path, seen, expected))
