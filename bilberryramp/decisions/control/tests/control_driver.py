"""Drives control replicas in virtual time and checks them as it goes.

Every message, write and clock is in the driver's hands. The oracle is
simple: what was applied at an index never changes, no answer contradicts
an earlier one, at most one lease is valid, and nothing accepted is lost.
"""

import collections
import copy
import dataclasses
import random

from bilberryramp.decisions.control import replica_state, replication
from bilberryramp.decisions.control import replication_messages as msgs
from bilberryramp.decisions.shared import commands, effects, views
from bilberryramp.decisions.tests import builders

CHART = builders.bind_chart("replica", replication)
LIMITS = {"snapshot_entries": 40, "kept_entries": 10, "batch_entries": 8}
MAX_IN_FLIGHT = 200


class ViolationError(AssertionError):
    pass


@dataclasses.dataclass(slots=True)
class Disk:
    incarnation: str
    hard_state: msgs.HardState | None = None
    snapshot: msgs.Snapshot | None = None
    entries: list = dataclasses.field(default_factory=list)

    def is_admitted(self):
        if self.hard_state is None:
            return self.incarnation == replica_state.GENESIS
        return self.hard_state.admitted_index >= 0

    def write(self, effect):
        if isinstance(effect, msgs.PersistHardState):
            self.hard_state = effect.hard_state
        elif isinstance(effect, msgs.PersistEntries):
            first = effect.entries[0].index
            self.entries = [e for e in self.entries if e.index < first]
            self.entries.extend(effect.entries)
        else:
            self.snapshot = copy.deepcopy(effect.snapshot)
            kept = effect.first_kept
            self.entries = [e for e in self.entries if e.index >= kept]


@dataclasses.dataclass(slots=True)
class Node:
    disk: Disk
    rate: float
    replica: replica_state.Replica | None = None
    frozen: bool = False


class ControlDriver:
    def __init__(self, seed, size=3, bend=None):
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.size = size
        self.bend = bend or (lambda _replica: None)
        self.names = tuple(f"c{n}" for n in range(1, size + 1))
        self.nodes = {
            name: Node(
                Disk(replica_state.GENESIS), self.rng.uniform(0.98, 1.02)
            )
            for name in self.names
        }
        self.wire = []
        self.cuts = set()
        self.faults = collections.Counter()
        self.steps = 0
        self.asks = 0
        self.open_asks = {}
        self.applied = {}
        self.accepted = {}
        self.versions = {}
        self.max_version = 0
        self.granted = collections.defaultdict(set)
        self.released = collections.defaultdict(set)
        self.finished = {}
        self.disks_made = 0
        self.submissions = []
        for name in self.names:
            self.start(name)

    # Running replicas.

    def clock(self, name):
        return int(self.now * self.nodes[name].rate)

    def start(self, name):
        node = self.nodes[name]
        cfg = replica_state.ReplicaSettings(name, self.names, **LIMITS)
        disk = node.disk
        node.frozen = False
        node.replica = replication.new_replica(
            cfg,
            CHART,
            random.Random(self.rng.random()),
            disk.incarnation,
            self.clock(name),
            disk.hard_state,
            copy.deepcopy(disk.snapshot),
            tuple(disk.entries),
        )
        self.bend(node.replica)

    def step(self, name, message, crash_at=None):
        node = self.nodes[name]
        if node.replica is None or node.frozen:
            return
        self.steps += 1
        stepped = replication.step(node.replica, self.clock(name), message)
        wanted = [self.settle(effect) for effect in stepped]
        persisted = [e for e in wanted if type(e) in PERSISTED]
        if crash_at is not None:
            for effect in persisted[:crash_at]:
                node.disk.write(effect)
            node.replica = None
            return
        for effect in persisted:
            node.disk.write(effect)
        for effect in wanted:
            self.perform(name, effect)

    def settle(self, effect):
        """Copies what would otherwise change after it was yielded."""
        if isinstance(effect, msgs.PersistSnapshot):
            return copy.deepcopy(effect)
        if isinstance(effect, effects.Send) and isinstance(
            effect.message, msgs.InstallSnapshot
        ):
            return copy.deepcopy(effect)
        return effect

    def perform(self, name, effect):
        if isinstance(effect, effects.Send):
            if len(self.wire) < MAX_IN_FLIGHT:
                self.wire.append((name, effect.to, effect.message))
        elif isinstance(effect, msgs.Applied):
            self.check_applied(effect)
        elif isinstance(effect, msgs.Answer):
            self.check_answer(effect)

    # The world's moves.

    def advance(self, ms):
        self.now += ms
        for name in self.names:
            self.step(name, msgs.Tick())
        self.check_leases()

    def deliver(self, at, keep=False):
        if not self.wire:
            return
        at %= len(self.wire)
        sender, to, message = self.wire[at] if keep else self.wire.pop(at)
        if (sender, to) not in self.cuts and to in self.nodes:
            if isinstance(message, msgs.InstallSnapshot):
                message = copy.deepcopy(message)
            self.step(to, message)

    def drop(self, at):
        if self.wire:
            self.wire.pop(at % len(self.wire))

    def kill(self, name):
        self.nodes[name].replica = None

    def kill_during(self, name, at, written):
        """Kills a replica between its writes and its sends."""
        for row in self.wire:
            if row[1] == name and (row[0], name) not in self.cuts:
                self.wire.remove(row)
                self.step(name, row[2], crash_at=written)
                return
        self.kill(name)

    def restart(self, name):
        """Starts a replica that is down or has finished its stop."""
        replica = self.nodes[name].replica
        if replica is None or replica.phase == "stopping":
            self.start(name)

    def lose_disk(self, name):
        """Replaces a disk, as long as a majority keeps what it knew."""
        others = [
            other
            for other in self.names
            if other != name and self.nodes[other].disk.is_admitted()
        ]
        if len(others) <= self.size // 2:
            return False
        self.disks_made += 1
        self.kill(name)
        self.nodes[name].disk = Disk(f"disk-{self.disks_made}")
        return True

    def cut(self, sender, to):
        self.cuts.add((sender, to))

    def heal(self):
        self.cuts.clear()
        for node in self.nodes.values():
            node.frozen = False

    # Clients.

    def propose(self, name, command):
        self.asks += 1
        command_id = f"ask-{self.asks}"
        self.open_asks[command_id] = command
        self.step(name, msgs.Propose("", command_id, command))

    def submit(self, name, base_lag=0):
        submission_id = f"s{len(self.submissions)}"
        base = max(self.max_version - base_lag, 0)
        command = builders.submit(base, submission_id, submission_id, TABLES)
        self.submissions.append(command)
        self.propose(name, command)

    def resend(self, name, at):
        if self.submissions:
            self.propose(name, self.submissions[at % len(self.submissions)])

    def reserve(self, name, key, request_id):
        command = commands.ReserveKey(key, request_id, "f", 1000, 10_000)
        self.propose(name, command)

    def finish(self, name, key, request_id):
        answer = commands.StoredAnswer(200, "text/plain", request_id.encode())
        command = commands.FinishKey(key, request_id, True, answer)
        self.propose(name, command)

    def release(self, name, key, request_id):
        """An entry gives back only what it never dispatched."""
        self.propose(name, commands.ReleaseKey(key, request_id))

    # The oracle.

    def check_applied(self, applied):
        entry = applied.entry
        known = self.applied.setdefault(entry.index, entry)
        if known != entry:
            raise ViolationError(f"index {entry.index}: {known} then {entry}")
        command = entry.command
        if isinstance(command, commands.ReleaseKey):
            self.released[command.key].add(command.request_id)
        if isinstance(applied.result, commands.SubmitAccepted):
            version = applied.result.version
            owner = self.versions.setdefault(version, command.submission_id)
            if owner != command.submission_id:
                raise ViolationError(f"version {version} was accepted twice")
            self.max_version = max(self.max_version, version)
            if command.base_version != version - 1:
                raise ViolationError(f"version {version} replaced unseen")

    def check_answer(self, answer):
        command = self.open_asks[answer.command_id]
        result = answer.result
        if isinstance(result, commands.SubmitAccepted):
            first = self.accepted.setdefault(command.submission_id, result)
            if first != result:
                raise ViolationError(f"{command.submission_id}: two answers")
            if self.versions.get(result.version) != command.submission_id:
                raise ViolationError(
                    f"version {result.version}: never applied"
                )
        elif isinstance(result, commands.KeyGranted):
            self.check_granted(command)

    def check_granted(self, command):
        holders = self.granted[command.key]
        holders.add(command.request_id)
        live = holders - self.released[command.key]
        if len(live) > 1:
            raise ViolationError(f"{command.key} granted to {sorted(live)}")

    def check_leases(self):
        leading = [
            name
            for name, node in self.nodes.items()
            if node.replica is not None
            and replica_state.lease_is_valid(node.replica, self.clock(name))
        ]
        if len(leading) > 1:
            raise ViolationError(f"two valid leases: {leading}")

    # Ends of runs.

    def settle_down(self, ms=20_000):
        """Heals everything and lets the replicas agree."""
        self.heal()
        for name in self.names:
            self.restart(name)
        until = self.now + ms
        while self.now < until:
            self.advance(20)
            while self.wire:
                self.deliver(0)

    def check_agreement(self):
        last = max(self.applied, default=0)
        for name, node in self.nodes.items():
            if node.replica.applied_index < last:
                raise ViolationError(f"{name} lacks entry {last}")
        held = [copy.deepcopy(n.replica.state) for n in self.nodes.values()]
        if any(state != held[0] for state in held):
            raise ViolationError("states differ")
        if held[0].view.version != self.max_version:
            raise ViolationError("an accepted version was lost")
        for submission_id, result in self.accepted.items():
            if held[0].submissions.get(submission_id) != result:
                raise ViolationError(f"{submission_id} was forgotten")

    # Long random runs.

    def random_move(self):
        rng = self.rng
        name = rng.choice(self.names)
        roll = rng.random()
        if roll < 0.30:
            self.deliver(rng.randrange(MAX_IN_FLIGHT))
        elif roll < 0.72:
            self.deliver(0)
        elif roll < 0.90:
            self.advance(rng.choice((1, 5, 20, 60)))
        elif roll < 0.988:
            self.random_client(name)
        else:
            self.random_fault(name)

    def random_client(self, name):
        rng = self.rng
        key, request_id = f"k{rng.randrange(6)}", f"r{rng.randrange(12)}"
        choice = rng.randrange(6)
        if choice == 0:
            self.submit(name, rng.randrange(3) // 2)
        elif choice == 1:
            self.resend(name, rng.randrange(1000))
        elif choice == 2:
            self.finish(name, key, request_id)
        elif choice == 3 and request_id not in self.granted[key]:
            self.release(name, key, request_id)
        else:
            self.reserve(name, key, request_id)

    def random_fault(self, name):
        rng = self.rng
        kind = rng.choice(
            ("kill", "kill_during", "restart", "restart", "freeze", "cut",
             "cut_one_way", "heal", "heal", "lose_disk", "drop", "duplicate",
             "stop", "calm")
        )  # fmt: skip
        self.faults[kind] += 1
        other = rng.choice(self.names)
        if kind == "kill":
            self.kill(name)
        elif kind == "kill_during":
            self.kill_during(name, 0, rng.randrange(3))
        elif kind == "restart":
            self.restart(name)
        elif kind == "freeze":
            self.nodes[name].frozen = not self.nodes[name].frozen
        elif kind == "cut":
            self.cut(name, other)
            self.cut(other, name)
        elif kind == "cut_one_way":
            self.cut(name, other)
        elif kind == "heal":
            self.heal()
        elif kind == "lose_disk":
            self.lose_disk(name)
        elif kind == "drop":
            self.drop(rng.randrange(MAX_IN_FLIGHT))
        elif kind == "duplicate":
            self.deliver(rng.randrange(MAX_IN_FLIGHT), keep=True)
        elif kind == "calm":
            self.settle_down(1500)
        else:
            self.step(name, msgs.StopReplica())


PERSISTED = (msgs.PersistEntries, msgs.PersistHardState, msgs.PersistSnapshot)
TABLES = builders.make_tables(
    builders.service_route(service="s", kind="service")
)


def joined(upstream_id="u1"):
    return commands.JoinUpstream(
        views.Upstream(upstream_id, "a", "tcp://x", "s", "service")
    )
