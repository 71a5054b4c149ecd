"""Builders of the state of shared decisions."""

from bilberryramp.charts import loader
from bilberryramp.decisions.shared import charting, pauses, shutdown


def make_pause(pause_ms=0, now_ms=0) -> pauses.Pause:
    """Build the pauses of an upstream, which may have asked for one."""
    chart = charting.bind(
        loader.load("upstream_pause"), pauses.guards, pauses.actions
    )
    pause = pauses.new_pause(chart, "u1")
    pauses.request_pause(pause, pause_ms, now_ms)
    return pause


def make_shutdown(is_idle, **times) -> shutdown.Shutdown:
    """Build the planned stop of a process that runs."""
    chart = charting.bind(
        loader.load("shutdown"), shutdown.guards, shutdown.actions
    )
    return shutdown.Shutdown(chart, is_idle, **times)
