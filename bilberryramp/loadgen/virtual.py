"""Discrete event simulation of a deployment under a workload.

Entries, upstream processes, the control state machine, demand tracking and
placement are the production code; only the engines are simulated. Frames and
view changes arrive without delay. Load reports are out of date, as in
production, because an entry gets them only with the frames of an upstream.
"""

import collections
import dataclasses
import heapq
import random
from collections.abc import Callable

from bilberryramp.charts import loader
from bilberryramp.decisions.control import control_state, demand, placement
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
    effects,
    errors,
    pauses,
    quarantine,
    role_messages,
    tables,
    views,
)
from bilberryramp.decisions.upstream import (
    admission,
    engine_pauses,
    upstream_messages,
    upstream_work,
)
from bilberryramp.loadgen import (
    deployment,
    outcomes,
    virtual_engine,
    workload,
)

__all__ = [
    "Event",
    "PolicySettings",
    "VirtualRun",
    "crash_domain",
    "new_run",
    "restore_domain",
    "run",
    "submit",
]

ENTRY_COUNT = 3
DEMAND_INTERVAL_MS = 1000
# Time from the crash of an engine until control removes its upstream.
UPSTREAM_REMOVAL_DELAY_MS = 5000
REQUEST_DEADLINE_MS = 60_000
UNBOUNDED_MEMORY_MIB = 10**9
WALL_CLOCK_MS = 1_000_000  # constant wall-clock time of all requests


@dataclasses.dataclass(slots=True, frozen=True)
class PolicySettings:
    """Routing, placement, queueing and retry policies of a virtual run.

    Attributes
    ----------
    routing
        Name of the routing policy, a key of `routing.POLICIES`.
    follow_demand
        Whether the number of replicas follows demand. If not, the initial
        placement stays, with spare memory filled evenly with more replicas.
    fair_queues
        Whether queues divide the slots between pools by their shares.
    by_priority
        Whether queues order requests by priority.
    demote_late
        Whether queues put late requests last. A request is late if it is
        still queued when its first token is due.
    retry_ratio, retry_burst
        Retry budget of an entry, as in `entry_state.EntrySettings`.
    demand_cfg
        Settings of the demand tracker; None for those of the deployment.
    unbounded_memory
        Whether engines have memory for every model, and all of them hold
        every model. The outcome is an upper bound for the other policies.
    """

    routing: str = "affinity"
    follow_demand: bool = True
    fair_queues: bool = True
    by_priority: bool = True
    demote_late: bool = True
    retry_ratio: float = 0.1
    retry_burst: float = 20.0
    demand_cfg: demand.DemandSettings | None = None
    unbounded_memory: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """Fault or change of the tables at a time of a virtual run.

    Attributes
    ----------
    at_s
        Time of the event, in seconds from the start of the run.
    action
        Callback that takes the run and modifies it in place.
    """

    at_s: float
    action: Callable[["VirtualRun"], None]


@dataclasses.dataclass(slots=True)
class VirtualRun:
    """State of a run in virtual time.

    Attributes
    ----------
    spec
        Hardware, tables and limits of the deployment.
    policy
        Policies of the run.
    control
        State machine of the control replicas; its view is shared by all
        entries and upstream processes.
    engines
        Engines by upstream identifier.
    entries
        The entries.
    tally
        Counts and latencies of the requests.
    demand_tracker
        Demand and target number of replicas of each model.
    suspect_chart
        Bound ``suspect`` chart, for changes of `control`.
    rng
        Random number generator that picks the entry of each request.
    now_ms
        Virtual time in milliseconds from the start of the run.
    last_serial
        Last serial number used for events, requests and submissions.
    active_loads
        Number of model loads in progress from the weight store.
    event_queue
        Heap of (time in milliseconds, serial number, callback, argument).
    arrivals
        Workload requests in progress by request identifier.
    """

    spec: deployment.Deployment
    policy: PolicySettings
    control: control_state.ControlState
    engines: dict[str, virtual_engine.Engine]
    entries: list[entry_state.Entry]
    tally: outcomes.Outcomes
    demand_tracker: demand.DemandTracker
    suspect_chart: charting.Chart
    rng: random.Random
    now_ms: float = 0.0
    last_serial: int = 0
    active_loads: int = 0
    event_queue: list[tuple] = dataclasses.field(default_factory=list)
    arrivals: dict[str, workload.Arrival] = dataclasses.field(
        default_factory=dict
    )


def new_run(
    spec: deployment.Deployment,
    policy: PolicySettings,
    load: workload.Workload,
    seed: int,
) -> VirtualRun:
    """Create a run with the initial placement loaded.

    Parameters
    ----------
    spec
        Hardware, tables and limits of the deployment.
    policy
        Policies of the run.
    load
        The workload, which has the latency targets.
    seed
        Seed of the random choices of the entries and of the policies.

    Returns
    -------
    VirtualRun
        A run at time 0, without requests.
    """
    control = control_state.ControlState()
    rng = random.Random(seed)
    chart = charting.bind(
        loader.load("request"), entry_calls.guards, entry_calls.actions
    )
    entries = [
        entry_state.Entry(
            cfg=entry_state.EntrySettings(
                f"e{number}",
                policy.routing,
                retry_ratio=policy.retry_ratio,
                retry_burst=policy.retry_burst,
            ),
            chart=chart,
            rng=random.Random(f"{seed}/e{number}"),
            view=control.view,
            policy=routing.make_policy(policy.routing),
            index=route_index.RouteIndex(control.view),
            fresh=True,
        )
        for number in range(ENTRY_COUNT)
    ]
    demand_tracker = demand.DemandTracker(policy.demand_cfg or spec.demand_cfg)
    tally = outcomes.new_outcomes(load)
    suspect_chart = charting.bind(
        loader.load("suspect"), quarantine.guards, quarantine.actions
    )
    sim = VirtualRun(
        spec,
        policy,
        control,
        {},
        entries,
        tally,
        demand_tracker,
        suspect_chart,
        rng,
    )
    for group in spec.groups:
        _add_engines(sim, group)
    submit(sim, spec.tables)
    _update_placement(sim, instant=True)
    if not policy.unbounded_memory:
        _fill_spare_memory(sim)
    sim.tally.moves = 0
    return sim


def run(
    sim: VirtualRun, load: workload.Workload, seed: int, events=()
) -> outcomes.Outcomes:
    """Run a workload until all of its requests have ended.

    Parameters
    ----------
    sim
        A run created by `new_run`. Modified in place.
    load
        The workload that was given to `new_run`.
    seed
        Seed of the random arrivals and sizes.
    events
        Faults and changes of the tables during the run, in any order.

    Returns
    -------
    Outcomes
        Counts and latencies of the requests, grouped by pool.
    """
    for arrival in workload.arrivals(load, seed):
        _schedule(sim, arrival.at_s * 1e3, _start_call, arrival)
    for event in events:
        _schedule(sim, event.at_s * 1e3, lambda r, e: e.action(r), event)
    _schedule(sim, DEMAND_INTERVAL_MS, _update_demand, load.duration_s * 1e3)
    while sim.event_queue:
        sim.now_ms, _, action, argument = heapq.heappop(sim.event_queue)
        action(sim, argument)
    return sim.tally


def submit(sim: VirtualRun, new_tables) -> None:
    """Submit new tables to control.

    Parameters
    ----------
    sim
        The run. Modified in place.
    new_tables
        The tables that replace those in force.

    Raises
    ------
    errors.BilberryError
        If control refuses the tables.
    """
    sim.last_serial += 1
    command = commands.SubmitTables(
        f"s{sim.last_serial}", "run", sim.control.view.version, new_tables
    )
    result = _commit(sim, command)
    if isinstance(result, commands.SubmitRefused):
        problem = result.problems[0]
        raise errors.BilberryError(f"control refused the tables: {problem}")


def crash_domain(sim: VirtualRun, domain: str) -> None:
    """Crash every engine of a failure domain.

    Parameters
    ----------
    sim
        The run. Modified in place.
    domain
        Name of the failure domain.
    """
    for upstream_id, engine in sim.engines.items():
        upstream = engine.state.upstream
        if upstream.failure_domain != domain:
            continue
        virtual_engine.update_work_done(engine, sim.now_ms)
        engine.is_up = engine.state.engine_up = False
        engine.resident.clear()
        for attempt_id in list(engine.jobs):
            _end_attempt(sim, engine, attempt_id, crashed=True)
        command = commands.RemoveUpstream(upstream_id, upstream.incarnation)
        removal_ms = sim.now_ms + UPSTREAM_REMOVAL_DELAY_MS
        _schedule(sim, removal_ms, _remove_upstream, command)


def restore_domain(sim: VirtualRun, domain: str) -> None:
    """Restart every engine of a failure domain, without resident models.

    Parameters
    ----------
    sim
        The run. Modified in place.
    domain
        Name of the failure domain.
    """
    for engine in sim.engines.values():
        if engine.state.upstream.failure_domain == domain:
            engine.is_up = engine.state.engine_up = True
            _commit(sim, commands.JoinUpstream(engine.state.upstream))
    _update_placement(sim)


def _remove_upstream(sim: VirtualRun, command) -> None:
    """Remove a crashed engine's upstream and place its replicas elsewhere."""
    _commit(sim, command)
    _update_placement(sim)


def _schedule(
    sim: VirtualRun, due_ms: float, action: Callable, argument
) -> None:
    """Schedule a call of ``action(sim, argument)`` at a virtual time."""
    sim.last_serial += 1
    heapq.heappush(
        sim.event_queue, (due_ms, sim.last_serial, action, argument)
    )


# Control: tables, placement and model loads.


def _commit(sim: VirtualRun, command):
    """Apply a command to the control state machine and return its result."""
    entry = control_state.Entry(1, sim.control.view.index + 1, command)
    return control_state.apply(sim.control, entry, sim.suspect_chart)


def _add_engines(sim: VirtualRun, group: deployment.EngineGroup) -> None:
    unbounded = sim.policy.unbounded_memory
    memory_mib = UNBOUNDED_MEMORY_MIB if unbounded else group.memory_mib
    domains = group.failure_domains
    pause_chart = charting.bind(
        loader.load("upstream_pause"), pauses.guards, pauses.actions
    )
    for number in range(group.engines):
        upstream = views.Upstream(
            f"{group.service}-{number}",
            "a",
            "",
            group.service,
            views.UpstreamKind.ENGINE,
            domains[number % len(domains)],
            group.accelerators,
            memory_mib,
            sim.spec.speed.slots,
        )
        queue = admission.new_queue(
            sim.spec.queue_limit,
            sim.spec.speed.slots,
            sim.policy.fair_queues,
            sim.policy.by_priority,
            sim.policy.demote_late,
        )
        state = upstream_work.UpstreamState(
            upstream,
            sim.control.view,
            queue,
            None,
            engine_pauses.new_engine_pause(pause_chart, upstream.upstream_id),
        )
        state.fresh = state.engine_up = True
        engine = virtual_engine.Engine(state, sim.spec.speed)
        sim.engines[upstream.upstream_id] = engine
        _commit(sim, commands.JoinUpstream(upstream))


def _update_placement(sim: VirtualRun, instant: bool = False) -> None:
    """Place replicas by demand; loads take no time if ``instant`` is set."""
    view = sim.control.view
    targets, spares = {}, 0
    if sim.policy.unbounded_memory:
        max_replicas = len(sim.engines)
        targets = {r.model: max_replicas for r in view.tables.routes}
    elif sim.policy.follow_demand:
        targets = {m: d.replicas for m, d in sim.demand_tracker.models.items()}
        free_loads = sim.spec.loads_at_once - sim.active_loads
        spares = 0 if instant else max(free_loads, 0)
    changes = placement.plan(view, _resident(sim), targets, spares)
    for change in list(changes):
        _commit(sim, change)
        _start_loads(sim, change.upstream_id, instant)


def _fill_spare_memory(sim: VirtualRun) -> None:
    """Place spare replicas until no more fit into the engines' memory."""
    view = sim.control.view
    while True:
        changes = list(
            placement.plan(view, _resident(sim), max_spares=len(sim.engines))
        )
        if not changes:
            return
        for change in changes:
            _commit(sim, change)
            _start_loads(sim, change.upstream_id, instant=True)


def _resident(sim: VirtualRun) -> dict:
    """Return the placed and resident replicas of each engine, by model."""
    return {
        upstream_id: {
            replica.model: replica
            for replica in _placed_replicas(sim, upstream_id)
            if replica.model in engine.resident
        }
        for upstream_id, engine in sim.engines.items()
    }


def _placed_replicas(sim: VirtualRun, upstream_id: str):
    assignment = sim.control.view.placements.get(upstream_id)
    return assignment.replicas if assignment else ()


def _start_loads(sim: VirtualRun, upstream_id: str, instant: bool) -> None:
    """Evict models that are not placed on an engine and load the others."""
    engine = sim.engines[upstream_id]
    wanted_models = {
        replica.model for replica in _placed_replicas(sim, upstream_id)
    }
    engine.resident &= wanted_models
    for model in sorted(wanted_models - engine.resident - engine.loading):
        sim.tally.moves += 1
        if instant:
            engine.resident.add(model)
            continue
        engine.loading.add(model)
        sim.active_loads += 1
        slowdown = max(sim.active_loads / sim.spec.loads_at_once, 1.0)
        done_ms = sim.now_ms + sim.spec.load_s * slowdown * 1e3
        _schedule(sim, done_ms, _finish_load, (upstream_id, model))


def _finish_load(sim: VirtualRun, load: tuple[str, str]) -> None:
    """Make a loaded model resident if it is still placed on the engine."""
    upstream_id, model = load
    engine = sim.engines[upstream_id]
    engine.loading.discard(model)
    sim.active_loads -= 1
    wanted_models = {
        replica.model for replica in _placed_replicas(sim, upstream_id)
    }
    if engine.is_up and model in wanted_models:
        engine.resident.add(model)


def _update_demand(sim: VirtualRun, until_ms: float) -> None:
    """Update the demand by the requests in progress, then the placement."""
    busy: collections.Counter = collections.Counter()
    for engine in sim.engines.values():
        for attempt in engine.state.attempts.values():
            busy[attempt.dispatch.model] += 1
    for entry in sim.entries:
        for call in entry.calls.values():
            if not call.attempt_id:
                busy[call.route.model] += 1
    demand.update_targets(
        sim.demand_tracker,
        int(sim.now_ms),
        sim.control.view.tables,
        busy,
        len(sim.engines),
    )
    if sim.policy.follow_demand:
        _update_placement(sim)
    if sim.now_ms < until_ms:
        _schedule(
            sim, sim.now_ms + DEMAND_INTERVAL_MS, _update_demand, until_ms
        )


# Requests: entries and upstream processes.


def _start_call(sim: VirtualRun, arrival: workload.Arrival) -> None:
    """Send a request of the workload to a random entry."""
    sim.last_serial += 1
    request_id = f"r{sim.last_serial}"
    sim.arrivals[request_id] = arrival
    outcomes.record_offered(sim.tally, *_pool_and_urgency(sim, arrival.model))
    request = entry_messages.CallerRequest(
        request_id=request_id,
        model=arrival.model,
        method="POST",
        path="/v1/completions",
        body=b"",
        idempotency_key="",
        repeat_never=False,
        deadline_ms=REQUEST_DEADLINE_MS,
        fingerprint=request_id,
        affinity_key=f"{arrival.model}/{arrival.prefix}",
        tokens=arrival.prompt_tokens + arrival.answer_tokens,
        traceparent="",
    )
    entry = sim.rng.choice(sim.entries)
    message = entry_messages.CallArrived(request, WALL_CLOCK_MS)
    _step_entry(sim, entry, message)


def _pool_and_urgency(sim: VirtualRun, model: str) -> tuple[str, bool]:
    """Return the pool of a model's route, and whether the route is urgent."""
    route = route_index.model_route(sim.entries[0].index, model)
    if route is None:
        return "", False
    return route.pool, route.priority == tables.Priority.URGENT


def _step_entry(sim: VirtualRun, entry, message) -> None:
    step_effects = entry_calls.step(entry, int(sim.now_ms), message)
    for effect in list(step_effects):
        _perform_entry_effect(sim, entry, effect)


def _perform_entry_effect(sim: VirtualRun, entry, effect) -> None:
    if isinstance(effect, effects.Send):
        _send_to_engine(sim, entry, effect)
    elif isinstance(effect, effects.SetTimer):
        fired = role_messages.TimerFired(effect.key, effect.token)
        _schedule(sim, effect.due_ms, _fire_entry_timer, (entry, fired))
    elif isinstance(effect, role_messages.SendCommand):
        result = _commit(sim, effect.command)
        answer = role_messages.CommandAnswered(effect.command_id, result)
        _step_entry(sim, entry, answer)
    elif isinstance(effect, entry_messages.CallEnded):
        _record_failure(sim, effect)


def _fire_entry_timer(sim: VirtualRun, timer: tuple) -> None:
    entry, fired = timer
    if fired.key in entry.calls:
        _step_entry(sim, entry, fired)


def _record_failure(sim: VirtualRun, ended: entry_messages.CallEnded) -> None:
    """Record the outcome of an ended call unless it was answered."""
    sim.arrivals.pop(ended.request_id, None)
    if ended.failure is None:
        return
    if ended.failure.outcome == errors.Outcome.NOT_RUN:
        sim.tally.refused += 1
    else:
        sim.tally.failed += 1


def _send_to_engine(sim: VirtualRun, entry, send: effects.Send) -> None:
    engine = sim.engines[send.to]
    frame = send.message
    if isinstance(frame, call_messages.Dispatch):
        refusal = _check_resident(engine, frame)
        if refusal is not None:
            refused = call_messages.Refused(
                frame.attempt_id,
                refusal,
                0,
                upstream_work.current_load(engine.state),
            )
            arrived = entry_messages.FrameArrived(send.to, refused)
            _step_entry(sim, entry, arrived)
            return
    sender = entry.cfg.name
    message = upstream_messages.FrameArrived(sender, frame)
    _step_engine(sim, engine, message)


def _check_resident(
    engine: virtual_engine.Engine, frame
) -> errors.CallFailure | None:
    """Return a failure if a running engine does not hold the model."""
    if engine.is_up and frame.model not in engine.resident:
        code = errors.FailureCode.NOT_RESIDENT
        return errors.call_failure(code, "the model is not resident")
    return None


def _step_engine(
    sim: VirtualRun, engine: virtual_engine.Engine, message
) -> None:
    step_effects = upstream_work.step(engine.state, int(sim.now_ms), message)
    for effect in list(step_effects):
        if isinstance(effect, effects.Send):
            entry = sim.entries[int(effect.to[1:])]
            upstream_id = engine.state.upstream.upstream_id
            arrived = entry_messages.FrameArrived(upstream_id, effect.message)
            _step_entry(sim, entry, arrived)
        elif isinstance(effect, upstream_messages.StartRun):
            _start_attempt(sim, engine, effect)
        elif isinstance(effect, upstream_messages.CancelRun):
            if effect.attempt_id in engine.jobs:
                virtual_engine.update_work_done(engine, sim.now_ms)
                _end_attempt(sim, engine, effect.attempt_id, cancelled=True)
        elif isinstance(effect, effects.SetTimer):
            fired = role_messages.TimerFired(effect.key, effect.token)
            _schedule(sim, effect.due_ms, _fire_engine_timer, (engine, fired))


def _fire_engine_timer(sim: VirtualRun, timer: tuple) -> None:
    engine, fired = timer
    attempt_id = fired.key.removeprefix(upstream_work.QUEUE_TIMER_PREFIX)
    if attempt_id in engine.state.attempts:
        _step_engine(sim, engine, fired)


# Engines: running attempts and their tokens.


def _start_attempt(sim: VirtualRun, engine, attempt) -> None:
    arrival = sim.arrivals[attempt.dispatch.request_id]
    virtual_engine.start_job(engine, sim.now_ms, arrival, attempt)
    _schedule_next_event(sim, engine)


def _schedule_next_event(sim: VirtualRun, engine) -> None:
    """Schedule the next token of an engine; earlier events are obsolete."""
    due_ms = virtual_engine.next_event_ms(engine, sim.now_ms)
    if due_ms is not None:
        _schedule(
            sim,
            due_ms,
            _process_engine_event,
            (engine, engine.schedule_version),
        )


def _process_engine_event(sim: VirtualRun, event: tuple) -> None:
    engine, schedule_version = event
    if schedule_version != engine.schedule_version:
        return
    job = virtual_engine.process_next_event(engine, sim.now_ms)
    if job is None:
        _schedule_next_event(sim, engine)
        return
    _record_answer(sim, job)
    _end_attempt(sim, engine, job.attempt.dispatch.attempt_id)


def _record_answer(sim: VirtualRun, job: virtual_engine.Job) -> None:
    first_token_ms = job.first_token_ms - job.arrival.at_s * 1e3
    tokens = max(job.arrival.answer_tokens, 1)
    between_tokens_ms = (sim.now_ms - job.first_token_ms) / tokens
    pool, urgent = _pool_and_urgency(sim, job.arrival.model)
    outcomes.record_answered(
        sim.tally, pool, first_token_ms, between_tokens_ms, urgent
    )


def _end_attempt(sim, engine, attempt_id, crashed=False, cancelled=False):
    """Remove a job and report its end to the entry and the upstream."""
    job = engine.jobs.pop(attempt_id)
    sender = job.attempt.sender
    entry = sim.entries[int(sender[1:])]
    failure = None
    if crashed or cancelled:
        code = errors.FailureCode.ENGINE_CRASHED
        unknown = errors.Outcome.UNKNOWN
        failure = errors.call_failure(code, "the engine crashed", unknown)
    else:
        upstream_id = engine.state.upstream.upstream_id
        answer_head = call_messages.AnswerHead(attempt_id, 200, "text/plain")
        arrived = entry_messages.FrameArrived(upstream_id, answer_head)
        _step_entry(sim, entry, arrived)
    _schedule_next_event(sim, engine)
    run_ended = upstream_messages.RunEnded(attempt_id, 0, failure, crashed)
    _step_engine(sim, engine, run_ended)
