import dataclasses
import unittest

from bilberryramp.charts import loader
from bilberryramp.decisions.control import replication
from bilberryramp.decisions.entry import entry_calls, links
from bilberryramp.decisions.fleet.gateway import gateway_state
from bilberryramp.decisions.fleet.limits import retry_shares
from bilberryramp.decisions.fleet.orders import agent
from bilberryramp.decisions.fleet.register import register
from bilberryramp.decisions.fleet.routing import health
from bilberryramp.decisions.shared import (
    charting,
    pauses,
    peer_links,
    quarantine,
    shutdown,
    subscription,
)
from bilberryramp.decisions.tests import builders
from bilberryramp.decisions.upstream import model_orders

DOOR_CHART = """
name: door
initial: shut
events: [push, slam]
states:
  shut:
    on:
      push:
        - {target: open, guard: unlocked, actions: [creak]}
        - {target: shut}
    ignore: [slam]
  open:
    on: {slam: {target: shut}}
    ignore: [push]
    timeout: {event: slam, after_ms: 100}
"""


@dataclasses.dataclass(slots=True)
class Door:
    """Machine that follows `DOOR_CHART`."""

    key: str = "door"
    phase: str = "shut"
    timer: int = 0
    unlocked: bool = True


def creak(_door, _now_ms, payload):
    yield payload


GUARDS = {"unlocked": lambda door, _payload: door.unlocked}


def bind_text(text):
    return charting.bind(loader.parse(text), GUARDS, {"creak": creak})


class ChartingTest(unittest.TestCase):
    def test_guard_selects_transition_and_timeout_sets_timer(self):
        chart, door = bind_text(DOOR_CHART), Door()
        effects = list(charting.fire(chart, door, "push", 5, "noise"))
        self.assertEqual(door.phase, "open")
        self.assertEqual(effects[0], "noise")
        self.assertEqual(effects[1].due_ms, 105)
        locked = Door(unlocked=False)
        self.assertEqual(list(charting.fire(chart, locked, "push", 5, "")), [])
        self.assertEqual(locked.phase, "shut")

    def test_outdated_timer_is_ignored(self):
        chart, door = bind_text(DOOR_CHART), Door()
        timer = list(charting.fire(chart, door, "push", 0, ""))[1]
        list(charting.fire(chart, door, "slam", 1, ""))
        list(charting.fire(chart, door, "push", 2, ""))
        list(charting.fire_timer(chart, door, timer.token, 100))
        self.assertEqual(door.phase, "open")

    def test_transitions_depend_on_the_chart_text(self):
        other = DOOR_CHART.replace(
            "slam: {target: shut}", "slam: {target: open}"
        )
        for text, expected in ((DOOR_CHART, "shut"), (other, "open")):
            door = Door(phase="open")
            list(charting.fire(bind_text(text), door, "slam", 0, ""))
            self.assertEqual(door.phase, expected)

    def test_invalid_charts_raise(self):
        cases = (
            ("initial: shut", "initial: ajar", "MissingInitialStateError"),
            ("guard: unlocked", "guard: lucky", "UnboundNameError"),
            ("actions: [creak]", "actions: [hum]", "UnboundNameError"),
            ("    ignore: [push]\n", "", "UnhandledEventError"),
            ("ignore: [push]", "ignore: [push, kick]", "UnknownEventError"),
            ("event: slam, after", "event: push, after",
             "UnhandledTimeoutError"),
            ("target: open, guard", "target: gone, guard",
             "UnknownStateError"),
            ("target: open, guard", "target: shut, guard",
             "UnreachableStateError"),
            ("initial: shut", "initially: shut", "ChartFileError"),
            ("states:", "states: [", "ChartFileError"),
        )  # fmt: skip
        for old, new, error in cases:
            with (
                self.subTest(new),
                self.assertRaises(charting.ChartError) as caught,
            ):
                bind_text(DOOR_CHART.replace(old, new))
            self.assertEqual(type(caught.exception).__name__, error)

    def test_every_chart_of_the_package_binds(self):
        modules = {
            "config": subscription,
            "connection": links,
            "order": model_orders,
            "replica": replication,
            "request": entry_calls,
            "shutdown": shutdown,
            "suspect": quarantine,
            "engine_order": agent,
            "exchange": gateway_state,
            "member": register,
            "peer_link": peer_links,
            "retry_share": retry_shares,
            "upstream_health": health,
            "upstream_pause": pauses,
        }
        self.assertEqual(sorted((*modules, "adoption")), loader.names())
        builders.adoption_chart()
        for name, module in modules.items():
            charting.bind(loader.load(name), module.guards, module.actions)
