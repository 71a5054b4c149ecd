"""A disk is lost just after a planned replacement of a core machine."""

import json
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common2 import local  # noqa: E402

# Time for which the new machine runs before the old one gets SIGTERM; longer
# than `catchUpS`.
TOGETHER_S = 7.0
GRACE_S, DOWN_S = 8.0, 1.3


def _versions_read(record, machines):
    """Return the versions that the machines read back."""
    versions = []
    for machine in machines:
        status, body = local.call(machine.control, "/config/get")
        version = json.loads(body)["version"] if status == 200 else None
        record(f"get at {machine.name}: {status} version {version}")
        if version is not None:
            versions.append(version)
    return versions


def _end_planned(machine):
    """Stop a machine as the platform does, for good."""
    machine.send(signal.SIGTERM)
    until = time.monotonic() + GRACE_S
    while machine.proc.poll() is None and time.monotonic() < until:
        time.sleep(0.02)
    if machine.proc.poll() is None:
        machine.kill()
    machine.fleet.record(f"{machine.name} has ended, and is removed")


def play(record, trouble):
    """Return whether the acknowledged configuration is still read back."""
    fleet = local.Fleet(record, local.SMALL, durable=4)
    *core, new = fleet.machines
    old, lost = core[2], core[0]
    routes = [local.make_route("/look/", "svc-app", "idempotent")]
    try:
        for machine in core:
            machine.start()
        first = local.make_document(3, routes)
        if local.put(record, core, first, 12) is None:
            raise local.NotRunError("the first configuration was refused")
        time.sleep(4)
        new.start(is_first=False)
        time.sleep(TOGETHER_S)
        _end_planned(old)
        up = [machine for machine in fleet.machines if machine is not old]
        second = local.make_document(7, routes)
        if local.put(record, up, second, 4) is None:
            raise local.NotRunError("the change got no confirmation")
        if trouble:
            lost.kill()
            lost.lose_disk()
            time.sleep(DOWN_S)
            lost.start()
        record("all machines are back")
        back = time.monotonic()
        time.sleep(local.SMALL["recovery_s"])
        while time.monotonic() < back + 2 * local.SMALL["recovery_s"]:
            if 7 in _versions_read(record, up):
                return True
            time.sleep(1)
        third = local.make_document(9, routes)
        if local.put(record, up, third, 5) is None:
            record("a further change gets no confirmation either")
        return False
    finally:
        fleet.end()


local.run_case(FOLDER, play)
