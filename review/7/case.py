"""Two machines are dark while two others lose their disks."""

import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common2 import local  # noqa: E402

# Time for which two machines are dark, and time after which a change is sent.
DARK_S = 7.0
CHANGE_AFTER_S = 5.0
DOWN_S = 1.3


def _version_read(record, machines):
    """Return the newest version that a machine reads back; -1 if none."""
    newest = -1
    for machine in machines:
        status, body = local.call(machine.control, "/config/get")
        version = json.loads(body)["version"] if status == 200 else None
        record(f"get at {machine.name}: {status} version {version}")
        if version is not None:
            newest = max(newest, version)
    return newest


def play(record, trouble):
    """Return whether the acknowledged configuration is still read back."""
    fleet = local.Fleet(record, local.GROWN, durable=5)
    routes = [local.make_route("/look/", "svc-app", "idempotent")]
    try:
        fleet.start()
        first = local.make_document(3, routes)
        if local.put(record, fleet.machines, first, 12) is None:
            raise local.NotRunError("the first configuration was refused")
        time.sleep(4)
        dark, up = fleet.machines[3:], fleet.machines[:3]
        if trouble:
            for machine in dark:
                machine.kill()
        dark_since = time.monotonic()
        time.sleep(CHANGE_AFTER_S)
        second = local.make_document(7, routes)
        if local.put(record, up, second, 8) is None:
            raise local.NotRunError("the change got no confirmation")
        if trouble:
            lost = fleet.machines[:2]
            for machine in lost:
                machine.kill()
                machine.lose_disk()
            time.sleep(DOWN_S)
            for machine in lost:
                machine.start()
            left_s = dark_since + DARK_S - time.monotonic()
            time.sleep(max(left_s, 0))
            for machine in dark:
                machine.start()
        record("all machines are back")
        back = time.monotonic()
        time.sleep(local.GROWN["recovery_s"])
        # The operator reads back for stableWindowMs, and longer here.
        while time.monotonic() < back + 2 * local.GROWN["recovery_s"]:
            if _version_read(record, fleet.machines) == 7:
                return True
            time.sleep(1)
        third = local.make_document(9, routes)
        local.put(record, fleet.machines, third, 5)
        return False
    finally:
        fleet.end()


local.run_case(FOLDER, play)
