"""Simulate a replicated register in virtual time, with injected faults.

Faults are crashes, lost messages, network partitions and lost disks. The
simulation raises `InvariantViolationError` as soon as a guarantee of the
register is violated.
"""

import dataclasses
import heapq
import random

from bilberryramp.decisions.fleet.register import (
    electorate,
    register,
    register_messages,
)
from bilberryramp.decisions.fleet.tests import builders
from bilberryramp.decisions.shared import effects

TICK_MS = 50


class InvariantViolationError(AssertionError):
    """A guarantee of the register was violated."""


@dataclasses.dataclass(slots=True)
class Instance:
    """A simulated instance.

    Attributes
    ----------
    address
        Address of its node.
    durable
        Whether it has a disk.
    node
        State of its node; None while the process is stopped.
    persisted
        State on its disk; None if the disk is empty.
    incarnation
        Number of starts and stops; messages for an earlier one are dropped.
    in_force_version
        Version of the document in force at the node, or -1.
    leads
        Whether the node has told its process that it leads.
    """

    address: str
    durable: bool
    node: register.Node | None = None
    persisted: object = None
    incarnation: int = 0
    in_force_version: int = -1
    leads: bool = False


@dataclasses.dataclass(slots=True)
class Cluster:
    """The simulated instances, their network and the operators' requests.

    Attributes
    ----------
    rng
        Source of all random decisions.
    seeds
        Addresses of the first nodes to contact.
    now_ms
        Virtual time in milliseconds.
    instances
        Instances by address.
    queue
        Heap of messages to deliver: delivery time, sequence number, address,
        incarnation of the receiver (None for any) and message.
    sequence
        Counter that numbers messages and requests.
    cut_links
        Pairs of sender and receiver whose messages are lost.
    pending_requests
        Kind of each unanswered request (``"propose"`` or ``"read"``), its
        version, and the lowest version that it may read, by request id.
    accepted_version
        Highest version that was reported as committed, or -1.
    next_version
        Version of the next proposal.
    body_by_version
        Content of each version that came into force.
    storers
        Members that have stored each record, by its term and sequence number.
    quorum_documents
        Version and content of each record that a quorum has stored.
    loss_probability, crash_probability
        Probability that a message is lost, and that a process stops before
        it writes its state.
    delays_ms
        Delays that messages have, chosen at random.
    tolerated_losses
        Number of disks that may be lost at the same time, as in the settings.
    frozen
        Addresses of the instances whose process does not run for now.
    held
        Messages to frozen instances: address, incarnation and message.
    """

    rng: random.Random
    seeds: tuple[str, ...]
    now_ms: int = 1_000_000
    instances: dict = dataclasses.field(default_factory=dict)
    queue: list = dataclasses.field(default_factory=list)
    sequence: int = 0
    cut_links: set = dataclasses.field(default_factory=set)
    pending_requests: dict = dataclasses.field(default_factory=dict)
    accepted_version: int = -1
    next_version: int = 1
    body_by_version: dict = dataclasses.field(default_factory=dict)
    storers: dict = dataclasses.field(default_factory=dict)
    quorum_documents: set = dataclasses.field(default_factory=set)
    loss_probability: float = 0.02
    crash_probability: float = 0.001
    delays_ms: tuple = (1, 2, 5, 40)
    tolerated_losses: int = 0
    frozen: set = dataclasses.field(default_factory=set)
    held: list = dataclasses.field(default_factory=list)


def make_cluster(
    seed, durable_count=3, memory_only_count=2, tolerated_losses=0, seeds=None
):
    """Build a cluster and start all instances, with up to three seeds."""
    rng = random.Random(seed)
    names = [f"d{i}" for i in range(durable_count)]
    names += [f"x{i}" for i in range(memory_only_count)]
    if seeds is None:
        seeds = tuple(rng.sample(names, min(3, len(names))))
    cluster = Cluster(rng, seeds, tolerated_losses=tolerated_losses)
    for name in names:
        cluster.instances[name] = Instance(name, name.startswith("d"))
        start(cluster, name, is_first_start=True)
    return cluster


def start(cluster, name, is_first_start=False):
    """Start the process of an instance from the state on its disk.

    The first start of a cluster makes the instance an initial voter; later, an
    instance with an empty disk gets a new store id.
    """
    instance = cluster.instances[name]
    instance.incarnation += 1
    stored = instance.persisted
    new_store_id = (
        register.GENESIS
        if is_first_start
        else f"{name}-{instance.incarnation}"
    )
    store_id = stored.store_id if stored is not None else new_store_id
    instance.node = register.new_node(
        builders.make_peer(name, store_id, instance.durable),
        cluster.seeds,
        builders.bind_chart("member", register),
        cluster.rng,
        cluster.now_ms,
        stored,
    )
    instance.node.tolerated_losses = cluster.tolerated_losses
    instance.in_force_version = -1
    instance.leads = False
    post(cluster, TICK_MS, name, instance.incarnation, register.Tick())


def stop(cluster, name, lose_disk=False):
    """Stop the process of an instance, which may lose its disk."""
    instance = cluster.instances[name]
    instance.node = None
    instance.incarnation += 1
    cluster.frozen.discard(name)
    cluster.held = [item for item in cluster.held if item[0] != name]
    if lose_disk or not instance.durable:
        instance.persisted = None


def stop_planned(cluster, name):
    """Request the stop of a process, and end it once it may end."""
    instance = cluster.instances[name]
    post(cluster, 0, name, instance.incarnation, register.StopRequested())
    run(cluster, TICK_MS)
    while instance.node is not None and register.awaits_handover(
        instance.node, cluster.now_ms
    ):
        run(cluster, TICK_MS)
    stop(cluster, name)


def freeze(cluster, name):
    """Suspend the process of an instance; messages to it wait."""
    cluster.frozen.add(name)


def thaw(cluster, name):
    """Resume the process of an instance."""
    cluster.frozen.discard(name)
    held = [item for item in cluster.held if item[0] == name]
    cluster.held = [item for item in cluster.held if item[0] != name]
    for _, incarnation, message in held:
        post(cluster, 0, name, incarnation, message)


def post(cluster, delay_ms, to, incarnation, message):
    """Schedule the delivery of a message."""
    cluster.sequence += 1
    item = (
        cluster.now_ms + delay_ms,
        cluster.sequence,
        to,
        incarnation,
        message,
    )
    heapq.heappush(cluster.queue, item)


def run(cluster, duration_ms):
    """Deliver all messages that are due within a duration of virtual time."""
    end_ms = cluster.now_ms + duration_ms
    while cluster.queue and cluster.queue[0][0] <= end_ms:
        due_ms, _, to, target_incarnation, message = heapq.heappop(
            cluster.queue
        )
        cluster.now_ms = max(cluster.now_ms, due_ms)
        instance = cluster.instances.get(to)
        if (
            instance is None
            or instance.node is None
            or target_incarnation not in (None, instance.incarnation)
        ):
            continue
        if to in cluster.frozen:
            cluster.held.append((to, target_incarnation, message))
            continue
        if isinstance(message, register.Tick):
            post(cluster, TICK_MS, to, instance.incarnation, message)
        deliver(cluster, instance, message)
    cluster.now_ms = end_ms


def deliver(cluster, instance, message):
    """Deliver a message and perform its effects until the process stops."""
    incarnation = instance.incarnation
    for effect in register.step(instance.node, cluster.now_ms, message):
        perform(cluster, instance, effect)
        if instance.incarnation != incarnation:
            return
    if instance.leads != (instance.node.phase == "leader"):
        raise InvariantViolationError(
            f"{instance.address} has not told that its leadership changed"
        )
    check_single_leader(cluster)


def perform(cluster, instance, effect):
    """Perform one effect of a node."""
    match effect:
        case effects.Send():
            send(cluster, instance.address, effect)
        case register.Persist():
            if cluster.rng.random() < cluster.crash_probability:
                # The process crashes before it writes.
                stop(cluster, instance.address)
                return
            if instance.durable:
                instance.persisted = effect.stored
            note_stored(cluster, instance, effect.stored)
        case register.Committed():
            record_in_force(cluster, instance, effect)
        case register.LeaderChanged():
            instance.leads = effect.leads
        case register.Proposed() | register.ReadAnswer():
            record_answer(cluster, effect)


def send(cluster, sender, effect):
    """Send a message with a random delay, unless the network loses it."""
    is_cut = (sender, effect.to) in cluster.cut_links
    if is_cut or effect.to not in cluster.instances:
        return
    if cluster.rng.random() < cluster.loss_probability:
        return
    delay_ms = cluster.rng.choice(cluster.delays_ms)
    post(cluster, delay_ms, effect.to, None, effect.message)


def note_stored(cluster, instance, stored):
    """Note the document of a record once a quorum has stored the record."""
    record = stored.record
    if record is None:
        return
    storers = cluster.storers.setdefault((record.term, record.seq), set())
    storers.add(register_messages.Member(instance.address, stored.store_id))
    if electorate.is_quorum(record, storers):
        cluster.quorum_documents.add((record.version, record.body))


def record_in_force(cluster, instance, effect):
    """Check a document that comes into force.

    Its version has no other content, a quorum has stored it, and it is not
    older than the one before.
    """
    if (effect.version, effect.body) not in cluster.quorum_documents:
        raise InvariantViolationError(
            f"{instance.address} obeys {effect.body}, which no quorum stored"
        )
    earlier_body = cluster.body_by_version.setdefault(
        effect.version, effect.body
    )
    if earlier_body != effect.body:
        raise InvariantViolationError(
            f"version {effect.version} is in force with two contents"
        )
    if effect.version <= instance.in_force_version:
        raise InvariantViolationError(
            f"{instance.address} went back from version "
            f"{instance.in_force_version} to {effect.version}"
        )
    instance.in_force_version = effect.version


def record_answer(cluster, effect):
    """Check that a read returns no version older than one accepted before."""
    kind, version, min_version = cluster.pending_requests.pop(
        effect.request_id
    )
    if kind == "read" and effect.body is not None:
        version_read = (
            int(effect.body.partition(b":")[0]) if effect.body else -1
        )
        if version_read < min_version:
            raise InvariantViolationError(
                f"read version {version_read} after {min_version} was accepted"
            )
    if kind == "propose" and effect.done:
        check_survives_losses(cluster, version)
        cluster.accepted_version = max(cluster.accepted_version, version)


def check_survives_losses(cluster, version):
    """Check that no tolerated loss of disks ends a confirmed version.

    The disks that have it are more than may be lost, and of each set of
    voters that is in force, the others are a quorum. Fleets that have too few
    disks for that are not checked.
    """
    losses = cluster.tolerated_losses
    durable = [i for i in cluster.instances.values() if i.durable]
    if len(durable) < 2 * losses + 1:
        return
    holders = [
        instance
        for instance in durable
        if instance.persisted is not None
        and instance.persisted.record is not None
        and instance.persisted.record.version >= version
    ]
    if len(holders) <= losses:
        raise InvariantViolationError(
            f"version {version} is confirmed on {len(holders)} disks"
        )
    newest = max(
        (holder.persisted.record for holder in holders),
        key=lambda record: (record.term, record.seq),
    )
    for voters in filter(None, (newest.members, newest.leaving)):
        if 2 * (len(voters) - losses) <= len(voters):
            raise InvariantViolationError(
                f"version {version} is confirmed by {len(voters)} voters"
            )


def propose(cluster, name, version, label=b"a"):
    """Propose a version, whose content includes the label, to one node."""
    cluster.sequence += 1
    cluster.pending_requests[cluster.sequence] = ("propose", version, -1)
    body = b"%d:%s" % (version, label)
    message = register.Propose(cluster.sequence, version, body)
    post(cluster, 1, name, cluster.instances[name].incarnation, message)


def leaders(cluster):
    """Return the addresses of the running nodes that regard themselves so."""
    return [
        name
        for name in running(cluster)
        if cluster.instances[name].node.phase == "leader"
    ]


def race_operators(cluster):
    """Propose two contents of a version on the two sides of a cut.

    One side is the leader alone or with a node without a disk. Each operator
    repeats its proposal, as it gets no clear answer at first. The node that
    led may restart during the cut, and all nodes after it.
    """
    rng = cluster.rng
    cut_off = leaders(cluster)
    if not cut_off:
        return
    cut_off += memory_only(cluster)[: rng.randrange(2)]
    version = cluster.next_version
    cluster.next_version += 1 + rng.randrange(3)
    others = sorted(set(running(cluster)) - set(cut_off))
    cut_links_of(cluster, cut_off)
    for turn in range(12):
        propose(cluster, cut_off[0], version, b"first")
        if others:
            propose(cluster, others[turn % len(others)], version, b"second")
        run(cluster, 100 + rng.randrange(100))
    if rng.random() < 0.3:
        restart(cluster, cut_off)
        run(cluster, rng.randrange(600))
    restore_links(cluster)
    run(cluster, rng.randrange(1200))
    if rng.random() < 0.3:
        restart(cluster, sorted(cluster.instances))
    run(cluster, 1500)


def memory_only(cluster):
    """Return the addresses of the running instances without a disk."""
    return [
        name
        for name in running(cluster)
        if not cluster.instances[name].durable
    ]


def restart(cluster, names):
    """Stop instances and start them again one after another."""
    for name in names:
        stop(cluster, name)
        run(cluster, cluster.rng.randrange(100))
        start(cluster, name)


def read(cluster, name):
    """Request the newest document from one node."""
    cluster.sequence += 1
    cluster.pending_requests[cluster.sequence] = (
        "read",
        -1,
        cluster.accepted_version,
    )
    message = register.Read(cluster.sequence)
    post(cluster, 0, name, cluster.instances[name].incarnation, message)


def check_single_leader(cluster):
    """Check that at most one node holds the lease."""
    leading = [
        instance.address
        for instance in cluster.instances.values()
        if instance.node is not None
        and register.leads(instance.node, cluster.now_ms)
    ]
    if len(leading) > 1:
        raise InvariantViolationError(f"several leaders at once: {leading}")


def cut_links_of(cluster, names, one_way=False):
    """Cut the links between the named instances and all others.

    With `one_way`, only messages from the named instances are lost.
    """
    others = set(cluster.instances) - set(names)
    for name in names:
        for other in others:
            cluster.cut_links.add((name, other))
            if not one_way:
                cluster.cut_links.add((other, name))


def restore_links(cluster):
    """Restore all cut links."""
    cluster.cut_links.clear()


def running(cluster):
    """Return the addresses of the instances whose process runs."""
    return [
        instance.address
        for instance in cluster.instances.values()
        if instance.node is not None
    ]


def recover(cluster, duration_ms=12_000):
    """End all faults, start all stopped instances and run for a while."""
    restore_links(cluster)
    cluster.loss_probability = 0.0
    for name, instance in cluster.instances.items():
        if instance.node is None:
            start(cluster, name)
    run(cluster, duration_ms)


def read_newest_version(cluster):
    """Return the committed version that the leader reports.

    The result is None if no node can prove which version is the newest.
    """
    newest = None
    for name in running(cluster):
        instance = cluster.instances[name]
        for effect in register.step(
            instance.node, cluster.now_ms, register.Read(-1)
        ):
            if isinstance(effect, register.ReadAnswer) and effect.body:
                newest = int(effect.body.partition(b":")[0])
    return newest
