"""Simulated engine with continuous batching.

All running requests progress at the same speed, which falls as their number
grows. A prompt whose prefix is in the cache needs less time for prefill.
"""

import collections
import dataclasses
import heapq

from bilberryramp.decisions.upstream import upstream_messages, upstream_work
from bilberryramp.loadgen import deployment, workload

__all__ = [
    "Engine",
    "Job",
    "process_next_event",
    "update_work_done",
    "next_event_ms",
    "start_job",
]


@dataclasses.dataclass(slots=True)
class Job:
    """A running request on an engine.

    Attributes
    ----------
    arrival
        The request of the workload.
    attempt
        The effect that started the attempt.
    first_token_work_s, last_token_work_s
        Values of the engine's `work_done_s` at which the first and the last
        token are generated, in seconds.
    first_token_ms
        Time of the first token in milliseconds; negative until then.
    """

    arrival: workload.Arrival
    attempt: upstream_messages.StartRun
    first_token_work_s: float
    last_token_work_s: float
    first_token_ms: float = -1.0


@dataclasses.dataclass(slots=True)
class Engine:
    """An engine together with the state of its upstream process.

    Attributes
    ----------
    state
        State of the upstream process.
    speed
        Speed and concurrency of the engine.
    is_up
        Whether the engine runs; false after a crash.
    loading
        Names of the models that are being loaded.
    resident
        Names of the models in the engine's memory.
    cached_prefixes
        Keys of the prefix cache, least recently used first.
    jobs
        Running requests by attempt identifier.
    pending_events
        Heap of (work in seconds, attempt identifier): the values of
        `work_done_s` at which tokens of the jobs are due. Entries of ended
        jobs are dropped when they reach the top.
    work_done_s
        Work done on each running request since the engine started, in
        seconds that an engine with a single request would need for it.
    updated_ms
        Time at which `work_done_s` was last updated, in milliseconds.
    schedule_version
        Number of the latest scheduled event. An event with a lower number is
        obsolete, because the set of jobs has changed since it was scheduled.
    """

    state: upstream_work.UpstreamState
    speed: deployment.EngineSpeed
    is_up: bool = True
    loading: set[str] = dataclasses.field(default_factory=set)
    resident: set[str] = dataclasses.field(default_factory=set)
    cached_prefixes: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    jobs: dict[str, Job] = dataclasses.field(default_factory=dict)
    pending_events: list[tuple[float, str]] = dataclasses.field(
        default_factory=list
    )
    work_done_s: float = 0.0
    updated_ms: float = 0.0
    schedule_version: int = 0


def start_job(
    engine: Engine,
    now_ms: float,
    arrival: workload.Arrival,
    attempt: upstream_messages.StartRun,
) -> None:
    """Start a request on an engine.

    Parameters
    ----------
    engine
        The engine. Modified in place.
    now_ms
        Current time in milliseconds.
    arrival
        The request of the workload.
    attempt
        The effect that starts the attempt.
    """
    update_work_done(engine, now_ms)
    speed = engine.speed
    prefill_s = arrival.prompt_tokens / speed.prefill_tokens_per_s
    if _lookup_prefix(engine, arrival):
        prefill_s *= speed.cached_prefill_fraction
    first_token_work_s = engine.work_done_s + prefill_s
    answer_s = arrival.answer_tokens * speed.between_tokens_ms / 1e3
    job = Job(
        arrival, attempt, first_token_work_s, first_token_work_s + answer_s
    )
    attempt_id = attempt.dispatch.attempt_id
    engine.jobs[attempt_id] = job
    heapq.heappush(engine.pending_events, (job.first_token_work_s, attempt_id))
    heapq.heappush(engine.pending_events, (job.last_token_work_s, attempt_id))


def update_work_done(engine: Engine, now_ms: float) -> None:
    """Update the work that an engine has done until now.

    Parameters
    ----------
    engine
        The engine. Modified in place.
    now_ms
        Current time in milliseconds.
    """
    elapsed_s = (now_ms - engine.updated_ms) / 1e3
    if engine.jobs:
        engine.work_done_s += elapsed_s / _slowdown(engine)
    engine.updated_ms = now_ms


def next_event_ms(engine: Engine, now_ms: float) -> float | None:
    """Return when the next token is due if the set of jobs stays the same.

    Parameters
    ----------
    engine
        The engine. Modified in place: its `schedule_version` is incremented,
        which makes events scheduled earlier obsolete.
    now_ms
        Current time in milliseconds, equal to the engine's `updated_ms`.

    Returns
    -------
    float or None
        Time in milliseconds; None if the engine has no jobs.
    """
    engine.schedule_version += 1
    while (
        engine.pending_events
        and engine.pending_events[0][1] not in engine.jobs
    ):
        heapq.heappop(engine.pending_events)
    if not engine.pending_events:
        return None
    remaining_s = max(engine.pending_events[0][0] - engine.work_done_s, 0.0)
    return now_ms + remaining_s * _slowdown(engine) * 1e3


def process_next_event(engine: Engine, now_ms: float) -> Job | None:
    """Process the first or last token that is due.

    Parameters
    ----------
    engine
        The engine, which has at least one job. Modified in place.
    now_ms
        Current time in milliseconds, as returned by `next_event_ms`.

    Returns
    -------
    Job or None
        The job whose last token was generated; None after a first token.
    """
    update_work_done(engine, now_ms)
    due_work_s, attempt_id = heapq.heappop(engine.pending_events)
    engine.work_done_s = max(engine.work_done_s, due_work_s)
    job = engine.jobs[attempt_id]
    if job.first_token_ms >= 0:
        return job
    job.first_token_ms = now_ms
    return None


def _lookup_prefix(engine: Engine, arrival: workload.Arrival) -> bool:
    """Return whether a prompt's prefix is cached, and add it to the cache."""
    key = (arrival.model, arrival.prefix)
    hit = key in engine.cached_prefixes
    engine.cached_prefixes[key] = None
    engine.cached_prefixes.move_to_end(key)
    if len(engine.cached_prefixes) > engine.speed.prefix_cache_entries:
        engine.cached_prefixes.popitem(last=False)
    return hit


def _slowdown(engine: Engine) -> float:
    """Return how many times longer a request takes than on an idle engine."""
    other_requests = max(len(engine.jobs) - 1, 0)
    return 1.0 + engine.speed.slowdown_per_request * other_requests
