"""Measure the connections between nodes on loopback.

Print the round trip of a small message between two processes, the processor
time of a process that sends messages to peers and of one that receives them
from as many, the latter with the time of its peers apart, and the resident
memory of a process with connections to and from many peers. Each process has
a core of its own; the peers of the second and third row share one process.
"""

import asyncio
import multiprocessing
import os
import pathlib
import resource
import statistics
import time

from absl import app, flags

from bilberryramp.decisions.fleet.core import presence
from bilberryramp.tasks import peer_mesh

_CORES = flags.DEFINE_list("cores", ["0", "1"], "The two cores to run on.")
_ROUNDS = flags.DEFINE_integer("rounds", 20_000, "Round trips.")
_RATE = flags.DEFINE_integer("rate", 5000, "Messages per second.")
_PEERS = flags.DEFINE_integer("peers", 16, "Peers that messages are sent to.")
_SECONDS = flags.DEFINE_float("seconds", 10.0, "Duration of the load.")
_MANY = flags.DEFINE_integer("many", 30, "Peers in the row on memory.")
_PORT = flags.DEFINE_integer("port", 27400, "First port; 200 are used.")

HOST = "127.0.0.1"
WARM_UP_ROUNDS = 500
SETTLE_S = 3.0


def make_message(number):
    return presence.Keepalive("upstream-name-1", 1_764_000_000_000, number)


def read_memory_mb():
    """Return the resident memory of this process in megabytes."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def read_cpu_s():
    """Return the processor time of all threads of this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def echo(pipe, address, peer):
    """Answer each message until the parent ends this process."""
    mesh = peer_mesh.open_mesh(
        address, lambda message: peer_mesh.send(mesh, peer, message)
    )
    pipe.send("ready")
    await asyncio.sleep(3600)


async def time_round_trips(pipe, address, peer, rounds):
    """Send the round trips of sequential messages in microseconds."""
    arrived = asyncio.Event()
    mesh = peer_mesh.open_mesh(address, lambda _message: arrived.set())
    durations_us = []
    for number in range(rounds + WARM_UP_ROUNDS):
        arrived.clear()
        started_s = time.perf_counter()
        peer_mesh.send(mesh, peer, make_message(number))
        while not arrived.is_set():
            try:
                async with asyncio.timeout(1):
                    await arrived.wait()
            except TimeoutError:
                # The first ones may be sent before the connection is up.
                peer_mesh.send(mesh, peer, make_message(number))
        durations_us.append((time.perf_counter() - started_s) * 1e6)
    pipe.send(durations_us[WARM_UP_ROUNDS:])


async def run_load(pipe, own, others, rate, seconds):
    """Send to each of `others` from each of `own`, and count what arrives.

    The rate is that of all messages sent here. The result has the processor
    time of the load in seconds, the numbers of messages sent, dropped and
    received, and the resident memory at its end in megabytes.
    """
    received = 0

    def count(_message):
        nonlocal received
        received += 1

    meshes = [peer_mesh.open_mesh(address, count) for address in own]
    pipe.send("ready")
    await asyncio.to_thread(pipe.recv)
    for number in range(10):
        for mesh in meshes:
            peer_mesh.broadcast(mesh, others, make_message(number))
        await asyncio.sleep(0.1)
    await asyncio.sleep(SETTLE_S)
    received, sent = 0, 0
    dropped_before = sum(mesh.dropped for mesh in meshes)
    cpu_before_s, started_s = read_cpu_s(), time.perf_counter()
    step = max(len(others) * len(meshes), 1)
    while (elapsed_s := time.perf_counter() - started_s) < seconds:
        while sent < elapsed_s * rate:
            for mesh in meshes:
                peer_mesh.broadcast(mesh, others, make_message(sent))
            sent += step
        await asyncio.sleep(step / rate if rate else 0.1)
    cpu_s = read_cpu_s() - cpu_before_s
    await asyncio.sleep(0.2)
    dropped = sum(mesh.dropped for mesh in meshes) - dropped_before
    pipe.send((cpu_s, sent, dropped, received, read_memory_mb()))


def _run(core, coroutine, pipe, *args):
    os.sched_setaffinity(0, {core})
    asyncio.run(coroutine(pipe, *args))


def start(core, coroutine, *args):
    """Run a coroutine in a process on a core; return it and its pipe."""
    ctx = multiprocessing.get_context("spawn")
    pipe, child_pipe = ctx.Pipe()
    process = ctx.Process(
        target=_run, args=(core, coroutine, child_pipe, *args), daemon=True
    )
    process.start()
    return process, pipe


def print_round_trips(cores):
    first, second = (f"{HOST}:{_PORT.value + k}" for k in range(2))
    other, other_pipe = start(cores[1], echo, second, first)
    other_pipe.recv()
    _, pipe = start(cores[0], time_round_trips, first, second, _ROUNDS.value)
    durations_us = pipe.recv()
    other.kill()
    percentiles = statistics.quantiles(durations_us, n=100)
    print(
        f"round trip: p50 {percentiles[49]:.0f} us, "
        f"p99 {percentiles[98]:.0f} us"
    )


def measure_load(cores, port, count, rates):
    """Run one process with `count` peers in another one; return the results.

    `rates` are those of the process and of its peers together.
    """
    own = [f"{HOST}:{port}"]
    others = [f"{HOST}:{port + 1 + k}" for k in range(count)]
    pipes = [
        start(cores[0], run_load, own, others, rates[0], _SECONDS.value)[1],
        start(cores[1], run_load, others, own, rates[1], _SECONDS.value)[1],
    ]
    for pipe in pipes:
        pipe.recv()
    for pipe in pipes:
        pipe.send("go")
    return [pipe.recv() for pipe in pipes]


def print_load(name, result):
    cpu_s, sent, dropped, received, memory_mb = result
    print(
        f"{name}: {cpu_s / _SECONDS.value * 100:.1f}% of a core, "
        f"{sent} sent, {dropped} dropped, {received} received, "
        f"{memory_mb:.1f} MB"
    )


def main(_):
    cores = [int(core) for core in _CORES.value]
    print_round_trips(cores)
    port, count, rate = _PORT.value + 10, _PEERS.value, _RATE.value
    print_load("sends", measure_load(cores, port, count, (rate, 0))[0])
    print_load("receives", measure_load(cores, port + 40, count, (0, rate))[0])
    print_load(
        f"{_MANY.value} peers, idle",
        measure_load(cores, port + 80, _MANY.value, (0, 0))[0],
    )


if __name__ == "__main__":
    app.run(main)
