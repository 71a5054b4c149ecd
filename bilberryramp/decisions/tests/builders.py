"""Builders of test data for the tests of the decisions."""

import functools
import random
import uuid

from bilberryramp.charts import loader
from bilberryramp.decisions.control import control_state
from bilberryramp.decisions.entry import (
    entry_calls,
    entry_messages,
    entry_state,
    route_index,
    routing,
)
from bilberryramp.decisions.shared import (
    call_messages,
    charting,
    commands,
    errors,
    pauses,
    quarantine,
    shutdown,
    subscription,
    tables,
    views,
)
from bilberryramp.decisions.upstream import (
    admission,
    engine_pauses,
    ledger,
    model_orders,
    upstream_messages,
    upstream_work,
)


def bind_chart(name: str, module) -> charting.Chart:
    """Bind a chart to the guards and actions of a module."""
    return charting.bind(loader.load(name), module.guards, module.actions)


def pool(name="guild-drafting", **changes) -> tables.Pool:
    """Build a pool of partner "guild" with two accelerators."""
    return tables.Pool(
        name, **({"partner": "guild", "accelerators": 2} | changes)
    )


def route(model="m1", **changes) -> tables.Route:
    """Build the route of a model, which needs 1000 MiB."""
    fields = {
        "name": f"route-{model}",
        "pool": "guild-drafting",
        "service": "drafting-desk",
        "model": model,
        "memory_mib": 1000,
    }
    return tables.Route(**(fields | changes))


def service_route(**changes) -> tables.Route:
    """Build the route of a plain service that forbids repeats."""
    fields = {
        "name": "corrections",
        "pool": "guild-drafting",
        "service": "corrections-ledger",
        "kind": tables.RouteKind.SERVICE,
        "path_prefix": "/services/corrections",
        "repeat_never": True,
    }
    return tables.Route(**(fields | changes))


def make_tables(*routes) -> tables.Tables:
    """Build tables with these routes, by default that of "m1"."""
    return tables.Tables(routes or (route(),), (pool(),))


def upstream(upstream_id="u1", **changes) -> views.Upstream:
    """Build the announcement of an engine with two accelerators."""
    fields = {
        "incarnation": f"{upstream_id}-a",
        "address": "tcp://127.0.0.1:1",
        "service": "drafting-desk",
        "kind": views.UpstreamKind.ENGINE,
        "accelerators": 2,
        "memory_mib": 4000,
    }
    return views.Upstream(upstream_id, **(fields | changes))


def place(model="m1", accelerators=(0,), memory_mib=1000):
    """Build a replica of a model with its accelerators and memory."""
    return views.ReplicaPlace(model, accelerators, memory_mib)


@functools.cache
def suspect_chart():
    """Bind the chart of requests under which upstreams were lost."""
    return bind_chart("suspect", quarantine)


def submit(
    base_version=0, submission_id="s1", submitter="ann", new_tables=None
):
    """Build the command that submits tables to control."""
    return commands.SubmitTables(
        submission_id, submitter, base_version, new_tables or make_tables()
    )


def control_state_after(*committed) -> control_state.ControlState:
    """Build the state of control after these commands."""
    state = control_state.ControlState()
    for command in committed:
        apply(state, command)
    return state


def apply(state: control_state.ControlState, command):
    """Apply a command to the state of control; return its result."""
    entry = control_state.Entry(1, state.view.index + 1, command)
    return control_state.apply(state, entry, suspect_chart())


def view_with_replicas(upstream_ids=("u1",), model="m1", **route_changes):
    """Build a view in which each upstream holds a replica of a model."""
    joins = [commands.JoinUpstream(upstream(u)) for u in upstream_ids]
    submitted = make_tables(
        route(model, replicas=len(upstream_ids), **route_changes)
    )
    places = [commands.PlaceReplicas(u, (place(model),)) for u in upstream_ids]
    return control_state_after(
        *joins, submit(new_tables=submitted), *places
    ).view


def entry(view=None, policy="least_loaded", **changes) -> entry_state.Entry:
    """Build an entry with a fresh view."""
    view = view or view_with_replicas()
    return entry_state.Entry(
        cfg=entry_state.EntrySettings("e1", policy=policy, **changes),
        chart=bind_chart("request", entry_calls),
        rng=random.Random(1),
        view=view,
        policy=routing.make_policy(policy),
        index=route_index.RouteIndex(view),
        fresh=True,
    )


def caller_request(request_id="r1", **changes) -> entry_messages.CallerRequest:
    """Build a request for model "m1" without an idempotency key."""
    fields = {
        "model": "m1",
        "method": "POST",
        "path": "/v1/completions",
        "body": b"{}",
        "idempotency_key": "",
        "repeat_never": False,
        "deadline_ms": 10_000,
        "fingerprint": "f1",
        "affinity_key": "",
        "tokens": 10,
        "traceparent": "",
    }
    return entry_messages.CallerRequest(request_id, **(fields | changes))


def keyed_request(request_id="r1", **changes) -> entry_messages.CallerRequest:
    """Build a request that has a key and must not run twice."""
    fields = {"idempotency_key": "k1", "repeat_never": True} | changes
    return caller_request(request_id, **fields)


def stored_answer() -> commands.StoredAnswer:
    """Build an answer stored by control, with bytes that are not UTF-8."""
    return commands.StoredAnswer(200, "text/plain", b"\x00\xff")


def uuid7_key(created_ms, rng) -> str:
    """Return a UUID of version 7 that was created at `created_ms`."""
    version, variant = 7 << 76, 2 << 62
    number = created_ms << 80 | version | rng.getrandbits(12) << 64
    return str(uuid.UUID(int=number | variant | rng.getrandbits(62)))


def call_arrived(
    request=None, wall_ms=1_000_000
) -> entry_messages.CallArrived:
    """Build the message for the arrival of a request at an entry."""
    return entry_messages.CallArrived(request or caller_request(), wall_ms)


def load(running=0, queued=0, slots=8) -> call_messages.Load:
    """Build the load report of an upstream."""
    return call_messages.Load(running, queued, slots)


def refused_attempt(attempt_id, code=errors.FailureCode.OVERLOADED):
    """Build the frame that refuses an attempt."""
    failure = errors.call_failure(code, "refused")
    return call_messages.Refused(attempt_id, failure, 1, load())


def paused_attempt(attempt_id, pause_ms):
    """Build the frame that refuses an attempt as the engine pauses."""
    failure = errors.CallFailure(
        errors.FailureCode.ENGINE_PAUSED,
        errors.Outcome.NOT_RUN,
        "paused",
        pause_ms,
    )
    return call_messages.Refused(attempt_id, failure, 1, load())


def broken_answer(attempt_id, crashed=False):
    """Build the frame for an attempt that failed or crashed its engine."""
    failure = errors.call_failure(
        errors.FailureCode.ENGINE_CRASHED, "broken", errors.Outcome.UNKNOWN
    )
    return call_messages.AnswerBroken(attempt_id, failure, crashed, load())


def subscriber(name="entry/e1", controls=("c1",), now_ms=0):
    """Build a process's subscription to control."""
    chart = bind_chart("config", subscription)
    return subscription.new_subscription(
        name, controls, chart, suspect_chart(), now_ms
    )


def orders(accelerators=1, memory_mib=2000, fenced=True):
    """Build the orders of an engine that has not reported yet."""
    return model_orders.new_orders(
        bind_chart("order", model_orders),
        adoption_chart(),
        ledger.Ledger(accelerators, memory_mib),
        fenced,
    )


def adoption_chart() -> charting.Chart:
    """Bind the chart of the adoption."""
    return charting.bind(
        loader.load("adoption"),
        model_orders.adoption_guards,
        model_orders.adoption_actions,
    )


def engine_reported(boot_id="boot-1", resident_places=(), requested_ms=0):
    """Build the message with the state that an engine reports."""
    report = model_orders.EngineReport(boot_id, resident_places, requested_ms)
    return upstream_messages.EngineReported(report)


def engine_pause(upstream_id="u1") -> engine_pauses.EnginePause:
    """Build the pauses of an engine that has asked for none."""
    return engine_pauses.new_engine_pause(pause_chart(), upstream_id)


@functools.cache
def pause_chart() -> charting.Chart:
    """Bind the chart of the pauses that engines ask for."""
    return bind_chart("upstream_pause", pauses)


def upstream_state(view=None, slots=2, queue_limit=4, fair=True, **changes):
    """Build an upstream process whose engine holds model "m1"."""
    announced = upstream(slots=slots, **changes)
    state = upstream_work.UpstreamState(
        upstream=announced,
        view=view or view_with_replicas(),
        queue=admission.new_queue(queue_limit, slots, fair),
        orders=orders(2, 4000),
        pause=engine_pause(),
        fresh=True,
        engine_up=True,
    )
    state.stop = shutdown.Shutdown(
        bind_chart("shutdown", shutdown),
        lambda: upstream_work.is_idle(state),
    )
    list(
        upstream_work.step(
            state, 0, engine_reported(resident_places=(place(),))
        )
    )
    return state


def dispatch(attempt_id="r1.1", **changes) -> call_messages.Dispatch:
    """Build a dispatch of an attempt to the process "u1-a"."""
    fields = {
        "request_id": attempt_id.partition(".")[0],
        "incarnation": "u1-a",
        "view_index": 1,
        "route": "route-m1",
        "pool": "guild-drafting",
        "weight": 2,
        "priority": tables.Priority.NORMAL,
        "model": "m1",
        "method": "POST",
        "path": "/v1/completions",
        "body": b"{}",
        "idempotency_key": "",
        "suspect": False,
        "budget_ms": 10_000,
        "first_token_in_ms": 430,
        "tokens": 10,
        "credit": 8,
        "traceparent": "",
    }
    return call_messages.Dispatch(attempt_id, **(fields | changes))


def apply_to_view(view: views.View, command) -> None:
    """Apply a command to a view, as if control had committed it."""
    committed = control_state.Entry(1, view.index + 1, command)
    control_state.apply_to_view(view, committed, suspect_chart())
