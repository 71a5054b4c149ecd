"""Reader of YAML files into the classes of `schema`."""

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
    """Description of one error in a settings file.

    Attributes
    ----------
    file
        Path of the file.
    path
        Location in the file: the path of a key, such as ``routes[2].pool``,
        or a line. Empty if the error concerns the whole file.
    seen
        Value or error found at that location.
    expected
        Description of the values that are valid there.
    """

    file: str
    path: str
    seen: str
    expected: str

    def __str__(self) -> str:
        """Return the error as one line of text."""
        location = f"{self.file}: {self.path}" if self.path else self.file
        return f"{location}: found {self.seen}, expected {self.expected}"


class SettingsError(errors.BilberryError):
    """Raised when a settings file cannot be read or is invalid.

    Parameters
    ----------
    problem
        Description of the error.
    """

    def __init__(self, problem: SettingsProblem):
        super().__init__(str(problem))
        self.problem = problem


class _UniqueKeyLoader(yaml.SafeLoader):
    """YAML loader that rejects duplicate keys in a mapping."""


def _construct_unique_mapping(loader, node):
    keys = set()
    for key_node, _ in node.value:
        key = loader.construct_object(key_node)
        if key in keys:
            raise yaml.constructor.ConstructorError(
                None,
                None,
                f"key {key!r} given twice",
                key_node.start_mark,
            )
        keys.add(key)
    return yaml.SafeLoader.construct_mapping(loader, node, deep=True)


_UniqueKeyLoader.add_constructor(
    yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, _construct_unique_mapping
)


def read(
    path: str | pathlib.Path, cls: type
) -> result.Result[typing.Any, SettingsProblem]:
    """Read and validate a file.

    Parameters
    ----------
    path
        Path of the YAML file.
    cls
        Class of `schema` that describes the file's content.

    Returns
    -------
    Result
        ``Success`` with an instance of `cls`, or ``Failure`` with the first
        `SettingsProblem`.
    """
    return _read_yaml(path).bind(lambda raw: _convert(str(path), raw, cls))


def read_or_raise(path: str | pathlib.Path, cls: type):
    """Read and validate a file that a program cannot start without.

    Parameters
    ----------
    path
        Path of the YAML file.
    cls
        Class of `schema` that describes the file's content.

    Returns
    -------
    object
        Instance of `cls`.

    Raises
    ------
    SettingsError
        When the file cannot be read or is invalid.
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
        return _fail(file, "", "bytes that are not valid UTF-8", "UTF-8 text")
    except yaml.MarkedYAMLError as exc:
        mark = exc.problem_mark
        location = f"line {mark.line + 1}" if mark else ""
        return _fail(
            file,
            location,
            exc.problem or "a syntax error",
            "valid YAML without duplicate keys",
        )
    except yaml.YAMLError as exc:
        return _fail(file, "", str(exc), "valid YAML")
    except (ValueError, TypeError, OverflowError, RecursionError) as exc:
        # YAML that names an impossible value, such as a date in month 13, or
        # that uses a list as a key.
        return _fail(file, "", str(exc), "values that YAML can represent")


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
    """Yield the path of a mapping, its unknown key and the known keys."""
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
    """Convert an error message of msgspec into a failure with its path."""
    text, _, location = message.partition(" - at `$")
    path = location.rstrip("`").lstrip(".")
    missing_match = re.search(r"missing required field `(\w+)`", text)
    if missing_match:
        path = _join_path(path, missing_match.group(1))
        return _fail(file, path, "nothing", "a value, as the key is required")
    seen = _value_at(raw, path)
    expected = text.removeprefix("Expected ").partition(", got")[0]
    return _fail(file, path, repr(seen), expected)


def _value_at(raw, path: str):
    for name, index in re.findall(r"(\w+)|\[(\d+)\]", path):
        raw = raw[int(index)] if index else raw[name]
    return raw


def _fail(file: str, path: str, seen: str, expected: str) -> result.Result:
    return result.Failure(SettingsProblem(file, path, seen, expected))
