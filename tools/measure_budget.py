"""Measure repeats at a service whose upstreams fail or ask for pauses.

Three nodes with disks serve one plain service of three upstreams, which this
program plays. Callers send 50 requests a second on an idempotent route. For
each form of trouble the table gives, as far as it applies: the requests that
reached an upstream within a pause that it had asked the node for, from 0.5 s
after its answer on, and the most in one pause (bound 2), where answers within
a pause extend it; the arrivals beyond
the first of each request in the window with the largest excess, and its bound;
the answers by status, and the share served, with the median and the 99th
percentile of their durations. Answers and durations are those of requests sent
during the trouble.

Some forms alone: ``--forms=pause-one,error-500``.
"""

import asyncio
import collections
import dataclasses
import functools
import pathlib
import random
import statistics
import tempfile
from collections.abc import Callable

import aiohttp
from absl import app, flags

from bilberryramp.platform import standins
from bilberryramp.soak import (
    engine_troubles,
    local_fleet,
    observations,
    repeats,
    run,
)

_FORMS = flags.DEFINE_list("forms", [], "Forms to play; empty: all.")
_SECONDS = flags.DEFINE_float("seconds", 16.0, "Duration of the trouble.")
_RATE = flags.DEFINE_float("rate", 50.0, "Requests per second.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of callers and upstreams.")
_SLOT = flags.DEFINE_integer("slot", 40, "Selects the loopback addresses.")
_LOGS = flags.DEFINE_string("logs", "", "Folder to keep settings and logs in.")

NODE_COUNT = 3
UPSTREAM_COUNT = 3
# As in the settings of the stand-ins.
LIMITS = repeats.Limits(ratio=0.2, slack=60, window_ms=10_000)
MAX_ATTEMPTS = 3
# Share of the requests that failing upstreams fail.
ERROR_SHARE = 0.5
RETRY_AFTER = ("4",)
SETTLE_S = 4.0
# Duration of the requests before the trouble; fills the first windows.
CALM_S = 10.0
# Time from the start of the trouble to the first fault of a node.
FAULT_DELAY_MS = 3000
KILL_MS = 300
_Kind = observations.FaultKind


@dataclasses.dataclass(slots=True, frozen=True)
class Form:
    """Form of trouble to play.

    Attributes
    ----------
    upstreams
        Number of upstreams in trouble.
    make_trouble
        Function of the fleet and a random generator that returns a
        `choose_trouble` of an upstream.
    faults
        Faults of nodes, with times from the start of the trouble.
    max_attempts
        Number of upstreams that may run a request.
    """

    upstreams: int
    make_trouble: Callable
    faults: tuple[observations.Fault, ...] = ()
    max_attempts: int = MAX_ATTEMPTS


def pausing(share, says_not_executed, fleet, rng):
    return engine_troubles.make_pauses(
        fleet.record,
        local_fleet.now_ms,
        rng,
        share,
        says_not_executed,
        lambda _rng: RETRY_AFTER,
    )


def failing(name, _fleet, rng):
    return engine_troubles.make_errors(rng, ERROR_SHARE, name)


def pause_form(upstreams, share=1.0, says_not_executed=True, **changes):
    make = functools.partial(pausing, share, says_not_executed)
    return Form(upstreams, make, **changes)


def error_form(name, faults=()):
    return Form(
        UPSTREAM_COUNT, functools.partial(failing, name), tuple(faults)
    )


def fault_series(kind, count, interval_ms, length_ms):
    """Make faults of the nodes in turn."""
    for number in range(count):
        from_ms = FAULT_DELAY_MS + number * interval_ms
        name = f"n{number % NODE_COUNT + 1}"
        yield observations.Fault(kind, name, from_ms, from_ms + length_ms)


FORMS = {
    "pause-one": pause_form(1),
    "pause-45%": pause_form(1, 0.45),
    "pause-all": pause_form(UPSTREAM_COUNT),
    "pause-plain": pause_form(1, says_not_executed=False, max_attempts=1),
    "error-500": error_form("500"),
    "error-reset": error_form("reset"),
    "error-refusal": error_form("refusal"),
    "stop": error_form("500", fault_series(_Kind.STOP, NODE_COUNT, 3000, 0)),
    "kill-each": error_form(
        "500", fault_series(_Kind.KILL, 2 * NODE_COUNT, 1000, KILL_MS)
    ),
    "kill-all": error_form(
        "500", fault_series(_Kind.KILL_ALL, 3, 2000, KILL_MS)
    ),
    "cut": error_form("500", fault_series(_Kind.CUT, 1, 0, 8000)),
}


def make_document(max_attempts, version):
    route = standins.make_route_fields(
        "/look/", "svc-app", kind="idempotent", maxAttempts=max_attempts
    )
    return standins.make_document_body(version, [route])


async def play(form, folder):
    """Play a form; return its history and the times of the trouble."""
    history = observations.History()
    rng = random.Random(_SEED.value)
    fleet = local_fleet.make_fleet(
        _SLOT.value,
        folder,
        history.events.append,
        core=NODE_COUNT,
        others=0,
        model_count=0,
        plain_count=UPSTREAM_COUNT,
    )
    fleet.make_body = functools.partial(make_document, form.max_attempts)
    kind = dataclasses.replace(run.LOOK, max_attempts=form.max_attempts)
    try:
        await local_fleet.start_fleet(fleet)
        async with (
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0)
            ) as session,
            asyncio.TaskGroup() as group,
        ):
            for host in fleet.engines.values():
                group.create_task(
                    run.send_heartbeats(fleet, host, session, rng)
                )
            await run.submit_first_document(fleet, session)
            await asyncio.sleep(SETTLE_S)
            group.create_task(
                run.send_evenly(
                    fleet, session, rng, kind, "r", 1 / _RATE.value
                )
            )
            await asyncio.sleep(CALM_S)
            period = await make_trouble(fleet, form, rng)
            fleet.is_finished = True
    finally:
        await local_fleet.kill_programs(fleet)
    return history, period


async def make_trouble(fleet, form, rng):
    """Let upstreams be in trouble and inject the form's faults."""
    from_ms = local_fleet.now_ms()
    to_ms = from_ms + int(1000 * _SECONDS.value)
    for host in list(fleet.engines.values())[: form.upstreams]:
        host.choose_trouble = form.make_trouble(fleet, rng)
    async with asyncio.TaskGroup() as group:
        for planned in form.faults:
            fault = dataclasses.replace(
                planned,
                from_ms=from_ms + planned.from_ms,
                to_ms=from_ms + planned.to_ms,
            )
            await sleep_until(fault.from_ms)
            group.create_task(local_fleet.inject(fleet, fault))
        await sleep_until(to_ms)
    return from_ms, to_ms


async def sleep_until(at_ms):
    await asyncio.sleep(max(at_ms - local_fleet.now_ms(), 0) / 1000)


def describe_pauses(history):
    """Return the requests within pauses, and the most in one pause."""
    arrivals = repeats.arrivals_by_pair(history)
    counts = [
        repeats.count_in_pause(
            repeats.whole_pause(joined), arrivals.get(pair, ())
        )
        for pair, pauses in repeats.pauses_by_pair(history).items()
        for joined in repeats.join_pauses(pauses)
    ]
    if not counts:
        return f"{'-':>6} {'-':>4}"
    return f"{sum(counts):6} {max(counts):4}"


def describe_repeats(history):
    """Return the repeats of the worst window, and its bound."""
    sent_ms = [s.at_ms for s in history.of_class(observations.RequestSent)]
    arrivals = (
        (a.request_id, a.at_ms)
        for a in history.of_class(observations.RequestArrived)
    )
    worst = repeats.worst_window(
        sent_ms, list(repeats.find_repeats(arrivals)), LIMITS
    )
    if worst is None:
        return f"{0:7} {'-':>5}"
    return f"{worst.repeats:7} {worst.bound:5.0f}"


def describe_answers(history, period):
    """Return share served, median and 99th percentile in ms, and statuses."""
    sent_ms = {
        s.request_id: s.at_ms
        for s in history.of_class(observations.RequestSent)
        if period[0] <= s.at_ms < period[1]
    }
    answers = [
        a
        for a in history.of_class(observations.AnswerReceived)
        if a.request_id in sent_ms
    ]
    statuses = collections.Counter(a.status for a in answers)
    durations_ms = [
        a.at_ms - sent_ms[a.request_id] for a in answers if a.status == 200
    ]
    text = f"{len(durations_ms) / len(answers):6.3f}"
    if len(durations_ms) < 2:
        text += f" {'-':>5} {'-':>5}"
    else:
        p99_ms = statistics.quantiles(durations_ms, n=100)[98]
        text += f" {statistics.median(durations_ms):5.0f} {p99_ms:5.0f}"
    counts = ", ".join(f"{s}: {n}" for s, n in sorted(statuses.items()))
    return f"{text}  {counts}"


async def measure(name):
    """Play one form and print its row."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(_LOGS.value or temporary) / name
        folder.mkdir(parents=True)
        history, period = await play(FORMS[name], folder)
    print(
        f"{name:14} {describe_pauses(history)} {describe_repeats(history)} "
        f"{describe_answers(history, period)}",
        flush=True,
    )


async def measure_all():
    print(
        f"{'form':14} {'within':>6} {'most':>4} {'repeats':>7} {'bound':>5} "
        f"{'share':>6} {'p50':>5} {'p99':>5}  answers"
    )
    for name in _FORMS.value or FORMS:
        await measure(name)


def main(_argv):
    asyncio.run(measure_all())


if __name__ == "__main__":
    app.run(main)
