"""Small fleet of the project's programs on loopback addresses, for a case.

The programs are started with the commands of the deploy file. Nodes also get
the flag ``--peer_bind_ip``, as in the project's own soak, so that a proxy
stands between them.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

import aiohttp

from bilberryramp.platform import standins
from bilberryramp.soak import processes, proxy

PEER_PORT, FRONT_PORT, READY_PORT, CONTROL_PORT, ENGINE_PORT = range(
    7380, 7385
)
HEARTBEAT_S = 1.2
START_TIMEOUT_S = 25.0


class CannotRunError(Exception):
    """Raised when a case cannot be judged; the script exits with 2."""


@dataclasses.dataclass(slots=True)
class Node:
    """One node with its program and the proxied link to its peer port."""

    name: str
    ip: str
    bind_ip: str
    program: processes.Program
    link: proxy.Link
    cuts: set = dataclasses.field(default_factory=set)

    @property
    def control(self) -> str:
        """Address for operators and heartbeats."""
        return f"{self.bind_ip}:{CONTROL_PORT}"

    @property
    def front(self) -> str:
        """Address for clients."""
        return f"{self.bind_ip}:{FRONT_PORT}"

    @property
    def ready(self) -> str:
        """Address for readiness checks."""
        return f"{self.bind_ip}:{READY_PORT}"


@dataclasses.dataclass(slots=True)
class Fleet:
    """Nodes, the folder of their files, and the record of the case."""

    nodes: list[Node]
    folder: pathlib.Path
    subnet: int
    record: object
    session: aiohttp.ClientSession
    tasks: list = dataclasses.field(default_factory=list)
    engines: list = dataclasses.field(default_factory=list)
    servers: list = dataclasses.field(default_factory=list)
    started_s: float = dataclasses.field(default_factory=time.monotonic)

    def note(self, text: str) -> None:
        """Write one line to the record of the case."""
        at_s = time.monotonic() - self.started_s
        self.record.write(f"{at_s:8.3f} {text}\n")
        self.record.flush()


def _free_subnet() -> int:
    """Return a number whose loopback addresses have the ports free."""
    for _ in range(50):
        subnet = random.randrange(30, 220)
        try:
            for number in range(1, 5):
                for port in range(PEER_PORT, ENGINE_PORT + 1):
                    for part in (1, 3):
                        with socket.socket() as sock:
                            sock.bind((f"127.{subnet}.{part}.{number}", port))
            return subnet
        except OSError:
            continue
    raise CannotRunError("no free loopback addresses")


def _make_node(folder, subnet, number, seeds, has_disk) -> Node:
    name = f"n{number}"
    ip, bind_ip = f"127.{subnet}.1.{number}", f"127.{subnet}.3.{number}"
    data = folder / f"{name}-data" if has_disk else None
    if data is not None:
        data.mkdir()
    path = folder / f"{name}.toml"
    path.write_text(
        standins.make_settings_text(
            name,
            ip,
            PEER_PORT,
            seeds,
            folder=data or "",
            front=f"{bind_ip}:{FRONT_PORT}",
            ready=f"{bind_ip}:{READY_PORT}",
            control=f"{bind_ip}:{CONTROL_PORT}",
        )
    )
    program = processes.Program(
        name,
        "bilberryramp.programs.node",
        ("--metrics_port=9464", f"--peer_bind_ip={bind_ip}"),
        standins.PATH_VARIABLE,
        path,
        data,
        folder / f"{name}.log",
    )
    link = proxy.Link((ip, PEER_PORT), (bind_ip, PEER_PORT))
    return Node(name, ip, bind_ip, program, link)


async def start(record, core: int = 3, others: int = 0) -> Fleet:
    """Start nodes, of which the first ones have a disk."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    subnet = _free_subnet()
    seeds = [
        f"127.{subnet}.1.{k}:{CONTROL_PORT}"
        for k in range(1, min(core, 3) + 1)
    ]
    nodes = [
        _make_node(folder, subnet, number, seeds, number <= core)
        for number in range(1, core + others + 1)
    ]
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True),
        timeout=aiohttp.ClientTimeout(total=20),
    )
    fleet = Fleet(nodes, folder, subnet, record, session)
    try:
        for node in nodes:
            await _open_cuttable_link(fleet, node)
        for node in nodes:
            await processes.start(node.program)
    except BaseException:
        await stop(fleet)
        raise
    return fleet


async def _open_cuttable_link(fleet: Fleet, node: Node) -> None:
    """Open a node's link; connections of cut peers lose all bytes silently."""

    def accept(reader, writer) -> None:
        fleet.tasks.append(
            asyncio.create_task(_serve(fleet, node, reader, writer))
        )

    node.link.server = await asyncio.start_server(accept, *node.link.listen)


async def _serve(fleet: Fleet, node: Node, reader, writer) -> None:
    source = _source_of(fleet, writer)
    # A machine behind a partition does not respond until the cut has healed.
    while source in node.cuts:
        await asyncio.sleep(0.05)
    try:
        far_reader, far_writer = await asyncio.open_connection(
            *node.link.target
        )
    except OSError:
        writer.transport.abort()
        return
    ends = (writer, far_writer)
    node.link.writers |= set(ends)

    async def pump(side, other) -> None:
        has_lost_bytes = False
        with contextlib.suppress(OSError):
            while data := await side.read(2**16):
                if source in node.cuts:
                    has_lost_bytes = True
                elif has_lost_bytes:
                    break
                else:
                    other.write(data)
                    await other.drain()
        for end in ends:
            end.transport.abort()

    await asyncio.gather(pump(reader, far_writer), pump(far_reader, writer))
    node.link.writers -= set(ends)


def _source_of(fleet: Fleet, writer) -> str:
    """Return the name of the node whose process opened a connection."""
    host, port = writer.get_extra_info("peername")[:2]
    packed = socket.inet_aton(host)[::-1].hex().upper()
    wanted = f"{packed}:{port:04X}"
    inode = ""
    for line in pathlib.Path("/proc/self/net/tcp").read_text().splitlines():
        fields = line.split()
        if fields[1] == wanted and fields[9] != "0":
            inode = fields[9]
            break
    for node in fleet.nodes:
        proc = node.program.proc
        if proc is None or proc.returncode is not None:
            continue
        with contextlib.suppress(OSError):
            for entry in os.scandir(f"/proc/{proc.pid}/fd"):
                with contextlib.suppress(OSError):
                    if os.readlink(entry.path) == f"socket:[{inode}]":
                        return node.name
    return ""


def cut(fleet: Fleet, node: Node) -> None:
    """Cut a node off from all other nodes, in both directions, silently."""
    for other in fleet.nodes:
        if other is not node:
            other.cuts.add(node.name)
            node.cuts.add(other.name)


def heal(fleet: Fleet) -> None:
    """End all cuts."""
    for node in fleet.nodes:
        node.cuts.clear()


async def stop(fleet: Fleet) -> None:
    """End all processes of the case and remove its folder."""
    for node in fleet.nodes:
        await processes.kill(node.program)
        if node.link.server is not None:
            node.link.server.close()
    for task in fleet.tasks:
        task.cancel()
    await asyncio.gather(*fleet.tasks, return_exceptions=True)
    for engine in fleet.engines:
        if engine.server is not None:
            await standins.stop(engine)
    for server in fleet.servers:
        server.close()
    await fleet.session.close()
    keep = os.environ.get("KEEP_LOGS")
    if keep:
        shutil.copytree(fleet.folder, keep, dirs_exist_ok=True)
    shutil.rmtree(fleet.folder, ignore_errors=True)


async def add_service(
    fleet: Fleet, service: str, number: int, serve=None, **fields
) -> standins.Engine:
    """Start a stand-in of an upstream, and its heartbeats.

    `serve` starts to listen in place of the project's stand-in.
    """
    engine = standins.Engine(
        f"i-{service}-{number}",
        service,
        service_time_s=0.02,
        born_ms=time.time_ns() // 1_000_000,
        **fields,
    )
    engine.on_execute = lambda request_id: fleet.note(
        f"engine {engine.upstream_id} runs {request_id}"
    )
    host = f"127.{fleet.subnet}.4.{number}"
    if serve is None:
        await standins.start(engine, host)
    else:
        fleet.servers.append(await serve(engine, host, ENGINE_PORT))
    fleet.engines.append(engine)
    fleet.tasks.append(asyncio.create_task(_announce(fleet, engine)))
    return engine


async def _announce(fleet: Fleet, engine: standins.Engine) -> None:
    turn = 0
    while True:
        for _ in fleet.nodes:
            node = fleet.nodes[turn % len(fleet.nodes)]
            try:
                async with asyncio.timeout(1):
                    status = await standins.send_heartbeat(
                        engine, fleet.session, node.control
                    )
                if status == 200:
                    break
            except (aiohttp.ClientError, OSError, TimeoutError):
                pass
            turn += 1
        await asyncio.sleep(HEARTBEAT_S)


async def put(fleet: Fleet, node: Node, body: bytes) -> int:
    """Send a configuration as the operator does; 0 without an answer."""
    url = f"http://{node.control}/config/put"
    try:
        async with fleet.session.post(
            url, data=body, timeout=aiohttp.ClientTimeout(total=1)
        ) as resp:
            await resp.read()
            return resp.status
    except (aiohttp.ClientError, OSError, TimeoutError):
        return 0


async def put_until_clear(
    fleet: Fleet, nodes: list[Node], body: bytes, label: str, timeout_s: float
) -> int:
    """Send the same configuration again until it has a clear answer."""
    end_s = time.monotonic() + timeout_s
    turn = 0
    while time.monotonic() < end_s:
        node = nodes[turn % len(nodes)]
        status = await put(fleet, node, body)
        fleet.note(f"operator sent {label} to {node.name}: {status}")
        if status and status < 500 and status not in (408, 429, 307):
            return status
        turn += 1
        await asyncio.sleep(min(0.1 * turn, 0.5))
    return 0


async def read(fleet: Fleet, node: Node, redirects: bool = True):
    """Read the configuration; return status and decoded body or None."""
    url = f"http://{node.control}/config/get"
    try:
        async with fleet.session.get(
            url,
            allow_redirects=redirects,
            timeout=aiohttp.ClientTimeout(total=1),
        ) as resp:
            body = await resp.read()
            return resp.status, json.loads(
                body
            ) if resp.status == 200 else None
    except (aiohttp.ClientError, OSError, TimeoutError):
        return 0, None


async def find_leader(fleet: Fleet) -> Node:
    """Return the node that answers a read itself."""
    end_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end_s:
        for node in fleet.nodes:
            status, _ = await read(fleet, node, redirects=False)
            if status == 200:
                return node
        await asyncio.sleep(0.2)
    raise CannotRunError("no leader was found")


async def wait_ready(fleet: Fleet) -> None:
    """Wait until all nodes say that they are ready."""
    end_s = time.monotonic() + START_TIMEOUT_S
    waiting = list(fleet.nodes)
    while waiting:
        if time.monotonic() > end_s:
            raise CannotRunError("not all nodes became ready")
        for node in list(waiting):
            with contextlib.suppress(aiohttp.ClientError, OSError):
                async with fleet.session.get(
                    f"http://{node.ready}/ready"
                ) as resp:
                    if resp.status == 200:
                        waiting.remove(node)
        await asyncio.sleep(0.2)


async def put_first(fleet: Fleet, body: bytes) -> None:
    """Send the first configuration until it is accepted."""
    status = await put_until_clear(
        fleet, fleet.nodes, body, "the first configuration", START_TIMEOUT_S
    )
    if status != 200:
        raise CannotRunError("the first configuration was not accepted")


def run(case, folder: str, **options) -> None:
    """Run a case and exit with its result: 0 held, 1 broken, 2 not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    path = pathlib.Path(folder) / "record.txt"

    async def main(record) -> int:
        fleet = None
        main_task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, main_task.cancel
        )
        try:
            async with asyncio.timeout(115):
                fleet = await start(record, **options)
                broken = await case(fleet, has_trouble)
                fleet.note("rule broken" if broken else "rule held")
                return 1 if broken else 0
        finally:
            if fleet is not None:
                await stop(fleet)

    with path.open("w") as record:
        try:
            code = asyncio.run(main(record))
        except (
            CannotRunError,
            OSError,
            TimeoutError,
            asyncio.CancelledError,
        ) as exc:
            record.write(f"could not run: {exc!r}\n")
            code = 2
    print(path.read_text(), end="")
    sys.exit(code)
