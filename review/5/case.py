"""Settings change while nodes start; the signal that says so ends them."""

import asyncio
import pathlib
import signal

from bilberryramp.platform import standins
from bilberryramp.soak import processes
from review.common import fleet as fleets

# Two of seven machines, stopped and started in turn, three times.
MACHINES, TIMES = 2, 3
# From the start of the process to the change of its settings.
CHANGE_AFTER_S = 0.25
RUN_S = 4.0


async def restart(fleet, node, has_trouble: bool) -> bool:
    """Stop and start a node; return whether it ended by itself."""
    await processes.stop(node.program)
    await processes.start(node.program)
    fleet.note(f"{node.name} was stopped and started again")
    await asyncio.sleep(CHANGE_AFTER_S)
    if has_trouble:
        text = node.program.settings.read_text()
        node.program.settings.write_text(text + "# changed\n")
        processes.signal_program(node.program, signal.SIGHUP)
        fleet.note(f"the settings of {node.name} changed; it gets SIGHUP")
    await asyncio.sleep(RUN_S)
    code = node.program.proc.returncode
    if code is None:
        return False
    fleet.note(f"{node.name} ended by itself, with {code}")
    await processes.start(node.program)
    await asyncio.sleep(RUN_S)
    return True


async def case(fleet, has_trouble: bool) -> bool:
    """Restart the machines in turn, and count the ends."""
    await fleets.put_first(fleet, standins.make_document_body(10))
    await fleets.add_service(fleet, "svc-app", 1)
    await asyncio.sleep(5)
    ends = {}
    for node in fleet.nodes[-MACHINES:]:
        for _ in range(TIMES):
            ended = await restart(fleet, node, has_trouble)
            ends[node.name] = ends.get(node.name, 0) + ended
    fleet.note(f"ends by themselves: {ends}")
    return min(ends.values()) >= TIMES


if __name__ == "__main__":
    fleets.run(case, str(pathlib.Path(__file__).parent), core=3, others=4)
