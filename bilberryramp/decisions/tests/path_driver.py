"""Simulation of entries, upstream processes and engines in virtual time.

Control is reduced to its state machine behind a lossy channel; the
replication of its log is tested by another simulation. The invariants
compare what callers received with what the simulated engines ran and held in
memory, not with what the processes recorded.
"""

import collections
import copy
import dataclasses
import heapq
import random

from bilberryramp.decisions.control import (
    control_state,
    demand,
    feed,
    membership,
)
from bilberryramp.decisions.entry import (
    entry_calls,
    entry_messages,
    entry_state,
    links,
)
from bilberryramp.decisions.shared import (
    call_messages,
    commands,
    effects,
    errors,
    feed_messages,
    role_messages,
    shutdown,
    subscription,
    tables,
    views,
)
from bilberryramp.decisions.tests import builders
from bilberryramp.decisions.upstream import (
    ledger,
    model_orders,
    upstream_messages,
    upstream_work,
)

CHARTS = {
    "config": builders.bind_chart("config", subscription),
    "connection": builders.bind_chart("connection", links),
    "request": builders.bind_chart("request", entry_calls),
    "adoption": builders.adoption_chart(),
    "order": builders.bind_chart("order", model_orders),
    "shutdown": builders.bind_chart("shutdown", shutdown),
}
CHUNKS_PER_ANSWER = 3
# Time after which an unanswered order ends as `UNANSWERED`.
ORDER_TIMEOUT_MS = 4000
# An unanswered order may reach the engine until then; less than the 30 s for
# which the charts "order" and "adoption" wait.
MAX_ORDER_DELAY_MS = 20_000
# Time after the start of a planned stop in which a run may still start.
NEW_WORK_GRACE_MS = 2000
# Largest error of a sum of fractions of retries.
ROUNDING = 1e-6
# Names of the upstreams that are plain services.
SERVICES = ("p1", "p2", "p3")
MODELS = ("m1", "m2", "m3", "m4")


class ViolationError(AssertionError):
    """An invariant of the system does not hold."""


@dataclasses.dataclass(slots=True)
class Engine:
    """A simulated engine with one accelerator, or a plain service.

    Attributes
    ----------
    name
        Id of its upstream.
    fenced
        Whether it rejects orders with outdated fencing tokens.
    capacity
        Memory in MiB; 0 for a plain service.
    boot_count
        Number of the current start; raised by every crash.
    turns_away_until_ms
        Time in milliseconds until which it turns requests away with 503.
    pause_until_ms
        For each incarnation of its upstream process that was asked for a
        pause, the boot count then and the end of the pause in milliseconds.
    fence
        Highest fencing token received since the last start.
    resident
        Resident replicas by model.
    """

    name: str
    fenced: bool
    capacity: int
    boot_count: int = 1
    turns_away_until_ms: float = 0
    pause_until_ms: dict = dataclasses.field(default_factory=dict)
    up: bool = True
    fence: int = 0
    resident: dict = dataclasses.field(default_factory=dict)
    runs: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Connection:
    """A connection from an entry to an upstream, with frames in flight.

    Attributes
    ----------
    number
        Unique number, by which the upstream addresses its replies.
    entry, upstream
        Names of the processes at both ends.
    incarnation
        Process of the upstream that the entry connected to.
    link
        The entry's state machine of the connection.
    opened, broken
        Whether the handshake has completed, and whether the connection has
        ended.
    to_upstream, to_entry
        Frames in flight, oldest first.
    """

    number: int
    entry: str
    upstream: str
    incarnation: str
    link: links.Link
    opened: bool = False
    broken: bool = False
    to_upstream: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    to_entry: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(slots=True)
class EntryProcess:
    """A running entry process.

    Attributes
    ----------
    entry
        State of its decisions.
    sub
        Its subscription to control.
    connections
        Current connection by upstream id.
    partitioned
        Whether it exchanges no messages with control.
    arrivals_ms
        Times at which requests arrived, oldest first.
    retries_ms
        Times at which attempts were dispatched that repeated a run.
    """

    entry: entry_state.Entry
    sub: subscription.Subscription
    connections: dict = dataclasses.field(default_factory=dict)
    partitioned: bool = False
    arrivals_ms: list = dataclasses.field(default_factory=list)
    retries_ms: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class UpstreamProcess:
    """A running upstream process.

    Attributes
    ----------
    state
        State of its decisions.
    sub
        Its subscription to control.
    runs
        For each attempt id, the `StartRun` and the number of frames sent.
    partitioned
        Whether it exchanges no messages with control.
    leaving_since_ms
        When its planned stop began, in milliseconds; None before.
    """

    state: upstream_work.UpstreamState
    sub: subscription.Subscription
    runs: dict = dataclasses.field(default_factory=dict)
    partitioned: bool = False
    leaving_since_ms: float | None = None


@dataclasses.dataclass(slots=True)
class CallerResult:
    """The answer or failure that a caller received so far.

    Attributes
    ----------
    request
        The caller's request.
    status, body
        HTTP status and body received so far.
    complete
        Whether the end of the answer was received.
    failure
        The received failure, if any.
    entry_process
        The entry process that handled the request.
    """

    request: entry_messages.CallerRequest
    status: int = 0
    body: bytes = b""
    complete: bool = False
    failure: errors.CallFailure | None = None
    entry_process: EntryProcess | None = None


class PathDriver:
    """The simulated cluster: processes, network, engines and callers.

    Actions due later are kept in `timers`; the name of an action is that of
    a method without the prefix ``on_``. Effects are performed by the methods
    in `HANDLERS`.

    Parameters
    ----------
    seed
        Seed of the random generator.
    entries, upstreams
        Number of entries and of upstreams with an engine.
    fenced
        Whether the engines check fencing tokens, assigned in rotation.
    pausing
        Whether random moves make engines turn requests away and ask for
        pauses. These are drawn apart from the others.
    losing
        Whether random moves end further engines, likewise drawn apart.
    retry_burst
        Maximum of the retry budget of an entry.

    Attributes
    ----------
    serial
        Counter from which ids and names are made unique.
    timers
        Heap of rows of (time in milliseconds, serial, action), where an
        action is a tuple of a name and arguments.
    steps
        Number of messages that the processes have handled.
    faults
        Number of injected faults by kind.
    inbox
        Messages to control as rows of (name, process, message).
    results
        `CallerResult` by request id.
    run_counts
        Number of runs on an engine by request id.
    runs_by_key
        Ids of the requests that ran, by route and idempotency key.
    ended_keyed_runs
        Complete keyed runs as rows of (upstream, process, dispatch).
    poison_requests
        Ids of the requests that crash the engine that runs them.
    turned_away
        Boot count of the engine that turned an attempt away, by attempt id.
    dispatched_ms
        Time of the dispatch by attempt id.
    """

    def __init__(
        self,
        seed,
        entries=2,
        upstreams=3,
        fenced=(True, False),
        pausing=False,
        losing=False,
        retry_burst=20.0,
    ):
        self.rng = random.Random(seed)
        self.pause_rng = random.Random(f"{seed}/pauses")
        self.pausing = pausing
        self.loss_rng = random.Random(f"{seed}/losses")
        self.losing = losing
        self.retry_burst = retry_burst
        self.now_ms = 1000
        self.serial = 0
        self.timers = []
        self.steps = 0
        self.faults = collections.Counter()
        self.control = control_state.ControlState()
        self.feed_state = feed.Feed("control")
        self.members = membership.Membership()
        self.members.tracker = demand.DemandTracker(
            demand.DemandSettings(loads_at_once=2)
        )
        self.inbox = []
        self.results = {}
        self.run_counts = collections.Counter()
        self.runs_by_key = collections.defaultdict(list)
        self.ended_keyed_runs = []
        self.poison_requests = set()
        self.turned_away = {}
        self.dispatched_ms = {}
        self.engines = {}
        self.upstreams = {}
        self.entries = {}
        self.connections = []
        for n in range(1, upstreams + 1):
            name = f"u{n}"
            engine = Engine(name, fenced[n % len(fenced)], 2000)
            self.engines[name] = engine
            self.start_upstream(name)
        for name in SERVICES:
            self.engines[name] = Engine(name, True, 0)
            self.start_upstream(name)
        for n in range(1, entries + 1):
            self.start_entry(f"e{n}")
        self.run_for(1500)
        self.submit(MODELS[:2])
        self.run_for(2500)

    # Processes.

    def unique_name(self, name):
        self.serial += 1
        return f"{name}/{self.serial}"

    def start_entry(self, name):
        sub = subscription.new_subscription(
            self.unique_name(name),
            ("control",),
            CHARTS["config"],
            builders.suspect_chart(),
            self.now_ms,
        )
        entry = builders.entry(
            sub.view, policy="power_of_two", retry_burst=self.retry_burst
        )
        entry.fresh = False
        entry.rng = random.Random(self.rng.random())
        self.entries[name] = EntryProcess(entry, sub)
        self.schedule(self.now_ms, ("heartbeat", name))

    def start_upstream(self, name):
        engine = self.engines[name]
        kind = views.UpstreamKind.ENGINE
        service = "drafting-desk"
        if name in SERVICES:
            kind, service = views.UpstreamKind.SERVICE, "corrections-ledger"
        upstream = views.Upstream(
            name, self.unique_name(name), "tcp://x", service, kind,
            failure_domain=f"d-{name}", accelerators=1 if engine.capacity
            else 0, memory_mib=engine.capacity, slots=2,
        )  # fmt: skip
        sub = subscription.new_subscription(
            self.unique_name(name),
            ("control",),
            CHARTS["config"],
            builders.suspect_chart(),
            self.now_ms,
        )
        orders = None
        if engine.capacity:
            memory_ledger = ledger.Ledger(1, engine.capacity)
            orders = model_orders.new_orders(
                CHARTS["order"],
                CHARTS["adoption"],
                memory_ledger,
                engine.fenced,
            )
        state = builders.upstream_work.UpstreamState(
            upstream,
            sub.view,
            builders.admission.new_queue(4, 2),
            orders,
            builders.engine_pause(name),
        )
        state.stop = shutdown.Shutdown(
            CHARTS["shutdown"], lambda: upstream_work.is_idle(state)
        )
        self.upstreams[name] = UpstreamProcess(state, sub)
        self.schedule(self.now_ms, ("heartbeat", name))
        self.schedule(self.now_ms, ("engine_poll", name))

    def schedule(self, due_ms, action):
        self.serial += 1
        heapq.heappush(self.timers, (due_ms, self.serial, action))

    # Time.

    def run_for(self, ms):
        """Advance the time in steps of 40 ms and deliver all frames."""
        until_ms = self.now_ms + ms
        while self.now_ms < until_ms:
            self.advance(40)
            self.deliver_all()

    def deliver_all(self):
        """Deliver frames and advance runs until nothing is in flight."""
        for _ in range(10_000):
            delivered = [c for c in self.connections if self.deliver(c)]
            if not delivered and not any(
                u.runs for u in self.upstreams.values()
            ):
                return
            for name in list(self.upstreams):
                self.advance_run(name)

    def advance(self, ms):
        """Advance the time and perform the actions that are due."""
        self.now_ms += ms
        while self.timers and self.timers[0][0] <= self.now_ms:
            _, _, action = heapq.heappop(self.timers)
            getattr(self, f"on_{action[0]}")(*action[1:])
        self.control_tick()
        self.check_memory()

    def on_heartbeat(self, name):
        process = self.entries.get(name) or self.upstreams.get(name)
        if process is None:
            return
        if name in self.upstreams:
            process.sub.report = feed_messages.UpstreamReport(
                *upstream_work.build_report(process.state)
            )
            process.sub.report_due = True
        self.process_step(name, role_messages.ResendCommands())
        for effect in subscription.on_heartbeat_due(process.sub, self.now_ms):
            self.to_control(name, process, effect.message)
        self.schedule(self.now_ms + 1000, ("heartbeat", name))

    def on_engine_poll(self, name):
        process, engine = self.upstreams.get(name), self.engines[name]
        if process is None:
            return
        if engine.up:
            resident = tuple(engine.resident.values())
            message = builders.engine_reported(
                f"boot-{engine.boot_count}", resident, self.now_ms
            )
            self.upstream_step(name, message)
        else:
            self.upstream_step(name, upstream_messages.EngineLost())
        self.schedule(self.now_ms + 500, ("engine_poll", name))

    def on_timer(self, name, owner, message_type, key, token):
        """Deliver a timer unless the process that set it has ended."""
        current = self.entries.get(name) or self.upstreams.get(name)
        if current is not owner:
            return
        if key == owner.sub.key:
            emitted = subscription.on_timer(owner.sub, self.now_ms, token)
            self.perform(name, owner, emitted)
        else:
            self.process_step(name, message_type(key, token))

    def on_late_frame(self, name, owner, upstream, frame):
        if owner is not None and self.entries.get(name) is owner:
            arrived = entry_messages.FrameArrived(upstream, frame)
            self.entry_step(name, arrived)

    def on_link_timer(self, connection, token):
        if not connection.broken:
            emitted = links.on_timer(connection.link, self.now_ms, token)
            self.perform_link_effects(connection, emitted)

    def on_order(self, name, boot_count, order, incarnation, answer):
        """Deliver an order to the engine, possibly late or repeated.

        It is refused if the engine has restarted since `boot_count`. The
        process `incarnation` gets the outcome if `answer` is set.
        """
        engine = self.engines[name]
        outcome = model_orders.OrderOutcome.CONFIRMED
        if (
            not engine.up
            or engine.boot_count != boot_count
            or engine.fenced
            and order.fence < engine.fence
        ):
            outcome = model_orders.OrderOutcome.REFUSED
        else:
            engine.fence = max(engine.fence, order.fence)
            if order.kind == model_orders.OrderKind.LOAD:
                engine.resident[order.place.model] = order.place
            else:
                engine.resident.pop(order.place.model, None)
        self.check_memory()
        if answer:
            self.on_order_answer(name, order, incarnation, outcome)

    def on_order_answer(self, name, order, incarnation, outcome):
        process = self.upstreams.get(name)
        if process and process.state.upstream.incarnation == incarnation:
            answered = upstream_messages.EngineAnswered(order, outcome)
            self.upstream_step(name, answered)

    def on_from_control(self, name, owner, message):
        process = self.entries.get(name) or self.upstreams.get(name)
        if process is not owner or process.partitioned:
            return
        if isinstance(message, feed_messages.Delta):
            emitted = subscription.on_delta(process.sub, self.now_ms, message)
        elif isinstance(message, feed_messages.FullView):
            emitted = subscription.on_full_view(process.sub, message)
        else:
            answered = role_messages.CommandAnswered(
                message.command_id, message.result
            )
            self.process_step(name, answered)
            return
        old_version = process.sub.view.version
        self.perform(name, process, emitted)
        if process.sub.view.version < old_version:
            raise ViolationError(f"{name} went back to an older version")

    # Control.

    def to_control(self, name, process, message):
        if not process.partitioned:
            self.inbox.append((name, process, message))

    def control_tick(self):
        inbox, self.inbox = self.inbox, []
        for name, process, message in inbox:
            if isinstance(message, feed_messages.Heartbeat):
                self.on_control_heartbeat(name, process, message)
            else:
                result = self.commit(message.command)
                reply = feed_messages.CommandReply(message.command_id, result)
                self.to_process(name, process, reply)
        change = self.feed_state.last_change_index
        proposed = membership.on_tick(
            self.members, self.now_ms, self.view, change
        )
        for command in list(proposed):
            self.commit(command)
        emitted = feed.on_tick(
            self.feed_state, self.now_ms, self.view, lambda _: True
        )
        self.push(emitted)

    def on_control_heartbeat(self, name, process, heartbeat):
        feed.on_heartbeat(self.feed_state, self.now_ms, heartbeat, 1)
        if heartbeat.report is not None:
            upstream_id = heartbeat.report.upstream.upstream_id
            digest = feed_messages.Digest(
                "c", (upstream_id,), (heartbeat.report,)
            )
            membership.on_digest(self.members, self.now_ms, digest)

    @property
    def view(self):
        return self.control.view

    def commit(self, command):
        entry = control_state.Entry(1, self.view.index + 1, command)
        result = control_state.apply(
            self.control, entry, builders.suspect_chart()
        )
        feed.record_applied(self.feed_state, entry, result)
        self.push(feed.push(self.feed_state))
        return result

    def push(self, emitted):
        by_name = {
            process.sub.name: (name, process)
            for name, process in (
                *self.entries.items(),
                *self.upstreams.items(),
            )
        }
        for effect in emitted:
            if effect.to in by_name:
                name, process = by_name[effect.to]
                self.to_process(name, process, copy.deepcopy(effect.message))

    def to_process(self, name, process, message):
        due_ms = self.now_ms + self.rng.choice((0, 0, 10, 30))
        self.schedule(due_ms, ("from_control", name, process, message))

    def submit(self, models):
        routes = [
            builders.route(model, replicas=3 if n == 0 else 1)
            for n, model in enumerate(models)
        ]
        submitted = builders.make_tables(*routes, builders.service_route())
        command = builders.submit(
            self.view.version, self.unique_name("s"), "ann", submitted
        )
        return self.commit(command)

    # Entries.

    def call(self, entry_name, model, key="", deadline_ms=8000, poison=False):
        self.serial += 1
        request_id = f"r{self.serial}"
        fields = {"model": model, "deadline_ms": deadline_ms}
        fields["fingerprint"] = f"f/{model}/{key or request_id}"
        if not model:
            fields |= {"path": "/services/corrections", "idempotency_key": key}
        elif key:
            fields |= {"idempotency_key": key, "repeat_never": True}
        if poison:
            fields["fingerprint"] = "f/poison"
            self.poison_requests.add(request_id)
        request = builders.caller_request(request_id, **fields)
        process = self.entries[entry_name]
        self.results[request_id] = CallerResult(request, entry_process=process)
        process.arrivals_ms.append(self.now_ms)
        wall_ms = 1_000_000 + self.now_ms
        self.entry_step(entry_name, builders.call_arrived(request, wall_ms))
        return request_id

    def entry_step(self, name, message):
        process = self.entries.get(name)
        if process is not None:
            self.steps += 1
            emitted = entry_calls.step(process.entry, self.now_ms, message)
            self.perform(name, process, emitted)

    def process_step(self, name, message):
        if name in self.entries:
            self.entry_step(name, message)
        else:
            self.upstream_step(name, message)

    def perform(self, name, process, emitted):
        for effect in list(emitted):
            handler = HANDLERS.get(type(effect))
            if handler is not None:
                handler(self, name, process, effect)

    def do_timer(self, name, process, timer):
        message_type = role_messages.TimerFired
        action = ("timer", name, process, message_type, timer.key, timer.token)
        self.schedule(timer.due_ms, action)

    def do_send(self, name, process, send):
        if name in self.upstreams:
            self.send_to_entry(name, send)
            return
        connection = process.connections.get(send.to)
        if isinstance(send.message, call_messages.Dispatch):
            self.dispatched_ms[send.message.attempt_id] = self.now_ms
            connection = self.connection_to(name, process, send.to)
        if connection is not None:
            for transmit in links.send(connection.link, send.message):
                connection.to_upstream.append(transmit.frame)

    def do_send_command(self, name, process, send):
        """Send a command to control; one in 20 is lost."""
        message = feed_messages.CommandRequest(
            process.sub.name, send.command_id, send.command
        )
        if self.rng.random() < 0.95:
            self.to_control(name, process, message)

    def do_freshness(self, name, process, change):
        update = role_messages.FreshnessUpdate(change.fresh)
        self.process_step(name, update)

    def do_view(self, name, _process, _change):
        if name in self.upstreams:
            self.upstream_step(name, upstream_messages.ViewUpdated())

    def do_head(self, _name, _process, head):
        self.results[head.request_id].status = head.status

    def do_chunk(self, _name, _process, chunk):
        self.results[chunk.request_id].body += chunk.data

    def do_end(self, _name, _process, end):
        self.results[end.request_id].complete = True

    def do_failure(self, _name, _process, failed):
        result, failure = self.results[failed.request_id], failed.failure
        result.failure = failure
        key = (route_of(result.request), result.request.idempotency_key)
        not_run = failure.outcome == errors.Outcome.NOT_RUN
        if not_run and key[1] and self.runs_by_key[key]:
            raise ViolationError(
                f"{key} has run but the caller received {failure}"
            )

    # Connections.

    def connection_to(self, name, process, upstream):
        """Return the entry's connection to an upstream, opening a new one.

        The current connection is kept while it leads to the process in the
        entry's view.
        """
        recorded = process.entry.view.upstreams[upstream]
        connection = process.connections.get(upstream)
        if (
            connection
            and not connection.broken
            and (connection.incarnation == recorded.incarnation)
        ):
            return connection
        self.serial += 1
        link = links.Link(upstream, CHARTS["connection"])
        connection = Connection(
            self.serial, name, upstream, recorded.incarnation, link
        )
        process.connections[upstream] = connection
        self.connections.append(connection)
        self.perform_link_effects(connection, links.start(link, self.now_ms))
        return connection

    def perform_link_effects(self, connection, emitted):
        process = self.entries.get(connection.entry)
        if (
            process is None
            or process.connections.get(connection.upstream) is not connection
        ):
            return
        for effect in list(emitted):
            if isinstance(effect, links.Transmit):
                connection.to_upstream.append(effect.frame)
            elif isinstance(effect, effects.SetTimer):
                self.schedule(
                    effect.due_ms, ("link_timer", connection, effect.token)
                )
            else:
                self.remove_connection(connection)
                self.entry_step(connection.entry, effect)

    def remove_connection(self, connection):
        connection.broken = True
        process = self.entries.get(connection.entry)
        if (
            process is not None
            and process.connections.get(connection.upstream) is connection
        ):
            del process.connections[connection.upstream]

    def deliver(self, connection):
        """Process the next event of a connection.

        Returns False if there is none.
        """
        if connection.broken:
            self.connections.remove(connection)
            return False
        upstream = self.upstreams.get(connection.upstream)
        if not connection.opened:
            connection.opened = upstream is not None
            event = (
                links.LinkOpened() if upstream else links.LinkDisconnected()
            )
            emitted = links.on_event(connection.link, self.now_ms, event)
            self.perform_link_effects(connection, emitted)
            return True
        if connection.to_upstream:
            frame = connection.to_upstream.popleft()
            sender = f"{connection.entry}#{connection.number}"
            arrived = upstream_messages.FrameArrived(sender, frame)
            self.upstream_step(connection.upstream, arrived)
            return True
        if connection.to_entry:
            frame = connection.to_entry.popleft()
            emitted = links.on_frame(connection.link, self.now_ms, frame)
            self.perform_link_effects(connection, emitted)
            arrived = entry_messages.FrameArrived(connection.upstream, frame)
            self.entry_step(connection.entry, arrived)
            return True
        return False

    def send_to_entry(self, upstream, send):
        number = int(send.to.partition("#")[2])
        for connection in self.connections:
            if connection.number == number and not connection.broken:
                connection.to_entry.append(send.message)

    def break_connection(self, connection):
        """Break a connection.

        Frames to the entry arrive later; up to two frames to the upstream
        arrive now and the others are lost.
        """
        if connection.broken:
            return
        process = self.entries.get(connection.entry)
        for frame in connection.to_entry:
            late_due_ms = self.now_ms + self.rng.choice((10, 100, 1000))
            action = (
                "late_frame",
                connection.entry,
                process,
                connection.upstream,
                frame,
            )
            self.schedule(late_due_ms, action)
        for _ in range(self.rng.randrange(3)):
            if (
                connection.to_upstream
                and connection.upstream in self.upstreams
            ):
                self.deliver(connection)
        emitted = links.on_event(
            connection.link, self.now_ms, links.LinkDisconnected()
        )
        self.perform_link_effects(connection, emitted)
        connection.broken = True

    # Upstream processes and engines.

    def upstream_step(self, name, message):
        process = self.upstreams.get(name)
        if process is not None:
            self.steps += 1
            emitted = upstream_work.step(process.state, self.now_ms, message)
            self.perform(name, process, emitted)

    def do_run(self, name, process, start):
        """Start a run; a poison request crashes the engine at once."""
        dispatch = start.dispatch
        engine = self.engines[name]
        if process.leaving_since_ms is not None and (
            self.now_ms - process.leaving_since_ms > NEW_WORK_GRACE_MS
        ):
            raise ViolationError(f"{name} started new work while leaving")
        self.check_pause(name, process, f"attempt {dispatch.attempt_id}")
        process.runs[dispatch.attempt_id] = [start, 0]
        if engine.up and self.now_ms < engine.turns_away_until_ms:
            self.turned_away[dispatch.attempt_id] = engine.boot_count
            return
        resident = not engine.capacity or dispatch.model in engine.resident
        if engine.up and resident:
            self.run_counts[dispatch.request_id] += 1
            if self.run_counts[dispatch.request_id] > 1:
                result = self.results[dispatch.request_id]
                dispatched_ms = self.dispatched_ms[dispatch.attempt_id]
                result.entry_process.retries_ms.append(dispatched_ms)
            if dispatch.idempotency_key:
                key = (dispatch.route, dispatch.idempotency_key)
                self.runs_by_key[key].append(dispatch.request_id)
            if dispatch.request_id in self.poison_requests:
                self.crash_engine(name)

    def advance_run(self, name, attempt_id=None):
        """Send the next frame of a run, by default of the oldest one."""
        process = self.upstreams.get(name)
        if process is None or not process.runs:
            return
        attempt_id = attempt_id or next(iter(process.runs))
        start, sent = process.runs[attempt_id]
        process.runs[attempt_id][1] += 1
        if not self.engines[name].up:
            self.end_run(name, attempt_id, sent, crashed=True)
        elif attempt_id in self.turned_away:
            self.turn_away(name, process, start, sent)
        elif sent == 0:
            head = upstream_messages.HeadArrived(attempt_id, 200, 0)
            self.upstream_step(name, head)
            frame = call_messages.AnswerHead(attempt_id, 200, "text/plain")
            self.send_to_entry(name, effects.Send(start.sender, frame))
        elif sent <= CHUNKS_PER_ANSWER:
            data = chunk_of(start.dispatch.request_id, sent - 1)
            frame = call_messages.AnswerChunk(attempt_id, sent - 1, data)
            self.send_to_entry(name, effects.Send(start.sender, frame))
        else:
            self.end_run(name, attempt_id, CHUNKS_PER_ANSWER)

    def turn_away(self, name, process, start, sent):
        """Send the next frame of an answer that asks for a pause."""
        attempt_id = start.dispatch.attempt_id
        engine = self.engines[name]
        if self.turned_away[attempt_id] != engine.boot_count:
            self.end_run(name, attempt_id, sent, crashed=True)
            return
        if sent == 0:
            pause_ms = self.pause_rng.choice((300, 1000, 4000))
            self.record_pause(engine, process, pause_ms)
            head = upstream_messages.HeadArrived(attempt_id, 503, pause_ms)
            self.upstream_step(name, head)
            frame = call_messages.AnswerHead(attempt_id, 503, "text/plain")
        elif sent == 1:
            data = turned_away_body(start.dispatch.request_id)
            frame = call_messages.AnswerChunk(attempt_id, 0, data)
        else:
            self.end_run(name, attempt_id, 1)
            return
        self.send_to_entry(name, effects.Send(start.sender, frame))

    def record_pause(self, engine, process, pause_ms):
        incarnation = process.state.upstream.incarnation
        boot_count, until_ms = engine.pause_until_ms.get(incarnation, (0, 0))
        if boot_count != engine.boot_count:
            until_ms = 0
        engine.pause_until_ms[incarnation] = (
            engine.boot_count,
            max(until_ms, self.now_ms + pause_ms),
        )

    def check_pause(self, name, process, what):
        """Check that an engine receives nothing while it wants nothing."""
        engine = self.engines[name]
        incarnation = process.state.upstream.incarnation
        boot_count, until_ms = engine.pause_until_ms.get(incarnation, (0, 0))
        if boot_count == engine.boot_count and self.now_ms < until_ms:
            raise ViolationError(
                f"{name} got {what} {until_ms - self.now_ms} ms before the "
                "end of its pause"
            )

    def end_run(
        self,
        name,
        attempt_id,
        chunks,
        crashed=False,
        cancelled=False,
        broken=False,
    ):
        process = self.upstreams[name]
        start, _ = process.runs.pop(attempt_id)
        failure = answer = None
        if crashed or cancelled or broken:
            code = errors.FailureCode.ENGINE_CRASHED
            if cancelled:
                code = errors.FailureCode.CALLER_LEFT
            elif broken:
                code = errors.FailureCode.UPSTREAM_LOST
            failure = errors.call_failure(code, "x", errors.Outcome.UNKNOWN)
        elif start.dispatch.idempotency_key:
            answer = expected_answer(start.dispatch.request_id)
            if attempt_id in self.turned_away:
                body = turned_away_body(start.dispatch.request_id)
                answer = commands.StoredAnswer(503, "text/plain", body)
            self.ended_keyed_runs.append((name, process, start.dispatch))
        ended = upstream_messages.RunEnded(
            attempt_id, chunks, failure, crashed, answer
        )
        self.upstream_step(name, ended)

    def do_cancel(self, name, process, cancel):
        if cancel.attempt_id in process.runs:
            sent = process.runs[cancel.attempt_id][1]
            self.end_run(name, cancel.attempt_id, sent, cancelled=True)

    def do_order(self, name, process, order):
        """Send an order to the engine.

        On average, 80 % of the orders are answered, 10 % are lost, and 10 %
        reach the engine late and are not answered.
        """
        engine, rng = self.engines[name], self.rng
        self.check_pause(name, process, f"order {order}")
        incarnation = process.state.upstream.incarnation
        draw = rng.random()
        boot_count = engine.boot_count
        due_ms = self.now_ms + rng.choice((10, 50, 200))
        if draw < 0.8:
            action = ("order", name, boot_count, order, incarnation, True)
            self.schedule(due_ms, action)
            return
        self.faults["order_lost" if draw < 0.9 else "order_late"] += 1
        late_due_ms = self.now_ms + rng.randrange(4000, MAX_ORDER_DELAY_MS)
        if draw >= 0.9:
            action = ("order", name, boot_count, order, incarnation, False)
            self.schedule(late_due_ms, action)
        unanswered = model_orders.OrderOutcome.UNANSWERED
        action = ("order_answer", name, order, incarnation, unanswered)
        self.schedule(self.now_ms + ORDER_TIMEOUT_MS, action)

    def do_stopped(self, name, process, _effect):
        if name in self.upstreams:
            if process.runs or process.state.attempts:
                raise ViolationError(f"{name} stopped with work in progress")
            del self.upstreams[name]

    # Faults.

    def crash_engine(self, name):
        """Crash an engine; it is up again after 3 s."""
        engine = self.engines[name]
        engine.up = False
        engine.resident.clear()
        engine.fence = 0
        engine.boot_count += 1
        self.schedule(self.now_ms + 3000, ("engine_back", name))

    def start_turning_away(self, name, ms):
        """Make an engine turn all requests away for some time."""
        self.faults["turns_away"] += 1
        self.engines[name].turns_away_until_ms = self.now_ms + ms

    def on_engine_back(self, name):
        self.engines[name].up = True

    def kill_upstream(self, name):
        process = self.upstreams.pop(name, None)
        if process is not None:
            for connection in list(self.connections):
                if connection.upstream == name:
                    self.break_connection(connection)

    def kill_entry(self, name):
        """End an entry process; its callers receive nothing more."""
        process = self.entries.pop(name, None)
        if process is not None:
            for connection in self.connections:
                connection.broken = (
                    connection.broken or connection.entry == name
                )

    def stop_upstream(self, name):
        process = self.upstreams.get(name)
        if process is not None and process.leaving_since_ms is None:
            process.leaving_since_ms = self.now_ms
            self.upstream_step(name, upstream_messages.StopRequested())

    def restart_all(self):
        """Start the processes that have ended; heal all partitions."""
        for name in ("e1", "e2"):
            if name not in self.entries:
                self.start_entry(name)
        for name in self.engines:
            process = self.upstreams.get(name)
            if process is not None and process.leaving_since_ms is not None:
                continue
            if process is None:
                self.start_upstream(name)
        for process in (*self.entries.values(), *self.upstreams.values()):
            process.partitioned = False

    # Invariants.

    def check_memory(self):
        """Check that neither residents nor reservations exceed the memory."""
        for name, engine in self.engines.items():
            used = sum(place.memory_mib for place in engine.resident.values())
            if used > engine.capacity:
                raise ViolationError(
                    f"{name} holds {used} of {engine.capacity} MiB"
                )
            process = self.upstreams.get(name)
            if (
                process
                and process.state.orders
                and process.state.orders.boot_id
            ):
                reserved = process.state.orders.ledger.reservations
                total = sum(p.memory_mib for p in reserved.values())
                if total > engine.capacity:
                    raise ViolationError(
                        f"{name} reserved {total} of {engine.capacity} MiB"
                    )

    def check_results(self):
        """Check that no key ran twice and that each result is correct."""
        for key, request_ids in self.runs_by_key.items():
            if len(request_ids) > 1:
                raise ViolationError(
                    f"{key} ran more than once: {request_ids}"
                )
        for request_id, result in self.results.items():
            self.check_result(request_id, result)

    def check_result(self, request_id, result):
        """Check the answer or failure of one request.

        A complete answer is that of the request, or of an earlier one with
        the same key. No request that ran is reported as not run.
        """
        if result.complete:
            owner = request_id
            if result.request.idempotency_key:
                owner = result.body.decode().split(":")[0]
                original = self.results.get(owner)
                key = result.request.idempotency_key
                if original is None or original.request.idempotency_key != key:
                    raise ViolationError(
                        f"{request_id} received the answer of {owner}"
                    )
            expected = expected_answer(owner).body
            if result.status == 503:
                expected = turned_away_body(owner)
            if result.body != expected:
                raise ViolationError(f"{request_id} received {result.body}")
        failure = result.failure
        reported_not_run = (
            failure and failure.outcome == errors.Outcome.NOT_RUN
        )
        if reported_not_run and self.run_counts[request_id]:
            raise ViolationError(
                f"{request_id} ran, but failed with {failure}"
            )
        if result.complete and failure:
            raise ViolationError(
                f"{request_id} has both an answer and {failure}"
            )

    def check_retry_budgets(self):
        """Check that each entry process had the retries that it sent.

        Every request adds a part of a retry, up to the burst.
        """
        results = self.results.values()
        processes = {id(r.entry_process): r.entry_process for r in results}
        for process in processes.values():
            cfg, left = process.entry.cfg, 0.0
            changes = [(ms, cfg.retry_ratio) for ms in process.arrivals_ms]
            changes += [(ms, -1.0) for ms in process.retries_ms]
            # At equal times, arrivals come first.
            for ms, change in sorted(changes, key=lambda c: (c[0], -c[1])):
                left = min(left + change, cfg.retry_burst)
                if left < -ROUNDING:
                    raise ViolationError(f"a retry too many at {ms} ms")

    def check_stored_answers(self):
        """Check that complete answers to keyed requests are recorded."""
        running_ids = [id(process) for process in self.entries.values()]
        for request_id, result in self.results.items():
            key = result.request.idempotency_key
            if not (
                key
                and result.complete
                and id(result.entry_process) in running_ids
            ):
                continue
            route = route_of(result.request)
            record = self.control.keys.records[f"{route}/{key}"]
            if record.state != "finished":
                raise ViolationError(
                    f"{request_id} was answered, its record is {record.state}"
                )

    def check_recorded_runs(self):
        """Check that ended keyed runs of live upstreams are recorded."""
        for name, process, dispatch in self.ended_keyed_runs:
            key = f"{dispatch.route}/{dispatch.idempotency_key}"
            record = self.control.keys.records.get(key)
            if self.upstreams.get(name) is not process:
                continue
            if record is None or record.request_id != dispatch.request_id:
                raise ViolationError(f"{key} has no record of its run")
            if record.state != "finished":
                raise ViolationError(
                    f"{key} ended, its record is {record.state}"
                )

    def settle_down(self):
        """Restart all processes, wait until they recover, and check."""
        self.restart_all()
        self.run_for(45_000)
        self.restart_all()
        self.run_for(8_000)
        self.check_results()
        self.check_retry_budgets()
        self.check_stored_answers()
        self.check_recorded_runs()

    def check_reachable(self):
        """Check that every model is served and that every call ends."""
        request_ids = [
            self.call("e1", route.model)
            for route in self.view.tables.routes
            if route.kind == tables.RouteKind.MODEL
        ]
        self.run_for(9000)
        for request_id in request_ids:
            if not self.results[request_id].complete:
                result = self.results[request_id]
                raise ViolationError(f"no complete answer: {result}")
        for process in self.entries.values():
            if process.entry.calls:
                raise ViolationError(
                    f"calls never ended: {list(process.entry.calls)}"
                )

    # Random moves.

    def random_move(self):
        """Perform a random step.

        The step delivers an event, advances a run or the time, starts a
        call, or injects a fault.
        """
        rng = self.rng
        if self.pausing and self.pause_rng.random() < 0.01:
            name = self.pause_rng.choice(tuple(self.engines))
            self.start_turning_away(name, self.pause_rng.choice((10, 2000)))
        if self.losing:
            self.random_loss()
        draw = rng.random()
        if draw < 0.5 and self.connections:
            self.deliver(rng.choice(self.connections))
        elif draw < 0.7:
            upstream_name = rng.choice(tuple(self.engines))
            process = self.upstreams.get(upstream_name)
            if process and process.runs:
                self.advance_run(
                    upstream_name, rng.choice(tuple(process.runs))
                )
        elif draw < 0.86:
            self.advance(rng.choice((1, 10, 10, 50, 200)))
        elif draw < 0.985:
            self.random_call()
        else:
            self.random_fault()

    def random_call(self):
        rng = self.rng
        if not self.entries:
            return
        entry = rng.choice(tuple(self.entries))
        draw = rng.random()
        key = f"k{rng.randrange(400)}"
        if draw < 0.4:
            self.call(entry, "", key)
        elif draw < 0.6:
            self.call(entry, rng.choice(MODELS), key)
        else:
            poison = rng.random() < 0.01
            self.call(entry, rng.choice(MODELS), poison=poison)

    def random_fault(self):
        rng = self.rng
        kind = rng.choice(FAULTS)
        self.faults[kind] += 1
        upstream = rng.choice(tuple(self.engines))
        entry = rng.choice(("e1", "e2"))
        if kind == "kill_entry":
            self.kill_entry(entry)
        elif kind == "kill_upstream":
            self.kill_upstream(upstream)
        elif kind == "kill_engine":
            self.crash_engine(upstream)
        elif kind == "stop_upstream":
            self.stop_upstream(upstream)
        elif kind == "break_link" and self.connections:
            self.break_connection(rng.choice(self.connections))
        elif kind == "partition":
            processes = {**self.entries, **self.upstreams}
            if processes:
                processes[rng.choice(tuple(processes))].partitioned = True
        elif kind == "caller_left":
            self.random_caller_left()
        elif kind == "change_tables":
            self.submit(rng.sample(MODELS, 2))
        else:
            self.restart_all()

    def random_loss(self):
        """Break the runs of an upstream that have not answered, or end it."""
        draw = self.loss_rng.random()
        name = self.loss_rng.choice(tuple(self.engines))
        if draw < 0.01:
            self.crash_engine(name)
        elif draw < 0.3 and name in self.upstreams:
            runs = self.upstreams[name].runs
            attempts = [a for a, (_, sent) in runs.items() if not sent]
            for attempt_id in attempts:
                self.end_run(name, attempt_id, 0, broken=True)

    def random_caller_left(self):
        for name, process in self.entries.items():
            if process.entry.calls:
                request_id = self.rng.choice(tuple(process.entry.calls))
                self.entry_step(name, entry_messages.CallerLeft(request_id))
                return


def route_of(request):
    return f"route-{request.model}" if request.model else "corrections"


def expected_answer(request_id):
    body = b"".join(chunk_of(request_id, n) for n in range(CHUNKS_PER_ANSWER))
    return commands.StoredAnswer(200, "text/plain", body)


def turned_away_body(request_id):
    """Return the body of an answer that turns a request away."""
    return f"{request_id}:turned away".encode()


def chunk_of(request_id, number):
    return f"{request_id}:{number};".encode()


HANDLERS = {
    effects.SetTimer: PathDriver.do_timer,
    effects.Send: PathDriver.do_send,
    role_messages.SendCommand: PathDriver.do_send_command,
    entry_messages.ReplyHead: PathDriver.do_head,
    entry_messages.ReplyChunk: PathDriver.do_chunk,
    entry_messages.ReplyEnd: PathDriver.do_end,
    entry_messages.ReplyFailure: PathDriver.do_failure,
    subscription.FreshnessChanged: PathDriver.do_freshness,
    subscription.ViewChanged: PathDriver.do_view,
    upstream_messages.StartRun: PathDriver.do_run,
    upstream_messages.CancelRun: PathDriver.do_cancel,
    model_orders.EngineOrder: PathDriver.do_order,
    shutdown.Stopped: PathDriver.do_stopped,
}
# Kinds of faults; a kind is drawn as often as it is listed.
FAULTS = (
    "kill_entry",
    "kill_upstream",
    "kill_engine",
    "stop_upstream",
    "break_link",
    "break_link",
    "partition",
    "caller_left",
    "change_tables",
    "restart",
    "restart",
    "restart",
)
