"""The bounded queue of an upstream, shared fairly between pools.

Start-time fair queueing in tokens: each pool advances a virtual clock by
cost over weight, and the pool that is furthest behind goes next. A pool
without work takes no part, so its share is lent to the others. Inside a
pool the order is priority, then deadline; but what can no longer begin in
time goes behind what can, or a queue that is too long once would make every
answer late from then on.

Long requests make a queue alone too slow a remedy: a pool that fills all
slots while the others are idle would keep them for as long as its requests
run. So the last few slots are kept for pools below their share.
"""

import dataclasses
import heapq

from bilberryramp.decisions.shared import tables

__all__ = [
    "ACTIVE_WINDOW_ARRIVALS",
    "Item",
    "Queue",
    "record_finish",
    "length",
    "new_queue",
    "offer",
    "remove",
    "running",
    "take",
    "pop_any",
]

# A pool without a request among this many is not kept slots for.
ACTIVE_WINDOW_ARRIVALS = 500
SLOTS_PER_RESERVED_SLOT = 12

_RANK = {
    tables.Priority.URGENT: 0,
    tables.Priority.NORMAL: 1,
    tables.Priority.CAREFUL: 2,
}


@dataclasses.dataclass(slots=True, frozen=True)
class Item:
    """Queued work.

    Attributes
    ----------
    key
        The attempt's id.
    pool, weight
        The pool it is charged to and that pool's weight.
    tokens
        Its cost.
    priority, deadline_ms
        Its order inside the pool.
    late_ms
        When it can no longer begin in time.
    """

    key: str
    pool: str
    weight: int
    tokens: int
    priority: tables.Priority
    deadline_ms: int
    start_by_ms: int


@dataclasses.dataclass(slots=True)
class _Lane:
    """One pool's work; its virtual clock counts tokens over weight."""

    virtual_time: float = 0.0
    weight: int = 1
    heap: list[tuple] = dataclasses.field(default_factory=list)
    running: int = 0
    last_arrival: int = 0


@dataclasses.dataclass(slots=True)
class Queue:
    """Waiting work of an upstream.

    Attributes
    ----------
    limit
        Most items that wait.
    fair
        False for the baseline that ignores pools.
    by_priority, late_last
        False for the baselines that ignore priorities, or keep late work
        in its order.
    slots, kept_slots
        Requests run at once, and how many of those are kept for pools
        below their share while several pools are active.
    """

    limit: int
    fair: bool = True
    by_priority: bool = True
    demote_late: bool = True
    slots: int = 1
    reserved_slots: int = 0
    lanes: dict[str, _Lane] = dataclasses.field(default_factory=dict)
    virtual_time: float = 0.0
    arrivals: int = 0


def new_queue(
    limit: int,
    slots: int,
    fair: bool = True,
    by_priority: bool = True,
    demote_late: bool = True,
) -> Queue:
    """Make an empty queue.

    Parameters
    ----------
    limit, slots, fair, by_priority, late_last
        As in `Queue`.

    Returns
    -------
    Queue
        With a twelfth of its slots kept, if it is fair.
    """
    kept = slots // SLOTS_PER_RESERVED_SLOT if fair else 0
    return Queue(limit, fair, by_priority, demote_late, slots, kept)


def length(queue: Queue) -> int:
    """Return how many items wait."""
    return sum(len(lane.heap) for lane in queue.lanes.values())


def running(queue: Queue) -> int:
    """Return how many items have started and not finished."""
    return sum(lane.running for lane in queue.lanes.values())


def offer(queue: Queue, item: Item) -> Item | None:
    """Add an item, displacing another when the queue is full.

    Parameters
    ----------
    queue
        Modified in place.
    item
        The new work.

    Returns
    -------
    Item or None
        The item that has no room: the last one of the pool that holds
        the most of the queue for its weight, possibly `item` itself.
    """
    name = item.pool if queue.fair else ""
    lane = queue.lanes.setdefault(name, _Lane())
    if not lane.heap:
        lane.virtual_time = max(lane.virtual_time, queue.virtual_time)
    lane.weight = max(item.weight, 1) if queue.fair else 1
    queue.arrivals += 1
    lane.last_arrival = queue.arrivals
    rank = _RANK[item.priority] if queue.by_priority else 0
    row = (rank, False, item.deadline_ms, queue.arrivals, item)
    heapq.heappush(lane.heap, row)
    if length(queue) <= queue.limit:
        return None
    return _evict(queue)


def take(queue: Queue, now_ms: int) -> Item | None:
    """Remove the item that goes next and count it as running.

    Parameters
    ----------
    queue
        Modified in place.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    Item or None
        None when nothing waits that may have a free slot.
    """
    free = queue.slots - running(queue)
    if free < 1:
        return None
    if queue.demote_late:
        for lane in queue.lanes.values():
            _demote_late(lane, now_ms)
    waiting = [
        (lane.virtual_time, name)
        for name, lane in queue.lanes.items()
        if lane.heap and _may_start(queue, lane, free)
    ]
    if not waiting:
        return None
    virtual_time, name = min(waiting)
    lane = queue.lanes[name]
    item = heapq.heappop(lane.heap)[-1]
    queue.virtual_time = virtual_time
    lane.virtual_time = virtual_time + item.tokens / lane.weight
    lane.running += 1
    return item


def pop_any(queue: Queue) -> Item | None:
    """Remove an item that will not run.

    Parameters
    ----------
    queue
        Modified in place.

    Returns
    -------
    Item or None
        None when nothing waits.
    """
    for lane in queue.lanes.values():
        if lane.heap:
            return heapq.heappop(lane.heap)[-1]
    return None


def record_finish(queue: Queue, pool: str) -> None:
    """Count a running item as ended.

    Parameters
    ----------
    queue
        Modified in place.
    pool
        The item's pool.
    """
    queue.lanes[pool if queue.fair else ""].running -= 1


def _may_start(queue: Queue, lane: _Lane, free: int) -> bool:
    if free < 1:
        return False
    active = [
        other
        for other in queue.lanes.values()
        if queue.arrivals - other.last_arrival < ACTIVE_WINDOW_ARRIVALS
    ]
    weights = sum(other.weight for other in active) or lane.weight
    below_share = lane.running < queue.slots * lane.weight / weights
    return below_share or free > queue.reserved_slots


def remove(queue: Queue, key: str) -> bool:
    """Remove an item by its key.

    Parameters
    ----------
    queue
        Modified in place.
    key
        The attempt's id.

    Returns
    -------
    bool
        Whether it was waiting.
    """
    for lane in queue.lanes.values():
        kept = [row for row in lane.heap if row[-1].key != key]
        if len(kept) < len(lane.heap):
            heapq.heapify(kept)
            lane.heap = kept
            return True
    return False


def _demote_late(lane: _Lane, now_ms: int) -> None:
    while lane.heap:
        rank, late, deadline_ms, arrival, item = lane.heap[0]
        if late or item.start_by_ms > now_ms:
            return
        row = (rank, True, deadline_ms, arrival, item)
        heapq.heapreplace(lane.heap, row)


def _evict(queue: Queue) -> Item:
    lane = max(
        (lane for lane in queue.lanes.values() if lane.heap),
        key=lambda lane: len(lane.heap) / lane.weight,
    )
    last = max(lane.heap)
    lane.heap.remove(last)
    heapq.heapify(lane.heap)
    return last[-1]
