"""Start of the fleet's programs: settings, logging and charts."""

import faulthandler
import os
import sys

from absl import flags

from bilberryramp.charts import loader
from bilberryramp.decisions.shared import charting
from bilberryramp.platform import settings as platform_settings
from bilberryramp.settings import fleet
from bilberryramp.telemetry import events

__all__ = [
    "EXIT_BAD_SETTINGS",
    "EXIT_DEFECT",
    "bind_chart",
    "settings_path",
    "start",
]

EXIT_DEFECT = 1
EXIT_BAD_SETTINGS = 2

SETTINGS_FLAG = flags.DEFINE_string(
    "node_settings",
    None,
    "Path of the platform's settings file, in TOML. Default: the environment "
    f"variable {platform_settings.PATH_VARIABLE}.",
)


def settings_path() -> str:
    """Return the path of the settings file; empty if none is given."""
    env_path = os.environ.get(platform_settings.PATH_VARIABLE, "")
    return SETTINGS_FLAG.value or env_path


def start(program: str) -> fleet.NodeSettings:
    """Read the settings and start logging.

    The process exits with `EXIT_BAD_SETTINGS` if the settings are invalid.

    Parameters
    ----------
    program
        Name of the program, which is part of every log line.

    Returns
    -------
    NodeSettings
        Settings of the process.
    """
    # After a crash inside a library, the stacks of all threads are written to
    # standard error.
    faulthandler.enable()
    try:
        cfg = platform_settings.read(settings_path())
    except platform_settings.MalformedSettingsError as exc:
        print(f"{program}: {exc}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    events.start_bounded_logging(program, cfg.name)
    return cfg


def bind_chart(name: str, module) -> charting.Chart:
    """Load a state chart and bind it to the functions of a module.

    Parameters
    ----------
    name
        Name of the chart.
    module
        Module with the tables `guards` and `actions`.

    Returns
    -------
    Chart
        The checked chart, bound to the functions.
    """
    return charting.bind(loader.load(name), module.guards, module.actions)
