"""A small model of an engine with continuous batching.

All requests present advance at one shared speed, which falls with their
number; recent prompt beginnings make prefill shorter.
"""

import collections
import dataclasses
import heapq

from bilberryramp.decisions.upstream import upstream_messages, upstream_work
from bilberryramp.loadgen import deployment, workload

__all__ = ["Engine", "Job", "advance", "catch_up", "next_due_ms", "start"]


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
    start: upstream_messages.StartRun
    first_at: float
    done_at: float
    first_ms: float = -1.0


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
        Until when `work` was counted.
    turn
        Outdates events that were planned before the crowd changed.
    """

    state: upstream_work.UpstreamState
    speed: deployment.EngineSpeed
    up: bool = True
    loading: set[str] = dataclasses.field(default_factory=set)
    held: set[str] = dataclasses.field(default_factory=set)
    prefixes: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    jobs: dict[str, Job] = dataclasses.field(default_factory=dict)
    due: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    work: float = 0.0
    seen_ms: float = 0.0
    turn: int = 0


def start(
    engine: Engine,
    now_ms: float,
    arrival: workload.Arrival,
    run: upstream_messages.StartRun,
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
    catch_up(engine, now_ms)
    speed = engine.speed
    prefill_s = arrival.prompt_tokens / speed.prefill_tokens_per_s
    if _prefix_hit(engine, arrival):
        prefill_s *= speed.cached_prefill
    first_at = engine.work + prefill_s
    answer_s = arrival.answer_tokens * speed.between_tokens_ms / 1e3
    job = Job(arrival, run, first_at, first_at + answer_s)
    attempt_id = run.dispatch.attempt_id
    engine.jobs[attempt_id] = job
    heapq.heappush(engine.due, (job.first_at, attempt_id))
    heapq.heappush(engine.due, (job.done_at, attempt_id))


def catch_up(engine: Engine, now_ms: float) -> None:
    """Count the work done until now.

    Parameters
    ----------
    engine
        Changed in place.
    now_ms
        Time in milliseconds.
    """
    passed_s = (now_ms - engine.seen_ms) / 1e3
    if engine.jobs:
        engine.work += passed_s / _slowdown(engine)
    engine.seen_ms = now_ms


def next_due_ms(engine: Engine, now_ms: float) -> float | None:
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
    engine.turn += 1
    while engine.due and engine.due[0][1] not in engine.jobs:
        heapq.heappop(engine.due)
    if not engine.due:
        return None
    left_s = max(engine.due[0][0] - engine.work, 0.0)
    return now_ms + left_s * _slowdown(engine) * 1e3


def advance(engine: Engine, now_ms: float) -> Job | None:
    """Carry out the event that is due.

    Parameters
    ----------
    engine
        Changed in place.
    now_ms
        Time in milliseconds, as `next_due_ms` told.

    Returns
    -------
    Job or None
        The request whose last token came; None after a first token.
    """
    catch_up(engine, now_ms)
    due_work, attempt_id = heapq.heappop(engine.due)
    engine.work = max(engine.work, due_work)
    job = engine.jobs[attempt_id]
    if job.first_ms >= 0:
        return job
    job.first_ms = now_ms
    return None


def _prefix_hit(engine: Engine, arrival: workload.Arrival) -> bool:
    key = (arrival.model, arrival.prefix)
    hit = key in engine.prefixes
    engine.prefixes[key] = None
    engine.prefixes.move_to_end(key)
    if len(engine.prefixes) > engine.speed.cached_prefixes:
        engine.prefixes.popitem(last=False)
    return hit


def _slowdown(engine: Engine) -> float:
    crowd = max(len(engine.jobs) - 1, 0)
    return 1.0 + engine.speed.crowding * crowd
