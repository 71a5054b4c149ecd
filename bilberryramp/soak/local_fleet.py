"""Start a fleet of programs, links and engines, and inject faults into it."""

import asyncio
import dataclasses
import pathlib
import random
import signal
import time
from collections.abc import Callable

from bilberryramp.platform import standins
from bilberryramp.soak import (
    engine_troubles,
    observations,
    processes,
    proxy,
)

__all__ = [
    "CONTROL_PORT",
    "FRONT_PORT",
    "MODEL_COUNT",
    "PLAIN_COUNT",
    "Fleet",
    "Host",
    "kill_programs",
    "clear_faults",
    "front_address",
    "inject",
    "make_fleet",
    "now_ms",
    "start_fleet",
    "stop_fleet",
]

PEER_PORT, FRONT_PORT, READINESS_PORT, CONTROL_PORT, ENGINE_PORT = range(
    7380, 7385
)
# Shorter than the platform's default of 1200 ms, so that a soak covers more
# heartbeats.
HEARTBEAT_INTERVAL_MS = 400
# Time after which an engine that a request crashed is restarted.
CRASH_RESTART_S = 1.5
# One in so many streams has neither length nor chunks.
UNFRAMED_EVERY = 4
# Number of model engines, and of engines of the plain service, by default.
MODEL_COUNT = 2
PLAIN_COUNT = 2
MODELS = [{"name": "m0", "version": 1, "adapters": []}]
_Kind = observations.FaultKind


def now_ms() -> int:
    """Return the monotonic time in milliseconds, the clock of observations."""
    return time.monotonic_ns() // 1_000_000


def _serve_all(_upstream_id, _request_id) -> None:
    """Let an engine serve all requests, as `Host.choose_trouble`."""


async def _submit_nothing(_name: str) -> None:
    """Change nothing, as `Fleet.submit_change`."""


@dataclasses.dataclass(slots=True)
class Host:
    """A node or an engine, with its program and the proxied links to it.

    Attributes
    ----------
    name
        Name of the node or engine, used as `Fault.target`.
    address
        IP address to which clients and other nodes connect. Links forward
        from it to the address that the program or engine binds.
    program
        Node process, or agent process of a model engine; None for a plain
        service.
    links
        Proxied links to the node or engine.
    engine
        Running stand-in engine; None for a node or while the engine is down.
    boot_count
        Number of times that the engine was started.
    is_leaving
        Whether the engine's heartbeats say that it drains.
    is_starting
        Whether the engine is being started.
    choose_trouble
        Called with the ids of the engine and of a request that it has read,
        and returns its `standins.Trouble`, or None if the engine serves it.
    """

    name: str
    address: str
    program: processes.Program | None
    links: list = dataclasses.field(default_factory=list)
    engine: standins.Engine | None = None
    boot_count: int = 0
    is_leaving: bool = False
    is_starting: bool = False
    choose_trouble: Callable = _serve_all


@dataclasses.dataclass(slots=True)
class Fleet:
    """A fleet of nodes and engines on one machine.

    Attributes
    ----------
    nodes, engines
        Hosts by name.
    record
        Called with each observation.
    is_finished
        Whether the soak is over: callers, the operator and heartbeats end,
        and crashed engines are not restarted.
    restarts
        Tasks that restart engines that requests crashed.
    stopping
        Names of the programs that have SIGTERM and have not ended yet.
    make_body
        Makes the body of the document with a given version.
    last_version
        Highest version of a document that was submitted.
    submit_change
        Submits a changed document to the node with a given name.
    """

    nodes: dict[str, Host]
    engines: dict[str, Host]
    record: Callable
    is_finished: bool = False
    restarts: set = dataclasses.field(default_factory=set)
    stopping: set = dataclasses.field(default_factory=set)
    make_body: Callable = standins.make_document_body
    last_version: int = 1
    submit_change: Callable = _submit_nothing


def make_fleet(
    slot: int,
    folder: pathlib.Path,
    record: Callable,
    core: int,
    others: int,
    model_count: int = MODEL_COUNT,
    plain_count: int = PLAIN_COUNT,
) -> Fleet:
    """Create a fleet without starting it.

    Parameters
    ----------
    slot
        Number that selects the loopback addresses, so that soaks with
        different slots can run at the same time.
    folder
        Folder for settings, data and logs.
    record
        Function called with each observation.
    core, others
        Number of nodes with and without a data folder.
    model_count, plain_count
        Number of model engines and of engines of the plain service.

    Returns
    -------
    Fleet
        Nodes, model engines and engines of the plain service, in this order.
    """

    def ip(subnet: int, number: int) -> str:
        return f"127.{20 + slot}.{subnet}.{number}"

    seeds = [f"{ip(1, k)}:{CONTROL_PORT}" for k in range(1, min(core, 3) + 1)]
    nodes = {}
    for number in range(1, core + others + 1):
        name = f"n{number}"
        public_ip, bind_ip = ip(1, number), ip(3, number)
        data = folder / f"{name}-data" if number <= core else None
        program = _program(
            folder,
            name,
            "node",
            (f"--peer_bind_ip={bind_ip}",),
            data,
            standins.make_settings_text(
                name,
                public_ip,
                PEER_PORT,
                seeds,
                folder=data or "",
                front=f"{bind_ip}:{FRONT_PORT}",
                ready=f"{bind_ip}:{READINESS_PORT}",
                control=f"{bind_ip}:{CONTROL_PORT}",
                heartbeat_ms=HEARTBEAT_INTERVAL_MS,
                tolerated_losses=(core - 1) // 2,
            ),
        )
        links = [
            proxy.Link((public_ip, port), (bind_ip, port))
            for port in (PEER_PORT, FRONT_PORT, CONTROL_PORT)
        ]
        nodes[name] = Host(name, public_ip, program, links)
    engines = {}
    for number in range(1, model_count + plain_count + 1):
        name, public_ip, bind_ip = f"e{number}", ip(2, number), ip(4, number)
        program = None
        if number <= model_count:
            program = _program(
                folder,
                f"a{number}",
                "agent",
                (),
                None,
                standins.make_settings_text(
                    f"a{number}",
                    public_ip,
                    PEER_PORT,
                    seeds,
                    engine=f"{bind_ip}:{ENGINE_PORT}",
                    heartbeat_ms=HEARTBEAT_INTERVAL_MS,
                ),
            )
        link = proxy.Link((public_ip, ENGINE_PORT), (bind_ip, ENGINE_PORT))
        engines[name] = Host(name, public_ip, program, [link])
    return Fleet(nodes, engines, record)


def _program(folder, name, module, args, data, settings) -> processes.Program:
    path = folder / f"{name}.toml"
    path.write_text(settings)
    return processes.Program(
        name,
        f"bilberryramp.programs.{module}",
        args,
        standins.PATH_VARIABLE,
        path,
        data,
        folder / f"{name}.log",
    )


def _hosts(fleet: Fleet) -> list[Host]:
    return [*fleet.nodes.values(), *fleet.engines.values()]


async def start_fleet(fleet: Fleet) -> None:
    """Start all links, engines and programs.

    Parameters
    ----------
    fleet
        Fleet that is not running. Modified in place.
    """
    for host in _hosts(fleet):
        for link in host.links:
            await proxy.open_link(link)
        if host.name in fleet.engines:
            await _start_engine(fleet, host)
        if host.program is not None:
            await processes.start(host.program)


async def stop_fleet(fleet: Fleet) -> None:
    """Stop all programs gracefully, then close links and engines.

    Parameters
    ----------
    fleet
        Running fleet without active faults. Modified in place.
    """
    programs = [h.program for h in _hosts(fleet) if h.program is not None]
    await asyncio.gather(
        *(_stop_program(fleet, program) for program in programs)
    )
    await asyncio.gather(*fleet.restarts)
    for host in _hosts(fleet):
        for link in host.links:
            await proxy.close_link(link)
        if host.engine is not None:
            await standins.stop(host.engine)


async def kill_programs(fleet: Fleet) -> None:
    """Kill all programs that still run, and stop links and engines.

    A failed soak leaves nothing that another one with the same addresses
    would meet.

    Parameters
    ----------
    fleet
        Fleet in any state.
    """
    for host in _hosts(fleet):
        if host.program is not None:
            await processes.kill(host.program)
        for link in host.links:
            if link.server is not None:
                await proxy.close_link(link)
        if host.engine is not None:
            await standins.stop(host.engine)


async def _stop_program(fleet: Fleet, program: processes.Program) -> None:
    if program.proc.returncode is None:
        if program.name not in fleet.stopping:
            fleet.record(
                observations.SignalSent(program.name, "SIGTERM", now_ms())
            )
        fleet.stopping.add(program.name)
        code = await processes.stop(program)
        fleet.stopping.discard(program.name)
        if code != -signal.SIGKILL:
            fleet.record(
                observations.ProgramEnded(program.name, code, True, now_ms())
            )
    elif program.proc.returncode != -signal.SIGKILL:
        code = program.proc.returncode
        fleet.record(
            observations.ProgramEnded(program.name, code, False, now_ms())
        )


async def _start_engine(fleet: Fleet, host: Host) -> None:
    """Start an engine under a new id, as a new process would.

    A model engine has its models resident at the first start only. Nothing
    happens if another task is starting it.
    """
    if host.is_starting:
        return
    host.is_starting = True
    host.boot_count += 1
    host.is_leaving = False
    upstream_id = f"{host.name}-{host.boot_count}"
    is_plain = host.program is None
    link = host.links[0]
    has_models = host.boot_count == 1 and not is_plain

    def crash(cause: str, is_part: bool) -> None:
        fleet.record(
            observations.EngineCrashed(cause, upstream_id, now_ms(), is_part)
        )
        if host.engine is engine:
            restart = asyncio.create_task(_restart_engine(fleet, host))
            fleet.restarts.add(restart)
            restart.add_done_callback(fleet.restarts.discard)

    engine = standins.Engine(
        upstream_id,
        "svc-app" if is_plain else "svc-llm",
        advertised_address=f"{host.address}:{ENGINE_PORT}",
        models=list(MODELS) if has_models else [],
        unframed_every=UNFRAMED_EVERY,
        service_time_s=0.04,
        born_ms=time.time_ns() // 1_000_000,
        choose_trouble=lambda request_id: host.choose_trouble(
            upstream_id, request_id
        ),
        on_arrival=lambda request_id, headers: fleet.record(
            observations.RequestArrived(
                request_id,
                upstream_id,
                now_ms(),
                int(headers.get(standins.DEADLINE_HEADER, -1)),
            )
        ),
        on_execute=lambda request_id: fleet.record(
            observations.RunStarted(request_id, upstream_id, now_ms())
        ),
        on_finish=lambda request_id, broke_off: fleet.record(
            observations.RunEnded(request_id, upstream_id, broke_off, now_ms())
        ),
        on_order=lambda fields: fleet.record(
            observations.OrderAccepted(
                upstream_id, fields["holder"], fields["fence"], now_ms()
            )
        ),
        on_crash=crash,
    )
    try:
        await standins.start(engine, *link.target)
        host.engine = engine
    finally:
        host.is_starting = False


async def inject(fleet: Fleet, fault: observations.Fault) -> None:
    """Inject a fault, and return once it has ended.

    Parameters
    ----------
    fleet
        Running fleet. Modified in place.
    fault
        Fault to inject, with times on the clock of `now_ms`.
    """
    host = fleet.nodes.get(fault.target) or fleet.engines[fault.target]
    fleet.record(fault)
    await _FAULTS[fault.kind](fleet, host, fault)


async def _wait_until_end(fault: observations.Fault) -> None:
    """Wait until the time at which a fault must end."""
    await asyncio.sleep(max(fault.to_ms - now_ms(), 0) / 1000)


async def _kill(_fleet, host, fault) -> None:
    await processes.kill(host.program)
    await _wait_until_end(fault)
    await processes.start(host.program)


async def _pause(_fleet, host, fault) -> None:
    processes.signal_program(host.program, signal.SIGSTOP)
    await _wait_until_end(fault)
    processes.signal_program(host.program, signal.SIGCONT)


async def _stop(fleet, host, _fault) -> None:
    await _stop_program(fleet, host.program)
    await processes.start(host.program)


async def _reload(fleet, host, _fault) -> None:
    if host.program.proc.returncode is None:
        fleet.record(observations.SignalSent(host.name, "SIGHUP", now_ms()))
        processes.signal_program(host.program, signal.SIGHUP)


def front_address(host: Host) -> tuple[str, int]:
    """Return the address at which a node itself listens for clients.

    Parameters
    ----------
    host
        Node.

    Returns
    -------
    tuple
        Host and port, behind the node's proxied links.
    """
    return next(
        link.target for link in host.links if link.listen[1] == FRONT_PORT
    )


async def _change_document(fleet, host, _fault) -> None:
    await fleet.submit_change(host.name)


async def _wipe(_fleet, host, fault) -> None:
    await processes.kill(host.program)
    processes.block_writes(host.program, False)
    processes.wipe_data(host.program)
    await _wait_until_end(fault)
    await processes.start(host.program)


async def _kill_all(fleet, _host, fault) -> None:
    programs = [host.program for host in fleet.nodes.values()]
    await asyncio.gather(*(processes.kill(p) for p in programs))
    await _wait_until_end(fault)
    await asyncio.gather(*(processes.start(p) for p in programs))


async def _fail_writes(_fleet, host, fault) -> None:
    processes.block_writes(host.program, True)
    await _wait_until_end(fault)
    processes.block_writes(host.program, False)


def _make_link_fault(**changes) -> Callable:
    """Return a fault that sets attributes of a host's links until it ends."""

    async def inject_fault(_fleet, host, fault) -> None:
        defaults = {name: type(value)() for name, value in changes.items()}
        _set_link_attributes(host, changes)
        await _wait_until_end(fault)
        _set_link_attributes(host, defaults)

    return inject_fault


def _set_link_attributes(host: Host, changes: dict) -> None:
    for link in host.links:
        for name, value in changes.items():
            setattr(link, name, value)


async def _cut_off_from_nodes(_fleet, host, fault) -> None:
    # The first link of a node carries the messages of other nodes.
    link = host.links[0]
    link.swallows_in = link.swallows_out = True
    await _wait_until_end(fault)
    link.swallows_in = link.swallows_out = False


async def _reset_connections(_fleet, host, _fault) -> None:
    for link in host.links:
        proxy.reset(link)


async def _crash_engine(fleet, host, fault) -> None:
    if host.engine is None:
        return
    engine, host.engine = host.engine, None
    await standins.stop(engine)
    await _wait_until_end(fault)
    if not fleet.is_finished and host.engine is None:
        await _start_engine(fleet, host)


async def _restart_engine(fleet, host) -> None:
    """Crash an engine and restart it unless the soak is over by then."""
    engine, host.engine = host.engine, None
    await standins.stop(engine)
    await asyncio.sleep(CRASH_RESTART_S)
    if not fleet.is_finished and host.engine is None:
        await _start_engine(fleet, host)


async def _drain_engine(fleet, host, fault) -> None:
    host.is_leaving = True
    await _leave(fleet, host, fault)


async def _leave(fleet, host, fault) -> None:
    if host.engine is not None:
        host.engine.is_leaving = True
    await _wait_until_end(fault)
    await _crash_engine(fleet, host, fault)


async def _ask_for_pauses(fleet, host, fault) -> None:
    choose_trouble = engine_troubles.make_pauses(
        fleet.record,
        now_ms,
        random.Random(f"{fault}"),
        fault.share,
        fault.says_not_executed,
    )
    await _trouble_engine(host, choose_trouble, fault)


async def _fail_requests(_fleet, host, fault) -> None:
    choose_trouble = engine_troubles.make_errors(
        random.Random(f"{fault}"), fault.share, fault.error
    )
    await _trouble_engine(host, choose_trouble, fault)


async def _trouble_engine(host, choose_trouble, fault) -> None:
    """Let a host's engines be in trouble until a fault ends.

    A later fault of the host replaces the trouble.
    """
    host.choose_trouble = choose_trouble
    await _wait_until_end(fault)
    if host.choose_trouble is choose_trouble:
        host.choose_trouble = _serve_all


_FAULTS = {
    _Kind.KILL: _kill,
    _Kind.PAUSE: _pause,
    _Kind.STOP: _stop,
    _Kind.RELOAD: _reload,
    _Kind.CHANGE: _change_document,
    _Kind.WIPE: _wipe,
    _Kind.KILL_ALL: _kill_all,
    _Kind.DISK: _fail_writes,
    _Kind.DELAY: _make_link_fault(delay_s=0.15),
    _Kind.RESET: _reset_connections,
    _Kind.SILENT: _make_link_fault(swallows_in=True, swallows_out=True),
    _Kind.ONE_WAY: _make_link_fault(swallows_in=True),
    _Kind.CUT: _cut_off_from_nodes,
    _Kind.ENGINE_CRASH: _crash_engine,
    _Kind.ENGINE_DRAIN: _drain_engine,
    _Kind.ENGINE_LEAVE: _leave,
    _Kind.ENGINE_PAUSE: _ask_for_pauses,
    _Kind.ENGINE_ERRORS: _fail_requests,
}


async def clear_faults(fleet: Fleet) -> None:
    """Undo the effects that overlapping faults may have left.

    Parameters
    ----------
    fleet
        Fleet without active faults. Modified in place.
    """
    fleet.record(observations.FaultsCleared(now_ms()))
    for host in _hosts(fleet):
        _set_link_attributes(
            host,
            {"delay_s": 0.0, "swallows_in": False, "swallows_out": False},
        )
        for link in host.links:
            proxy.reset(link)
        if host.program is not None:
            processes.signal_program(host.program, signal.SIGCONT)
            if host.program.folder is not None:
                processes.block_writes(host.program, False)
            await processes.start(host.program)
        if host.name in fleet.engines and host.engine is None:
            await _start_engine(fleet, host)
