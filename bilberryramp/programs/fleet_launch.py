"""What the programs of a fleet share: their settings and how they start."""

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
    "node_settings", None, "The platform's settings file; by default as told."
)


def settings_path() -> str:
    """Return where the settings file is."""
    env_path = os.environ.get(platform_settings.PATH_VARIABLE, "")
    return SETTINGS_FLAG.value or env_path


def start(program: str) -> fleet.NodeSettings:
    """Read the settings and start logging, or exit.

    Parameters
    ----------
    program
        Shown on every line.

    Returns
    -------
    NodeSettings
        Checked.
    """
    # A crash inside a library leaves the stacks of all threads in the log.
    faulthandler.enable()
    try:
        cfg = platform_settings.read(settings_path())
    except platform_settings.MalformedSettingsError as exc:
        print(f"{program}: {exc}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    events.start_bounded_logging(program, cfg.name)
    return cfg


def bind_chart(name: str, module) -> charting.Chart:
    """Bind one of the package's charts to a role's functions.

    Parameters
    ----------
    name, module
        The chart, and the module with `guards` and `actions`.

    Returns
    -------
    Chart
        Checked and bound.
    """
    return charting.bind(loader.load(name), module.guards, module.actions)
