"""Plays a replicated register in virtual time, with faults as messages."""

import dataclasses
import heapq
import random

from bilberryramp.decisions.fleet import register
from bilberryramp.decisions.fleet.tests import builders
from bilberryramp.decisions.shared import effects

TICK_MS = 50


class BrokenPromiseError(AssertionError):
    """A promise of the register does not hold."""


@dataclasses.dataclass(slots=True)
class Host:
    """An instance: its process, if it runs, and its disk."""

    address: str
    durable: bool
    node: register.Node | None = None
    disk: object = None
    boots: int = 0
    in_force: int = -1


@dataclasses.dataclass(slots=True)
class World:
    """All instances, the network and what was promised to operators."""

    rng: random.Random
    seeds: tuple[str, ...]
    now_ms: int = 1_000_000
    hosts: dict = dataclasses.field(default_factory=dict)
    queue: list = dataclasses.field(default_factory=list)
    count: int = 0
    cuts: set = dataclasses.field(default_factory=set)
    asks: dict = dataclasses.field(default_factory=dict)
    accepted: int = -1
    next_version: int = 1
    bodies: dict = dataclasses.field(default_factory=dict)
    loss: float = 0.02
    crash: float = 0.001


def a_world(seed, durable=3, others=2):
    rng = random.Random(seed)
    names = [f"d{i}" for i in range(durable)]
    names += [f"x{i}" for i in range(others)]
    world = World(rng, tuple(rng.sample(names, min(3, len(names)))))
    for name in names:
        world.hosts[name] = Host(name, name.startswith("d"))
        start(world, name, first=True)
    return world


def start(world, name, first=False):
    host = world.hosts[name]
    host.boots += 1
    stored = host.disk
    fresh = register.GENESIS if first else f"{name}-{host.boots}"
    store_id = stored.store_id if stored is not None else fresh
    host.node = register.new_node(
        builders.make_peer(name, store_id, host.durable),
        world.seeds,
        builders.bind_chart("member", register),
        world.rng,
        world.now_ms,
        stored,
    )
    host.in_force = -1
    post(world, TICK_MS, name, host.boots, register.Tick())


def stop(world, name, wipe=False):
    host = world.hosts[name]
    host.node = None
    host.boots += 1
    if wipe or not host.durable:
        host.disk = None


def post(world, delay_ms, to, boot, message):
    world.count += 1
    item = (world.now_ms + delay_ms, world.count, to, boot, message)
    heapq.heappush(world.queue, item)


def run(world, for_ms):
    end = world.now_ms + for_ms
    while world.queue and world.queue[0][0] <= end:
        due, _, to, boot, message = heapq.heappop(world.queue)
        world.now_ms = max(world.now_ms, due)
        host = world.hosts.get(to)
        if host is None or host.node is None or boot not in (None, host.boots):
            continue
        if isinstance(message, register.Tick):
            post(world, TICK_MS, to, host.boots, message)
        deliver(world, host, message)
    world.now_ms = end


def deliver(world, host, message):
    boot = host.boots
    for effect in register.step(host.node, world.now_ms, message):
        perform(world, host, effect)
        if host.boots != boot:
            return
    check_one_leader(world)


def perform(world, host, effect):
    match effect:
        case effects.Send():
            send(world, host.address, effect)
        case register.Persist():
            if world.rng.random() < world.crash:
                # The process dies before the write.
                stop(world, host.address)
            elif host.durable:
                host.disk = effect.stored
        case register.Committed():
            note_in_force(world, host, effect)
        case register.Proposed() | register.ReadAnswer():
            note_answer(world, effect)


def send(world, sender, effect):
    lost = (sender, effect.to) in world.cuts
    if lost or effect.to not in world.hosts:
        return
    if world.rng.random() < world.loss:
        return
    delay_ms = world.rng.choice((1, 2, 5, 40))
    post(world, delay_ms, effect.to, None, effect.message)


def note_in_force(world, host, effect):
    known = world.bodies.setdefault(effect.version, effect.body)
    if known != effect.body:
        raise BrokenPromiseError(f"version {effect.version} has two contents")
    if effect.version <= host.in_force:
        raise BrokenPromiseError(f"{host.address} went back")
    host.in_force = effect.version


def note_answer(world, effect):
    kind, version, least = world.asks.pop(effect.ask)
    if kind == "read" and effect.body is not None:
        found = int(effect.body.partition(b":")[0]) if effect.body else -1
        if found < least:
            raise BrokenPromiseError(f"read {found} after {least}")
    if kind == "propose" and effect.done:
        world.accepted = max(world.accepted, version)


def propose(world, name, version, who=b"a"):
    world.count += 1
    world.asks[world.count] = ("propose", version, -1)
    body = b"%d:%s" % (version, who)
    message = register.Propose(world.count, version, body)
    post(world, 1, name, world.hosts[name].boots, message)


def read(world, name):
    world.count += 1
    world.asks[world.count] = ("read", -1, world.accepted)
    message = register.Read(world.count)
    post(world, 0, name, world.hosts[name].boots, message)


def check_one_leader(world):
    leading = [
        host.address
        for host in world.hosts.values()
        if host.node is not None and register.leads(host.node, world.now_ms)
    ]
    if len(leading) > 1:
        raise BrokenPromiseError(f"leaders {leading}")


def cut_off(world, names, one_way=False):
    others = set(world.hosts) - set(names)
    for name in names:
        for other in others:
            world.cuts.add((name, other))
            if not one_way:
                world.cuts.add((other, name))


def heal(world):
    world.cuts.clear()


def up(world):
    return [h.address for h in world.hosts.values() if h.node is not None]


def settle(world, for_ms=12_000):
    heal(world)
    world.loss = 0.0
    for name, host in world.hosts.items():
        if host.node is None:
            start(world, name)
    run(world, for_ms)


def newest_read(world):
    """Return the newest version that any node proves to be the newest."""
    best = None
    for name in up(world):
        host = world.hosts[name]
        for effect in register.step(
            host.node, world.now_ms, register.Read(-1)
        ):
            if isinstance(effect, register.ReadAnswer) and effect.body:
                best = int(effect.body.partition(b":")[0])
    return best
