"""Drives entries, upstream processes and engines in virtual time.

Control is reduced to its state machine behind a lossy channel; the log
itself has a driver of its own. The oracle counts what the engines really
ran and held and compares it with what callers were told.
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
    "config": builders.bound("config", subscription),
    "connection": builders.bound("connection", links),
    "request": builders.bound("request", entry_calls),
    "adoption": builders.adoption_chart(),
    "order": builders.bound("order", model_orders),
    "shutdown": builders.bound("shutdown", shutdown),
}
CHUNKS = 3
ORDER_WAIT_MS = 4000
LATEST_ORDER_MS = 20_000
NEW_WORK_LIMIT_MS = 2000
SERVICES = ("p1", "p2", "p3")
MODELS = ("m1", "m2", "m3", "m4")


class ViolationError(AssertionError):
    pass


@dataclasses.dataclass(slots=True)
class Engine:
    """What really runs and is held, whatever the processes believe."""

    name: str
    fenced: bool
    capacity: int
    boots: int = 1
    up: bool = True
    fence: int = 0
    held: dict = dataclasses.field(default_factory=dict)
    runs: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Pipe:
    """One connection: frames in flight in both directions."""

    number: int
    entry: str
    upstream: str
    incarnation: str
    link: links.Link
    opened: bool = False
    broken: bool = False
    down: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    back: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(slots=True)
class EntryNode:
    entry: entry_state.Entry
    sub: subscription.Subscription
    pipes: dict = dataclasses.field(default_factory=dict)
    cut_off: bool = False


@dataclasses.dataclass(slots=True)
class UpstreamNode:
    state: upstream_work.UpstreamState
    sub: subscription.Subscription
    runs: dict = dataclasses.field(default_factory=dict)
    cut_off: bool = False
    leaving_since: float | None = None


@dataclasses.dataclass(slots=True)
class Told:
    """What a caller was told."""

    request: entry_messages.CallerRequest
    status: int = 0
    body: bytes = b""
    whole: bool = False
    failure: errors.CallFailure | None = None
    asked: EntryNode | None = None


class PathDriver:
    def __init__(self, seed, entries=2, upstreams=3, fenced=(True, False)):
        self.rng = random.Random(seed)
        self.now = 1000
        self.serial = 0
        self.timers = []
        self.steps = 0
        self.faults = collections.Counter()
        self.control = control_state.ControlState()
        self.branch = feed.Feed("control")
        self.members = membership.Membership()
        self.members.tracker = demand.DemandTracker(
            demand.DemandSettings(loads_at_once=2)
        )
        self.inbox = []
        self.told = {}
        self.ran = collections.Counter()
        self.ran_keys = collections.defaultdict(list)
        self.ended_marked = []
        self.poison = set()
        self.engines = {}
        self.upstreams = {}
        self.entries = {}
        self.pipes = []
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

    def name_anew(self, name):
        self.serial += 1
        return f"{name}/{self.serial}"

    def start_entry(self, name):
        sub = subscription.new_subscription(
            self.name_anew(name), ("control",), CHARTS["config"], self.now
        )
        entry = builders.entry(sub.view, policy="power_of_two")
        entry.fresh = False
        entry.rng = random.Random(self.rng.random())
        self.entries[name] = EntryNode(entry, sub)
        self.at(self.now, ("heartbeat", name))

    def start_upstream(self, name):
        engine = self.engines[name]
        kind = views.UpstreamKind.ENGINE
        service = "drafting-desk"
        if name in SERVICES:
            kind, service = views.UpstreamKind.SERVICE, "corrections-ledger"
        upstream = views.Upstream(
            name, self.name_anew(name), "tcp://x", service, kind,
            failure_domain=f"d-{name}", accelerators=1 if engine.capacity
            else 0, memory_mib=engine.capacity, slots=2,
        )  # fmt: skip
        sub = subscription.new_subscription(
            self.name_anew(name), ("control",), CHARTS["config"], self.now
        )
        orders = None
        if engine.capacity:
            granted = ledger.Ledger(1, engine.capacity)
            orders = model_orders.new_orders(
                CHARTS["order"], CHARTS["adoption"], granted, engine.fenced
            )
        state = builders.upstream_work.UpstreamState(
            upstream, sub.view, builders.admission.new_queue(4, 2), orders
        )
        state.stop = shutdown.Shutdown(
            CHARTS["shutdown"], lambda: upstream_work.is_idle(state)
        )
        self.upstreams[name] = UpstreamNode(state, sub)
        self.at(self.now, ("heartbeat", name))
        self.at(self.now, ("watch", name))

    def at(self, due, action):
        self.serial += 1
        heapq.heappush(self.timers, (due, self.serial, action))

    # Time.

    def run_for(self, ms):
        until = self.now + ms
        while self.now < until:
            self.advance(40)
            self.drain()

    def drain(self):
        """Delivers frames until none is in flight."""
        for _ in range(10_000):
            moved = [p for p in self.pipes if self.deliver(p)]
            if not moved and not any(n.runs for n in self.upstreams.values()):
                return
            for name in list(self.upstreams):
                self.progress(name)

    def advance(self, ms):
        self.now += ms
        while self.timers and self.timers[0][0] <= self.now:
            _, _, action = heapq.heappop(self.timers)
            getattr(self, f"on_{action[0]}")(*action[1:])
        self.control_tick()
        self.check_memory()

    def on_heartbeat(self, name):
        node = self.entries.get(name) or self.upstreams.get(name)
        if node is None:
            return
        if name in self.upstreams:
            node.sub.report = feed_messages.UpstreamReport(
                *upstream_work.build_report(node.state)
            )
            node.sub.report_due = True
        self.process_step(name, role_messages.RemindControl())
        for effect in subscription.on_heartbeat_due(node.sub, self.now):
            self.to_control(name, node, effect.message)
        self.at(self.now + 1000, ("heartbeat", name))

    def on_watch(self, name):
        node, engine = self.upstreams.get(name), self.engines[name]
        if node is None:
            return
        if engine.up:
            held = tuple(engine.held.values())
            found = builders.found(f"boot-{engine.boots}", held, self.now)
            self.upstream_step(name, found)
        else:
            self.upstream_step(name, upstream_messages.EngineLost())
        self.at(self.now + 500, ("watch", name))

    def on_timer(self, name, owner, make, key, token):
        """Timers die with the process that set them."""
        current = self.entries.get(name) or self.upstreams.get(name)
        if current is not owner:
            return
        if key == owner.sub.key:
            told = subscription.on_timer(owner.sub, self.now, token)
            self.perform(name, owner, told)
        else:
            self.process_step(name, make(key, token))

    def on_late_frame(self, name, owner, upstream, frame):
        if owner is not None and self.entries.get(name) is owner:
            arrived = entry_messages.FrameArrived(upstream, frame)
            self.entry_step(name, arrived)

    def on_link_timer(self, pipe, token):
        if not pipe.broken:
            told = links.on_timer(pipe.link, self.now, token)
            self.link_effects(pipe, told)

    def on_order(self, name, boot, order, incarnation, answer):
        """An order reaches the engine, perhaps late or a second time."""
        engine = self.engines[name]
        outcome = model_orders.OrderOutcome.CONFIRMED
        if (
            not engine.up
            or engine.boots != boot
            or engine.fenced
            and order.fence < engine.fence
        ):
            outcome = model_orders.OrderOutcome.REFUSED
        else:
            engine.fence = max(engine.fence, order.fence)
            if order.kind == model_orders.OrderKind.LOAD:
                engine.held[order.place.model] = order.place
            else:
                engine.held.pop(order.place.model, None)
        self.check_memory()
        if answer:
            self.on_order_answer(name, order, incarnation, outcome)

    def on_order_answer(self, name, order, incarnation, outcome):
        node = self.upstreams.get(name)
        if node and node.state.upstream.incarnation == incarnation:
            answered = upstream_messages.EngineAnswered(order, outcome)
            self.upstream_step(name, answered)

    def on_from_control(self, name, owner, message):
        node = self.entries.get(name) or self.upstreams.get(name)
        if node is not owner or node.cut_off:
            return
        if isinstance(message, feed_messages.Delta):
            told = subscription.on_delta(node.sub, self.now, message)
        elif isinstance(message, feed_messages.WholeView):
            told = subscription.on_whole_view(node.sub, message)
        else:
            answered = role_messages.ControlAnswered(
                message.ask_id, message.result
            )
            self.process_step(name, answered)
            return
        before = node.sub.view.version
        self.perform(name, node, told)
        if node.sub.view.version < before:
            raise ViolationError(f"{name} went back to an older version")

    # Control.

    def to_control(self, name, node, message):
        if not node.cut_off:
            self.inbox.append((name, node, message))

    def control_tick(self):
        inbox, self.inbox = self.inbox, []
        for name, node, message in inbox:
            if isinstance(message, feed_messages.Heartbeat):
                self.on_control_heartbeat(name, node, message)
            else:
                result = self.commit(message.command)
                reply = feed_messages.AskReply(message.ask_id, result)
                self.to_process(name, node, reply)
        change = self.branch.last_change_index
        wanted = membership.on_tick(self.members, self.now, self.view, change)
        for command in list(wanted):
            self.commit(command)
        told = feed.on_tick(self.branch, self.now, self.view, lambda _: True)
        self.push(told)

    def on_control_heartbeat(self, name, node, beat):
        feed.on_heartbeat(self.branch, self.now, beat, 1)
        if beat.report is not None:
            upstream_id = beat.report.upstream.upstream_id
            digest = feed_messages.Digest("c", (upstream_id,), (beat.report,))
            membership.on_digest(self.members, self.now, digest)

    @property
    def view(self):
        return self.control.view

    def commit(self, command):
        entry = control_state.Entry(1, self.view.index + 1, command)
        result = control_state.apply(self.control, entry)
        feed.record_applied(self.branch, entry, result)
        self.push(feed.push(self.branch))
        return result

    def push(self, told):
        by_name = {
            node.sub.name: (name, node)
            for name, node in (*self.entries.items(), *self.upstreams.items())
        }
        for effect in told:
            if effect.to in by_name:
                name, node = by_name[effect.to]
                self.to_process(name, node, copy.deepcopy(effect.message))

    def to_process(self, name, node, message):
        due = self.now + self.rng.choice((0, 0, 10, 30))
        self.at(due, ("from_control", name, node, message))

    def submit(self, models):
        routes = [
            builders.route(model, replicas=3 if n == 0 else 1)
            for n, model in enumerate(models)
        ]
        wanted = builders.both_tables(*routes, builders.service_route())
        command = builders.submit(
            self.view.version, self.name_anew("s"), "ann", wanted
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
            self.poison.add(request_id)
        request = builders.caller_request(request_id, **fields)
        node = self.entries[entry_name]
        self.told[request_id] = Told(request, asked=node)
        wall_ms = 1_000_000 + self.now
        self.entry_step(entry_name, builders.arrived(request, wall_ms))
        return request_id

    def entry_step(self, name, message):
        node = self.entries.get(name)
        if node is not None:
            self.steps += 1
            told = entry_calls.step(node.entry, self.now, message)
            self.perform(name, node, told)

    def process_step(self, name, message):
        if name in self.entries:
            self.entry_step(name, message)
        else:
            self.upstream_step(name, message)

    def perform(self, name, node, told):
        for effect in list(told):
            handler = HANDLERS.get(type(effect))
            if handler is not None:
                handler(self, name, node, effect)

    def do_timer(self, name, node, timer):
        make = role_messages.TimerFired
        action = ("timer", name, node, make, timer.key, timer.token)
        self.at(timer.due_ms, action)

    def do_send(self, name, node, send):
        if name in self.upstreams:
            self.answer_entry(name, send)
            return
        pipe = node.pipes.get(send.to)
        if isinstance(send.message, call_messages.Dispatch):
            pipe = self.pipe_to(name, node, send.to)
        if pipe is not None:
            for sent in links.send(pipe.link, send.message):
                pipe.down.append(sent.frame)

    def do_ask(self, name, node, ask):
        message = feed_messages.Ask(node.sub.name, ask.ask_id, ask.command)
        if self.rng.random() < 0.95:
            self.to_control(name, node, message)

    def do_fresh(self, name, node, change):
        noted = role_messages.FreshnessNoted(change.fresh)
        self.process_step(name, noted)

    def do_view(self, name, _node, _change):
        if name in self.upstreams:
            self.upstream_step(name, upstream_messages.ViewUpdated())

    def do_head(self, _name, _node, head):
        self.told[head.request_id].status = head.status

    def do_chunk(self, _name, _node, chunk):
        self.told[chunk.request_id].body += chunk.data

    def do_end(self, _name, _node, end):
        self.told[end.request_id].whole = True

    def do_failure(self, _name, _node, failed):
        told, failure = self.told[failed.request_id], failed.failure
        told.failure = failure
        key = (route_of(told.request), told.request.idempotency_key)
        not_run = failure.outcome == errors.Outcome.NOT_RUN
        if not_run and key[1] and self.ran_keys[key]:
            raise ViolationError(f"{key} has run, told {failure}")

    # Connections.

    def pipe_to(self, name, node, upstream):
        known = node.entry.view.upstreams[upstream]
        pipe = node.pipes.get(upstream)
        if (
            pipe
            and not pipe.broken
            and (pipe.incarnation == known.incarnation)
        ):
            return pipe
        self.serial += 1
        link = links.Link(upstream, CHARTS["connection"])
        pipe = Pipe(self.serial, name, upstream, known.incarnation, link)
        node.pipes[upstream] = pipe
        self.pipes.append(pipe)
        self.link_effects(pipe, links.start(link, self.now))
        return pipe

    def link_effects(self, pipe, told):
        node = self.entries.get(pipe.entry)
        if node is None or node.pipes.get(pipe.upstream) is not pipe:
            return
        for effect in list(told):
            if isinstance(effect, links.Transmit):
                pipe.down.append(effect.frame)
            elif isinstance(effect, effects.SetTimer):
                self.at(effect.due_ms, ("link_timer", pipe, effect.token))
            else:
                self.forget_pipe(pipe)
                self.entry_step(pipe.entry, effect)

    def forget_pipe(self, pipe):
        pipe.broken = True
        node = self.entries.get(pipe.entry)
        if node is not None and node.pipes.get(pipe.upstream) is pipe:
            del node.pipes[pipe.upstream]

    def deliver(self, pipe):
        """Moves a connection on by one event; False when nothing waits."""
        if pipe.broken:
            self.pipes.remove(pipe)
            return False
        upstream = self.upstreams.get(pipe.upstream)
        if not pipe.opened:
            pipe.opened = upstream is not None
            event = (
                links.LinkOpened() if upstream else links.LinkDisconnected()
            )
            told = links.on_event(pipe.link, self.now, event)
            self.link_effects(pipe, told)
            return True
        if pipe.down:
            frame = pipe.down.popleft()
            sender = f"{pipe.entry}#{pipe.number}"
            arrived = upstream_messages.FrameArrived(sender, frame)
            self.upstream_step(pipe.upstream, arrived)
            return True
        if pipe.back:
            frame = pipe.back.popleft()
            told = links.on_frame(pipe.link, self.now, frame)
            self.link_effects(pipe, told)
            arrived = entry_messages.FrameArrived(pipe.upstream, frame)
            self.entry_step(pipe.entry, arrived)
            return True
        return False

    def answer_entry(self, upstream, send):
        number = int(send.to.partition("#")[2])
        for pipe in self.pipes:
            if pipe.number == number and not pipe.broken:
                pipe.back.append(send.message)

    def break_pipe(self, pipe):
        """Some frames in flight still arrive, late or not at all."""
        if pipe.broken:
            return
        node = self.entries.get(pipe.entry)
        for frame in pipe.back:
            late = self.now + self.rng.choice((10, 100, 1000))
            action = ("late_frame", pipe.entry, node, pipe.upstream, frame)
            self.at(late, action)
        for _ in range(self.rng.randrange(3)):
            if pipe.down and pipe.upstream in self.upstreams:
                self.deliver(pipe)
        told = links.on_event(pipe.link, self.now, links.LinkDisconnected())
        self.link_effects(pipe, told)
        pipe.broken = True

    # Upstream processes and engines.

    def upstream_step(self, name, message):
        node = self.upstreams.get(name)
        if node is not None:
            self.steps += 1
            told = upstream_work.step(node.state, self.now, message)
            self.perform(name, node, told)

    def do_run(self, name, node, start):
        dispatch = start.dispatch
        engine = self.engines[name]
        if node.leaving_since is not None and (
            self.now - node.leaving_since > NEW_WORK_LIMIT_MS
        ):
            raise ViolationError(f"{name} is leaving and took new work")
        node.runs[dispatch.attempt_id] = [start, 0]
        resident = not engine.capacity or dispatch.model in engine.held
        if engine.up and resident:
            self.ran[dispatch.request_id] += 1
            if dispatch.idempotency_key:
                key = (dispatch.route, dispatch.idempotency_key)
                self.ran_keys[key].append(dispatch.request_id)
            if dispatch.request_id in self.poison:
                self.crash_engine(name)

    def progress(self, name, attempt_id=None):
        """A run produces its next frame."""
        node = self.upstreams.get(name)
        if node is None or not node.runs:
            return
        attempt_id = attempt_id or next(iter(node.runs))
        start, sent = node.runs[attempt_id]
        node.runs[attempt_id][1] += 1
        if not self.engines[name].up:
            self.end_run(name, attempt_id, sent, crashed=True)
        elif sent == 0:
            frame = call_messages.AnswerHead(attempt_id, 200, "text/plain")
            self.answer_entry(name, effects.Send(start.sender, frame))
        elif sent <= CHUNKS:
            data = part_of(start.dispatch.request_id, sent - 1)
            frame = call_messages.AnswerChunk(attempt_id, sent - 1, data)
            self.answer_entry(name, effects.Send(start.sender, frame))
        else:
            self.end_run(name, attempt_id, CHUNKS)

    def end_run(self, name, attempt_id, chunks, crashed=False, left=False):
        node = self.upstreams[name]
        start, _ = node.runs.pop(attempt_id)
        failure = answer = None
        if crashed or left:
            code = errors.FailureCode.ENGINE_CRASHED
            if left:
                code = errors.FailureCode.CALLER_LEFT
            failure = errors.call_failure(code, "x", errors.Outcome.UNKNOWN)
        elif start.dispatch.idempotency_key:
            answer = answer_to(start.dispatch.request_id)
            self.ended_marked.append((name, node, start.dispatch))
        ended = upstream_messages.RunEnded(
            attempt_id, chunks, failure, crashed, answer
        )
        self.upstream_step(name, ended)

    def do_cancel(self, name, node, cancel):
        if cancel.attempt_id in node.runs:
            sent = node.runs[cancel.attempt_id][1]
            self.end_run(name, cancel.attempt_id, sent, left=True)

    def do_order(self, name, node, order):
        engine, rng = self.engines[name], self.rng
        incarnation = node.state.upstream.incarnation
        fate = rng.random()
        boot = engine.boots
        soon = self.now + rng.choice((10, 50, 200))
        if fate < 0.8:
            action = ("order", name, boot, order, incarnation, True)
            self.at(soon, action)
            return
        self.faults["order_lost" if fate < 0.9 else "order_late"] += 1
        late = self.now + rng.randrange(4000, LATEST_ORDER_MS)
        if fate >= 0.9:
            action = ("order", name, boot, order, incarnation, False)
            self.at(late, action)
        unanswered = model_orders.OrderOutcome.UNANSWERED
        action = ("order_answer", name, order, incarnation, unanswered)
        self.at(self.now + ORDER_WAIT_MS, action)

    def do_stopped(self, name, node, _effect):
        if name in self.upstreams:
            if node.runs or node.state.attempts:
                raise ViolationError(f"{name} stopped with work in progress")
            del self.upstreams[name]

    # Faults.

    def crash_engine(self, name):
        engine = self.engines[name]
        engine.up = False
        engine.held.clear()
        engine.fence = 0
        engine.boots += 1
        self.at(self.now + 3000, ("engine_back", name))

    def on_engine_back(self, name):
        self.engines[name].up = True

    def kill_upstream(self, name):
        node = self.upstreams.pop(name, None)
        if node is not None:
            for pipe in list(self.pipes):
                if pipe.upstream == name:
                    self.break_pipe(pipe)

    def kill_entry(self, name):
        """Callers of a killed entry see their connection break."""
        node = self.entries.pop(name, None)
        if node is not None:
            for pipe in self.pipes:
                pipe.broken = pipe.broken or pipe.entry == name

    def stop_upstream(self, name):
        node = self.upstreams.get(name)
        if node is not None and node.leaving_since is None:
            node.leaving_since = self.now
            self.upstream_step(name, upstream_messages.StopRequested())

    def restart_all(self):
        for name in ("e1", "e2"):
            if name not in self.entries:
                self.start_entry(name)
        for name in self.engines:
            node = self.upstreams.get(name)
            if node is not None and node.leaving_since is not None:
                continue
            if node is None:
                self.start_upstream(name)
        for node in (*self.entries.values(), *self.upstreams.values()):
            node.cut_off = False

    # The oracle.

    def check_memory(self):
        for name, engine in self.engines.items():
            used = sum(place.memory_mib for place in engine.held.values())
            if used > engine.capacity:
                raise ViolationError(f"{name} holds {used} MiB")
            node = self.upstreams.get(name)
            if node and node.state.orders and node.state.orders.boot_id:
                promised = node.state.orders.ledger.reservations
                total = sum(p.memory_mib for p in promised.values())
                if total > engine.capacity:
                    raise ViolationError(f"{name} promised {total} MiB")

    def check_told(self):
        for key, request_ids in self.ran_keys.items():
            if len(request_ids) > 1:
                raise ViolationError(f"{key} ran as {request_ids}")
        for request_id, told in self.told.items():
            self.check_one(request_id, told)

    def check_one(self, request_id, told):
        if told.whole:
            owner = request_id
            if told.request.idempotency_key:
                owner = told.body.decode().split(":")[0]
                twin = self.told.get(owner)
                key = told.request.idempotency_key
                if twin is None or twin.request.idempotency_key != key:
                    raise ViolationError(f"{request_id} got {owner}'s")
            if told.body != answer_to(owner).body:
                raise ViolationError(f"{request_id} got {told.body}")
        failure = told.failure
        told_not_run = failure and failure.outcome == errors.Outcome.NOT_RUN
        if told_not_run and self.ran[request_id]:
            raise ViolationError(f"{request_id} ran: {failure}")
        if told.whole and failure:
            raise ViolationError(f"{request_id} ended twice")

    def check_kept(self):
        """An answer that was given whole is kept for resends."""
        alive = [id(node) for node in self.entries.values()]
        for request_id, told in self.told.items():
            key = told.request.idempotency_key
            if not (key and told.whole and id(told.asked) in alive):
                continue
            route = route_of(told.request)
            record = self.control.keys.records[f"{route}/{key}"]
            if record.state != "finished":
                raise ViolationError(f"{request_id}: {record.state}")

    def check_recorded(self):
        """A marked run that ended is recorded while either side lives."""
        for name, node, dispatch in self.ended_marked:
            key = f"{dispatch.route}/{dispatch.idempotency_key}"
            record = self.control.keys.records.get(key)
            if self.upstreams.get(name) is not node:
                continue
            if record is None or record.request_id != dispatch.request_id:
                raise ViolationError(f"{key} lost its run")
            if record.state != "finished":
                raise ViolationError(f"{key} ended and is {record.state}")

    def settle_down(self):
        self.restart_all()
        self.run_for(45_000)
        self.restart_all()
        self.run_for(8_000)
        self.check_told()
        self.check_kept()
        self.check_recorded()

    def check_reachable(self):
        waiting = [
            self.call("e1", route.model)
            for route in self.view.tables.routes
            if route.kind == tables.RouteKind.MODEL
        ]
        self.run_for(9000)
        for request_id in waiting:
            if not self.told[request_id].whole:
                told = self.told[request_id]
                raise ViolationError(f"not reached: {told}")
        for node in self.entries.values():
            if node.entry.calls:
                raise ViolationError(f"never ended: {list(node.entry.calls)}")

    # Long random runs.

    def random_move(self):
        rng = self.rng
        roll = rng.random()
        if roll < 0.5 and self.pipes:
            self.deliver(rng.choice(self.pipes))
        elif roll < 0.7:
            node_name = rng.choice(tuple(self.engines))
            node = self.upstreams.get(node_name)
            if node and node.runs:
                self.progress(node_name, rng.choice(tuple(node.runs)))
        elif roll < 0.86:
            self.advance(rng.choice((1, 10, 10, 50, 200)))
        elif roll < 0.985:
            self.random_call()
        else:
            self.random_fault()

    def random_call(self):
        rng = self.rng
        if not self.entries:
            return
        entry = rng.choice(tuple(self.entries))
        kind = rng.random()
        key = f"k{rng.randrange(400)}"
        if kind < 0.4:
            self.call(entry, "", key)
        elif kind < 0.6:
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
        elif kind == "break_link" and self.pipes:
            self.break_pipe(rng.choice(self.pipes))
        elif kind == "cut_off":
            both = {**self.entries, **self.upstreams}
            if both:
                both[rng.choice(tuple(both))].cut_off = True
        elif kind == "caller_left":
            self.random_caller_left()
        elif kind == "change_tables":
            self.submit(rng.sample(MODELS, 2))
        else:
            self.restart_all()

    def random_caller_left(self):
        for name, node in self.entries.items():
            if node.entry.calls:
                request_id = self.rng.choice(tuple(node.entry.calls))
                self.entry_step(name, entry_messages.CallerLeft(request_id))
                return


def route_of(request):
    return f"route-{request.model}" if request.model else "corrections"


def answer_to(request_id):
    body = b"".join(part_of(request_id, n) for n in range(CHUNKS))
    return commands.KeptAnswer(200, "text/plain", body)


def part_of(request_id, number):
    return f"{request_id}:{number};".encode()


HANDLERS = {
    effects.SetTimer: PathDriver.do_timer,
    effects.Send: PathDriver.do_send,
    role_messages.AskControl: PathDriver.do_ask,
    entry_messages.ReplyHead: PathDriver.do_head,
    entry_messages.ReplyChunk: PathDriver.do_chunk,
    entry_messages.ReplyEnd: PathDriver.do_end,
    entry_messages.ReplyFailure: PathDriver.do_failure,
    subscription.FreshnessChanged: PathDriver.do_fresh,
    subscription.ViewChanged: PathDriver.do_view,
    upstream_messages.StartRun: PathDriver.do_run,
    upstream_messages.CancelRun: PathDriver.do_cancel,
    model_orders.EngineOrder: PathDriver.do_order,
    shutdown.Stopped: PathDriver.do_stopped,
}
FAULTS = (
    "kill_entry",
    "kill_upstream",
    "kill_engine",
    "stop_upstream",
    "break_link",
    "break_link",
    "cut_off",
    "caller_left",
    "change_tables",
    "restart",
    "restart",
    "restart",
)
