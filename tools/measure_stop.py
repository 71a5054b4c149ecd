"""Measure what callers see around a planned stop of a node or an entry.

Three nodes serve one plain service of two engines, which this program plays.
60 clients, half of them at the first node, keep their connections and send
requests again and again. The first node gets a SIGTERM. A client reconnects
to its node while that accepts connections, else to another one. Some forms
play SIGHUP or a new configuration instead, and two forms the own path: the
processes of ``make demo``, 20 clients, and a SIGTERM to the only entry.

For each form the table gives, of the requests that had not ended at the
signal or began up to 6 s after it:

- ``sent``: their number.
- ``lost``: all bytes were written, and the connection ended without a whole
  answer, after an engine had begun to run the request, or later than 200 ms
  after its last byte. On the own path's streams, only the time counts.
- ``cut``: the connection ended while the client sent the request, which began
  up to 2 s after the signal; ``later``: the same for those that began later.
- ``cross``: as ``lost``, but sooner and not run.
- ``open``: without an end when the form was over.
- ``exit`` and ``code``: seconds from the signal to the exit of the process,
  and its exit code.
- the whole answers by status.

Some forms alone: ``--form=a,c``. Logs, and ``requests.jsonl`` with the times
of each request in seconds from the signal, stay in the folder of ``--logs``.
"""

import asyncio
import collections
import contextlib
import functools
import os
import pathlib
import random
import shutil
import signal
import sys
import time
import urllib.request

import aiohttp
import demo
import msgspec
import paced_clients
import yaml
from absl import app, flags

from bilberryramp.platform import standins
from bilberryramp.soak import local_fleet, run
from bilberryramp.standins import local_cluster

_FORM = flags.DEFINE_list("form", ["all"], "Forms to play.")
_LIMIT = flags.DEFINE_float("limit", 90.0, "Limit for the exit in seconds.")
_SLOT = flags.DEFINE_integer("slot", 41, "Selects the loopback addresses.")
_LOGS = flags.DEFINE_string("logs", "var/measure_stop", "Folder of the logs.")

# Time for the fleet to learn of its engines, and time with clients after that.
SETTLE_S = 4.0
CALM_S = 6.0
# Time after the signal in which requests begin, and after the exit and that
# time in which they may end.
PLAY_S = 6.0
END_S = 8.0
FORM_LIMIT_S = 180.0
SLACK_S = 0.2
CUT_S = 2.0


def make_document(form, version):
    """Make a configuration; one after the first has one more route."""
    kind = "streaming" if form.is_stream else "non_idempotent"
    names = ("/file/", "/new/")[:version]
    return standins.make_document_body(
        version,
        [standins.make_route_fields(n, "svc-app", kind=kind) for n in names],
        services=[{"name": "svc-app", "healthPath": "/h", "maxConns": 200}],
        limits={"maxBodyBytes": paced_clients.LIMIT_BYTES},
    )


@contextlib.asynccontextmanager
async def open_nodes(form, folder):
    """Start nodes and engines; stop them at the end."""
    rng = random.Random()
    fleet = local_fleet.make_fleet(
        _SLOT.value, folder, lambda _: None, core=3, others=0, model_count=0
    )
    fleet.make_body = functools.partial(make_document, form)
    # Clients connect to the nodes themselves, not to the fleet's proxies.
    addresses = [host.links[1].target for host in fleet.nodes.values()]
    control = "{}:{}".format(*fleet.nodes["n2"].links[2].target)
    try:
        await local_fleet.start_fleet(fleet)
        engines = [host.engine for host in fleet.engines.values()]
        for engine in engines:
            engine.slots = 100
            engine.unframed_every = 0
            engine.streams_plain = form.is_stream
            engine.answer_bytes = form.answer_bytes
            # A stream has three chunks; the second answer of a batch begins
            # later than `SLACK_S`.
            engine.service_time_s = (
                0.6 if form.is_stream else 0.15 * form.batch
            )
        proc = fleet.nodes["n1"].program.proc
        async with aiohttp.ClientSession() as session:
            beats = [
                asyncio.create_task(
                    run.send_heartbeats(fleet, host, session, rng)
                )
                for host in fleet.engines.values()
            ]
            await run.submit_first_document(fleet, session)
            await asyncio.sleep(SETTLE_S)
            yield paced_clients.Site(
                addresses,
                proc.pid,
                proc.wait,
                lambda: standins.submit_document(
                    session, control, make_document(form, 2)
                ),
                lambda: {i for e in engines for i in e.executed_ids},
            )
            fleet.is_finished = True
            await asyncio.gather(*beats)
    finally:
        await local_fleet.kill_programs(fleet)


@contextlib.asynccontextmanager
async def open_cluster(form, folder):
    """Start the processes of the demo; stop them at the end."""
    port = local_cluster.free_ports(1)[0]
    flags.FLAGS.entry_port = port
    cluster = local_cluster.new_cluster(folder, 1)
    try:
        with contextlib.redirect_stdout(sys.stderr):
            await asyncio.to_thread(demo.start_cluster, cluster)
        child = cluster.processes["entry-1"].child
        settings = cluster.processes["standin-ledger-1"].settings.read_text()
        url = f"http://127.0.0.1:{yaml.safe_load(settings)['port']}/runs"

        async def wait():
            while child.poll() is None:
                await asyncio.sleep(0.01)
            return child.returncode

        def list_executed():
            with urllib.request.urlopen(url, timeout=5) as answer:
                return set(msgspec.json.decode(answer.read()))

        yield paced_clients.Site(
            [("127.0.0.1", port)], child.pid, wait, None, list_executed
        )
    finally:
        await asyncio.to_thread(local_cluster.stop_all, cluster)


async def play(site, form):
    """Play a form; return the time of the signal, and describe the exit."""
    # Half of the clients are at the first node.
    homes = [0] * 20 if form.path else [0, 1, 0, 2] * 15
    clients = [
        asyncio.create_task(paced_clients.run(site, form, f"c{number}", node))
        for number, node in enumerate(homes)
    ]
    await asyncio.sleep(CALM_S)
    at_s = time.monotonic()
    if form.signum:
        os.kill(site.pid, form.signum)
    site.until_s = at_s + PLAY_S
    if form.submits:
        await site.submit()
    row = f"{'-':>6} {'-':>4}"
    if form.signum == signal.SIGTERM:
        try:
            async with asyncio.timeout(_LIMIT.value):
                code = await site.wait()
            row = f"{time.monotonic() - at_s:6.2f} {code:4}"
        except TimeoutError:
            row = f"{'>' + format(_LIMIT.value, '.0f'):>6} {'-':>4}"
    left_s = max(site.until_s - time.monotonic(), 0) + END_S
    _, late = await asyncio.wait(clients, timeout=left_s)
    for client in late:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    return at_s, row


def find_fate(sent, at_s, executed):
    if sent.status:
        return f"{sent.status}"
    if sent.ended_s == float("inf"):
        return "open"
    if sent.written_s == float("inf"):
        return "cut" if sent.begun_s <= at_s + CUT_S else "later"
    is_late = sent.ended_s - sent.written_s > SLACK_S
    return "lost" if is_late or sent.request_id in executed else "cross"


def judge(site, at_s):
    """Yield the requests that count, with fates and times from the signal."""
    executed = site.list_executed()
    for sent in site.sent:
        if sent.ended_s >= at_s:
            sent.fate = find_fate(sent, at_s, executed)
            sent.begun_s -= at_s
            sent.written_s -= at_s
            sent.ended_s -= at_s
            yield sent


async def measure(name, folder):
    """Play one form; return its row of the table."""
    form = paced_clients.FORMS[name]
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    opened = open_cluster if form.path else open_nodes
    async with opened(form, folder) as site:
        at_s, row = await play(site, form)
        counted = list(judge(site, at_s))
    lines = b"\n".join(msgspec.json.encode(sent) for sent in counted)
    (folder / "requests.jsonl").write_bytes(lines + b"\n")
    fates = collections.Counter(sent.fate for sent in counted)
    ends = [fates.pop(f, 0) for f in ("lost", "cut", "later", "cross", "open")]
    answers = ", ".join(f"{s}: {n}" for s, n in sorted(fates.items()))
    numbers = " ".join(f"{n:5}" for n in (len(counted), *ends))
    return f"{name:4} {numbers} {row}  {answers}"


async def measure_all():
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    columns = ("sent", "lost", "cut", "later", "cross", "open")
    row = " ".join(f"{column:>5}" for column in columns)
    print(f"form {row} {'exit':>6} {'code':>4}  answers", flush=True)
    for name in paced_clients.FORMS if _FORM.value == ["all"] else _FORM.value:
        try:
            async with asyncio.timeout(FORM_LIMIT_S):
                row = await measure(name, pathlib.Path(_LOGS.value) / name)
        except TimeoutError:
            row = f"{name:4} not finished within {FORM_LIMIT_S:.0f} s"
        print(row, flush=True)


def main(_argv):
    asyncio.run(measure_all())


if __name__ == "__main__":
    app.run(main)
