"""Simulated engines that several real gateways send prompts to.

An engine reads a piece of its waiting prompts in each step, the most urgent
first, and generates one token of each stream; an event holds several tokens.
"""

import dataclasses
import heapq
import itertools

from bilberryramp.decisions.fleet.core import calls, sharing
from bilberryramp.decisions.fleet.gateway import gateway
from bilberryramp.decisions.fleet.tests import builders

READ_TOKENS_PER_MS = 38.7
PIECE_TOKENS = 4096
STEP_MS = 5.5
STRIDE = 5
TICK_MS = 50
ANNOUNCE_MS = 500
START_MS = 10_000


@dataclasses.dataclass(slots=True)
class Engine:
    """An engine; `speed` is relative to the constants of this module."""

    speed: float
    unread: list = dataclasses.field(default_factory=list)
    streams: list = dataclasses.field(default_factory=list)
    is_busy: bool = False
    read_tokens: int = 0


@dataclasses.dataclass(slots=True)
class Job:
    """A request at an engine, and what its client saw."""

    request: calls.Request
    gateway: int
    arrived_ms: float
    sent_ms: float = 0.0
    upstream_id: str = ""
    waiting_tokens: int = 0
    left_tokens: int = 0
    tokens: int = 0
    event_ms: float = 0.0
    first_ms: float = -1.0
    longest_gap_ms: float = 0.0
    is_refused: bool = False


class Fleet:
    """Gateways and engines on one clock; messages take a millisecond."""

    def __init__(self, speeds, gateways=3, doc=None):
        """Start gateways that know engines of some speeds, ``u0`` and on."""
        self.engines = {f"u{i}": Engine(s) for i, s in enumerate(speeds)}
        self.gateways = [
            builders.make_gateway(doc, self._announcements(1))
            for _ in range(gateways)
        ]
        for index, gw in enumerate(self.gateways):
            gw.address, gw.failure_domain = f"n{index}:1", "a"
        self.jobs: dict[int, Job] = {}
        self.events: list = []
        self.order = itertools.count()
        self.now_ms = float(START_MS)

    def submit(self, at_ms, gateway_index, request):
        """Submit a request at a time after the start; return its job."""
        job = Job(request, gateway_index, START_MS + at_ms)
        call_id = len(self.jobs) + 1
        self.jobs[call_id] = job
        message = calls.CallArrived(call_id, request, START_MS + at_ms)
        self._at(START_MS + at_ms, self._tell, gateway_index, message)
        return job

    def run(self, until_ms):
        """Run everything until some time after the start."""
        for at_ms in range(0, until_ms, TICK_MS):
            messages = [gateway.Tick()]
            if at_ms % ANNOUNCE_MS == 0:
                messages += self._announcements(2 + at_ms // ANNOUNCE_MS)
            for index in range(len(self.gateways)):
                tick_ms = at_ms + index * TICK_MS // len(self.gateways)
                for message in messages:
                    self._at(START_MS + tick_ms, self._tell, index, message)
        while self.events and self.events[0][0] <= START_MS + until_ms:
            self.now_ms, _, act, args = heapq.heappop(self.events)
            act(*args)

    def _announcements(self, seq):
        return [
            builders.make_announcement(name, seq=seq) for name in self.engines
        ]

    def _at(self, at_ms, act, *args):
        heapq.heappush(self.events, (at_ms, next(self.order), act, args))

    def _tell(self, index, message):
        gw = self.gateways[index]
        for effect in gateway.step(gw, int(self.now_ms), message):
            match effect:
                case calls.SendCall():
                    self._at(self.now_ms + 1, self._receive, effect)
                case calls.Refuse():
                    self.jobs[effect.call_id].is_refused = True
                case sharing.ReportTo(audience=sharing.Audience.NEAR):
                    for peer in range(len(self.gateways)):
                        if peer != index:
                            self._at(
                                self.now_ms + 1,
                                self._tell,
                                peer,
                                effect.report,
                            )

    def _receive(self, send):
        job = self.jobs[send.call_id]
        prompt = job.request.prompt
        job.upstream_id, job.sent_ms = send.upstream_id, self.now_ms
        job.waiting_tokens = prompt.tokens_in
        job.left_tokens = prompt.tokens_out
        engine = self.engines[send.upstream_id]
        heapq.heappush(engine.unread, (send.urgency, send.call_id))
        if not engine.is_busy:
            self._step(engine)

    def _step(self, engine):
        room, done = PIECE_TOKENS, []
        while engine.unread and room:
            job = self.jobs[engine.unread[0][1]]
            read = min(room, job.waiting_tokens)
            job.waiting_tokens -= read
            room -= read
            if not job.waiting_tokens:
                done.append(heapq.heappop(engine.unread)[1])
        read = PIECE_TOKENS - room
        engine.read_tokens += read
        engine.is_busy = bool(read or engine.streams)
        if engine.is_busy:
            took_ms = (STEP_MS + read / READ_TOKENS_PER_MS) / engine.speed
            self._at(self.now_ms + took_ms, self._end_step, engine, done)

    def _end_step(self, engine, read_calls):
        for call_id in engine.streams:
            self._generate(call_id)
        for call_id in read_calls:
            job = self.jobs[call_id]
            job.first_ms, job.event_ms = self.now_ms, self.now_ms
            self._at(
                self.now_ms + 1,
                self._tell,
                job.gateway,
                calls.AnswerStarted(call_id),
            )
        engine.streams = [
            call_id
            for call_id in [*engine.streams, *read_calls]
            if self.jobs[call_id].left_tokens > 0
        ]
        self._step(engine)

    def _generate(self, call_id):
        job = self.jobs[call_id]
        job.tokens += 1
        job.left_tokens -= 1
        if job.tokens % STRIDE == 0 or not job.left_tokens:
            job.longest_gap_ms = max(
                job.longest_gap_ms, self.now_ms - job.event_ms
            )
            job.event_ms = self.now_ms
        if not job.left_tokens:
            ended = calls.AttemptEnded(
                call_id,
                calls.AttemptOutcome.DELIVERED,
                round(job.longest_gap_ms),
            )
            self._at(self.now_ms + 1, self._tell, job.gateway, ended)
