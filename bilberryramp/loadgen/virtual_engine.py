"""A small model of an engine with continuous batching.

All requests present advance at one shared speed, which falls with their
number; recent prompt beginnings make prefill shorter.
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
    """A request on an engine.

    Attributes
    ----------
    first_at, done_at
        Its events, in seconds of work of an engine alone.
    first_ms
        When its first token came, in milliseconds; negative before.
    """

    arrival: workload.Arrival
    attempt: upstream_messages.StartRun
    first_token_work_s: float
    last_token_work_s: float
    first_token_ms: float = -1.0


@dataclasses.dataclass(slots=True)
class Engine:
    """An engine with its upstream process.

    Attributes
    ----------
    loading, held
        Models on their way and in memory.
    prefixes
        Recent prompt beginnings, oldest first.
    due
        Requests by the work at which their next event is due.
    work
        Work done for each request present since the start, in seconds.
    seen_ms
        Until when `work_done_s` was counted.
    turn
        Outdates events that were planned before the crowd changed.
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
    """Begin to run a request.

    Parameters
    ----------
    engine
        Changed in place.
    now_ms
        Time in milliseconds.
    arrival, run
        The request and its attempt.
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
    """Count the work done until now.

    Parameters
    ----------
    engine
        Changed in place.
    now_ms
        Time in milliseconds.
    """
    elapsed_s = (now_ms - engine.updated_ms) / 1e3
    if engine.jobs:
        engine.work_done_s += elapsed_s / _slowdown(engine)
    engine.updated_ms = now_ms


def next_event_ms(engine: Engine, now_ms: float) -> float | None:
    """Tell when the next event is due if the crowd stays as it is.

    Parameters
    ----------
    engine
        Its turn is advanced, which outdates earlier answers.
    now_ms
        Time in milliseconds, up to which work was counted.

    Returns
    -------
    float or None
        Time in milliseconds; None without requests.
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
    """Carry out the event that is due.

    Parameters
    ----------
    engine
        Changed in place.
    now_ms
        Time in milliseconds, as `next_event_ms` told.

    Returns
    -------
    Job or None
        The request whose last token came; None after a first token.
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
    key = (arrival.model, arrival.prefix)
    hit = key in engine.cached_prefixes
    engine.cached_prefixes[key] = None
    engine.cached_prefixes.move_to_end(key)
    if len(engine.cached_prefixes) > engine.speed.prefix_cache_entries:
        engine.cached_prefixes.popitem(last=False)
    return hit


def _slowdown(engine: Engine) -> float:
    other_requests = max(len(engine.jobs) - 1, 0)
    return 1.0 + engine.speed.slowdown_per_request * other_requests
