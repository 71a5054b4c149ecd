"""Bounded queue of an upstream with fair sharing between pools.

The queue does start-time fair queueing in tokens: each pool advances its
virtual time by cost divided by weight, and the pool with the least virtual
time runs next. A pool without work takes no part, so the others use its
share, which it does not accumulate. Items of a pool are ordered by priority,
then by deadline. Late items, those that can no longer start in time, are
ordered after the others of their priority; otherwise a single backlog would
make every later answer late.

The queue alone reacts slowly to long requests: a pool that filled all slots
while the others were idle would occupy them until its requests end. A few
slots are therefore reserved for pools below their share.
"""

import dataclasses
import heapq

from bilberryramp.decisions.shared import tables

__all__ = [
    "ACTIVE_WINDOW_ARRIVALS",
    "Item",
    "Queue",
    "length",
    "new_queue",
    "offer",
    "pop_any",
    "pop_late",
    "record_finish",
    "remove",
    "running",
    "start_next",
]

# A pool is active if one of this many latest arrivals was its own.
ACTIVE_WINDOW_ARRIVALS = 500
SLOTS_PER_RESERVED_SLOT = 12

_RANK = {
    tables.Priority.URGENT: 0,
    tables.Priority.NORMAL: 1,
    tables.Priority.CAREFUL: 2,
}


@dataclasses.dataclass(slots=True, frozen=True)
class Item:
    """An attempt that waits in the queue.

    Attributes
    ----------
    key
        Id of the attempt.
    pool, weight
        Name of the pool that the cost is charged to, and the weight of the
        pool: pools share the slots in proportion to their weights.
    tokens
        Estimated cost in tokens.
    priority, deadline_ms
        Order inside the pool: by priority, then the earlier deadline first.
        The deadline is monotonic time in milliseconds.
    start_by_ms
        Monotonic time in milliseconds at which the first token of the
        answer is due; an item that has not started by then is late.
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
    """Queued and running items of one pool; of all pools if not `fair`.

    Attributes
    ----------
    virtual_time
        Tokens of started items divided by the weight; raised to that of
        the queue when work arrives at an empty lane.
    weight
        Weight of the pool.
    heap
        Queued items as rows of (rank of the priority, whether the item is
        late, deadline, arrival number, item).
    running
        Number of items that have started and not finished.
    last_arrival
        Arrival number, counted by `Queue.arrivals`, of the latest item.
    """

    virtual_time: float = 0.0
    weight: int = 1
    heap: list[tuple] = dataclasses.field(default_factory=list)
    running: int = 0
    last_arrival: int = 0


@dataclasses.dataclass(slots=True)
class Queue:
    """State of an upstream's queue.

    Attributes
    ----------
    limit
        Maximum number of queued items.
    fair
        False for the baseline that ignores pools.
    by_priority, demote_late
        False for the baselines that ignore priorities, or that do not
        order late items last.
    slots, reserved_slots
        Number of items that may run at once, and how many of these are
        reserved for pools below their share.
    lanes
        Queued and running items by pool; a single lane if not `fair`.
    virtual_time
        Virtual time of the lane that started an item last.
    arrivals
        Number of items offered so far.
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
    """Create an empty queue.

    Parameters
    ----------
    limit, slots, fair, by_priority, demote_late
        Values of the fields of `Queue`.

    Returns
    -------
    Queue
        A queue that, if fair, reserves one of `SLOTS_PER_RESERVED_SLOT`
        slots for pools below their share.
    """
    reserved = slots // SLOTS_PER_RESERVED_SLOT if fair else 0
    return Queue(limit, fair, by_priority, demote_late, slots, reserved)


def length(queue: Queue) -> int:
    """Return the number of queued items."""
    return sum(len(lane.heap) for lane in queue.lanes.values())


def running(queue: Queue) -> int:
    """Return the number of items that have started and not finished."""
    return sum(lane.running for lane in queue.lanes.values())


def offer(queue: Queue, item: Item) -> Item | None:
    """Add an item to the queue, evicting one when the queue is full.

    Parameters
    ----------
    queue
        Modified in place.
    item
        The new item.

    Returns
    -------
    Item or None
        The evicted item: the last one of the pool with the most queued
        items per weight, possibly `item` itself. None if the queue has
        not reached its limit.
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


def start_next(queue: Queue, now_ms: int) -> Item | None:
    """Remove the next item from the queue and count it as running.

    Parameters
    ----------
    queue
        Modified in place.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    Item or None
        The removed item; None if no queued item may start now.
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
    """Remove one item, of any pool, from the queue without running it.

    Parameters
    ----------
    queue
        Modified in place.

    Returns
    -------
    Item or None
        The removed item; None if the queue is empty.
    """
    for lane in queue.lanes.values():
        if lane.heap:
            return heapq.heappop(lane.heap)[-1]
    return None


def pop_late(queue: Queue, until_ms: int) -> list[Item]:
    """Remove the items that cannot start in time after a pause.

    Parameters
    ----------
    queue
        Modified in place.
    until_ms
        Time in milliseconds before which no item starts.

    Returns
    -------
    list of Item
        The removed items: those whose deadline or first token is due by
        then.
    """
    late_items = []
    for lane in queue.lanes.values():
        kept = []
        for row in lane.heap:
            item = row[-1]
            due_ms = min(item.deadline_ms, item.start_by_ms)
            if due_ms <= until_ms:
                late_items.append(item)
            else:
                kept.append(row)
        heapq.heapify(kept)
        lane.heap = kept
    return late_items


def record_finish(queue: Queue, pool: str) -> None:
    """Free the slot of a running item that has ended.

    Parameters
    ----------
    queue
        Modified in place.
    pool
        Name of the item's pool.
    """
    queue.lanes[pool if queue.fair else ""].running -= 1


def _may_start(queue: Queue, lane: _Lane, free: int) -> bool:
    """Return whether a lane may use one of the free slots.

    A lane that runs less than its share by weight among the active pools may
    use any slot; another lane leaves the reserved slots free.
    """
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
    """Remove a queued item by its key.

    Parameters
    ----------
    queue
        Modified in place.
    key
        Id of the attempt.

    Returns
    -------
    bool
        Whether the item was queued.
    """
    for lane in queue.lanes.values():
        remaining = [row for row in lane.heap if row[-1].key != key]
        if len(remaining) < len(lane.heap):
            heapq.heapify(remaining)
            lane.heap = remaining
            return True
    return False


def _demote_late(lane: _Lane, now_ms: int) -> None:
    """Order late items after the others of their priority.

    Only the head of the heap is checked, until it is in time or all items of
    its priority are late.
    """
    while lane.heap:
        rank, late, deadline_ms, arrival, item = lane.heap[0]
        if late or item.start_by_ms > now_ms:
            return
        row = (rank, True, deadline_ms, arrival, item)
        heapq.heapreplace(lane.heap, row)


def _evict(queue: Queue) -> Item:
    """Remove the last item of the lane with the most items per weight."""
    lane = max(
        (lane for lane in queue.lanes.values() if lane.heap),
        key=lambda lane: len(lane.heap) / lane.weight,
    )
    last = max(lane.heap)
    lane.heap.remove(last)
    heapq.heapify(lane.heap)
    return last[-1]
