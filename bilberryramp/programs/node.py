"""`bilberry-node`: a fleet instance's gateway and register in one process."""

import asyncio
import dataclasses
import gc
import os
import random
import signal
import sys
import uuid

from absl import app, flags

from bilberryramp.decisions.fleet.core import presence
from bilberryramp.decisions.fleet.gateway import gateway, gateway_state
from bilberryramp.decisions.fleet.limits import (
    memory_claims,
    retry_budget,
    retry_shares,
    usage_credits,
    usage_issuer,
    usage_terms,
)
from bilberryramp.decisions.fleet.orders import agent, order_holders, planner
from bilberryramp.decisions.fleet.quarantine import (
    coordinator_state,
    suspect_memory,
)
from bilberryramp.decisions.fleet.register import register, register_messages
from bilberryramp.decisions.fleet.routing import health, upstream_pauses
from bilberryramp.decisions.shared import (
    client_memory,
    pauses,
    quarantine,
    shutdown,
)
from bilberryramp.platform import (
    engine_orders,
    exchanges,
    operator_calls,
    service_documents,
)
from bilberryramp.platform import settings as platform_settings
from bilberryramp.programs import client_guards, fleet_launch
from bilberryramp.settings import fleet
from bilberryramp.storage import slots
from bilberryramp.tasks import (
    client_connections,
    client_guard,
    clock,
    connection_drain,
    departure_relays,
    fleet_frontend,
    fleet_operator,
    gateway_task,
    holder_task,
    mailbox,
    peer_mesh,
    register_task,
    suspect_store,
    upstream_exchange,
)
from bilberryramp.tasks import engine_orders as order_task
from bilberryramp.telemetry import events, profiling

__all__ = ["run"]

# Maximum number of connections that wait to be accepted, per socket.
LISTEN_BACKLOG = 512
# Time after the stop signal for which new connections are accepted. The load
# balancer stops sending them after two failed checks, one per second.
ACCEPT_AFTER_STOP_MS = 2600
# Part of the grace period that is reserved for the exit of the process.
EXIT_MARGIN_MS = 500
# Time before that at which attempts end, so that their answers are written.
ANSWER_MARGIN_MS = 300
# Interval at which the settings file is checked for changes.
SETTINGS_POLL_S = 1.0
# Number of heartbeat intervals within which a node that has just started
# receives a heartbeat of every upstream.
DISCOVERY_HEARTBEATS = 1.1
# Size of the random number that distinguishes this process from earlier ones.
PROCESS_NUMBER_BITS = 20
# Size of the random numbers with which a coordinator's numbering starts.
COORDINATOR_NUMBER_BITS = 40
# Length of the random number from which a process counts its asks for credit.
ASK_ID_BITS = 40


METRICS_PORT_FLAG = flags.DEFINE_integer(
    "metrics_port",
    0,
    "Port at which the metrics are served, on the instance's address. "
    "Default: 0, which disables the metrics.",
)


MAX_ANSWER_BYTES_FLAG = flags.DEFINE_integer(
    "max_answer_bytes",
    fleet_frontend.MAX_ANSWER_BYTES,
    "Maximum size in bytes of an upstream's answer that is not a stream. The "
    "attempt of a larger one fails, and its connection is closed.",
    lower_bound=1,
)


PROFILE_FLAG = flags.DEFINE_float(
    "profile_interval_s",
    0,
    "Interval in seconds at which the most expensive functions are logged. "
    "Default: 0, which disables profiling.",
    lower_bound=0,
)


ORDERS_FROM_FLAG = flags.DEFINE_enum(
    "orders_from",
    "auto",
    ["auto", "nodes", "agents"],
    "Which processes order engines: this program's nodes, which share the "
    "engines among them, or a `bilberry-agent` beside each engine. With "
    "`auto`, nodes do if no agent makes itself known. All nodes of a fleet "
    "need the same value.",
)


PEER_BIND_FLAG = flags.DEFINE_string(
    "peer_bind_ip",
    "",
    "IP address at which to listen for other nodes. Default: the address in "
    "the settings, at which the other nodes reach this one.",
)


@dataclasses.dataclass(slots=True)
class NodeProcess:
    """State of the node's process.

    Attributes
    ----------
    cfg
        Settings with which the process started.
    settings_path
        Path of the settings file.
    settings_signature
        Signature of the settings file before it was read last.
    register, gateway
        Tasks that own the register's and the gateway's state.
    frontend
        State that all client requests share.
    mesh
        Sockets for messages between nodes.
    holder
        Task that orders engines; None if agents do.
    suspects
        Task that keeps the list of suspects; None without a disk.
    servers
        Listening servers for readiness checks and metrics, which are open
        until the process ends.
    listeners
        Listeners for operators and clients, which a stopping node closes.
    guards
        Bounds on what the clients of each listener may hold.
    stop_requested
        Set on SIGTERM or SIGINT.
    was_ready
        Result of the last readiness check, kept to log changes only.
    """

    cfg: fleet.NodeSettings
    settings_path: str
    settings_signature: tuple
    register: register_task.RegisterTask
    gateway: gateway_task.GatewayTask
    frontend: fleet_frontend.Frontend
    mesh: peer_mesh.Mesh
    holder: holder_task.HolderTask | None = None
    suspects: suspect_store.SuspectStore | None = None
    servers: list = dataclasses.field(default_factory=list)
    listeners: list = dataclasses.field(default_factory=list)
    guards: list[client_guard.Guard] = dataclasses.field(default_factory=list)
    stop_requested: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    was_ready: bool = False


def run() -> None:
    """Run the program."""
    app.run(_main)


def _main(_argv: list[str]) -> None:
    path = fleet_launch.settings_path()
    signature = _file_signature(path)
    cfg = fleet_launch.start("bilberry-node")
    sys.exit(asyncio.run(_serve(cfg, path, signature)))


async def _serve(
    cfg: fleet.NodeSettings, settings_path: str, signature: tuple
) -> int:
    proc = _build_process(cfg, settings_path, signature)
    tasks = [
        asyncio.create_task(register_task.run(proc.register)),
        asyncio.create_task(gateway_task.run(proc.gateway)),
        asyncio.create_task(
            register_task.post_ticks(proc.register.inbox, register.Tick())
        ),
        asyncio.create_task(
            register_task.post_ticks(proc.gateway.inbox, gateway.Tick())
        ),
        asyncio.create_task(_watch_settings(proc)),
    ]
    if PROFILE_FLAG.value:
        tasks.append(
            asyncio.create_task(profiling.log_profile(PROFILE_FLAG.value))
        )
    if proc.holder is not None:
        tasks += [
            asyncio.create_task(holder_task.run(proc.holder)),
            asyncio.create_task(
                register_task.post_ticks(
                    proc.holder.inbox, order_holders.Tick()
                )
            ),
        ]
    if proc.suspects is not None:
        tasks.append(asyncio.create_task(suspect_store.run(proc.suspects)))
    _handle_signals(proc)
    await _listen(proc)
    tasks += [
        asyncio.create_task(client_guard.run(guard)) for guard in proc.guards
    ]
    node = proc.register.node
    events.emit(
        events.STARTED,
        address=cfg.client_address,
        store_writes=proc.register.last_write,
        record_version=node.record.version if node.record else None,
        settled_version=node.committed_document.version
        if node.committed_document
        else None,
        suspects=len(proc.gateway.gw.suspect_state.published),
    )
    # The objects made so far live as long as the process, so the garbage
    # collector need not examine them.
    gc.freeze()
    stopped = asyncio.create_task(_shut_down_on_request(proc))
    done, _ = await asyncio.wait(
        [*tasks, stopped], return_when=asyncio.FIRST_COMPLETED
    )
    return _exit_status(done, stopped)


def _exit_status(done: set[asyncio.Task], stopped: asyncio.Task) -> int:
    """Return the exit status once the stop, or a task that never ends, has."""
    if stopped in done and stopped.exception() is None:
        events.emit(events.STOPPED)
        return 0
    for task in done:
        events.emit(events.TASK_FAILED, reason=repr(task.exception()))
    return fleet_launch.EXIT_DEFECT


def _build_process(
    cfg: fleet.NodeSettings, settings_path: str, signature: tuple
) -> NodeProcess:
    now_ms = clock.boot_ms()
    rng = random.Random()
    port = cfg.peer_ports[0]
    address = f"{cfg.ip}:{port}"
    register_inbox, gateway_inbox = mailbox.Mailbox(), mailbox.Mailbox()
    orders_engines = ORDERS_FROM_FLAG.value != "agents"
    holder_inbox = mailbox.Mailbox() if orders_engines else None
    mesh = peer_mesh.open_mesh(
        f"{PEER_BIND_FLAG.value or cfg.ip}:{port}",
        _make_dispatcher(register_inbox, gateway_inbox, holder_inbox),
    )
    if cfg.max_descriptors:
        mesh.listener.max_connections = client_memory.peer_connections(
            cfg.max_descriptors
        )
    table = presence.Table(cfg.heartbeat_ms)
    gw = gateway_state.Gateway(
        address,
        fleet_launch.bind_chart("exchange", gateway_state),
        fleet_launch.bind_chart("upstream_health", health),
        rng,
        table,
        retry_budget.Limits(
            cfg.retry_ratio, cfg.retry_slack, cfg.retry_window_ms
        ),
        upstream_pauses.Pauses(
            fleet_launch.bind_chart("upstream_pause", pauses)
        ),
        cfg.failure_domain,
    )
    gw.started_ms = now_ms
    gw.usage = usage_credits.Credits(ask_id=rng.getrandbits(ASK_ID_BITS))
    gw.engine_memory.process = clock.wall_ms()
    gw.engine_memory.is_binding = cfg.engine_memory_binds
    gw.discovery_deadline_ms = now_ms + round(
        DISCOVERY_HEARTBEATS * cfg.heartbeat_ms
    )
    node_planner = planner.Planner(address, table, gw.loads, gw.demand)
    session = upstream_exchange.open_session(
        exchanges.REQUEST_ID_HEADER,
        lambda upstream: mailbox.post_now(
            gateway_inbox, gateway.ExcessSeen(upstream)
        ),
    )
    gateway_owner = gateway_task.GatewayTask(
        gw,
        node_planner,
        coordinator_state.Coordinator(
            address,
            fleet_launch.bind_chart("suspect", quarantine),
            table,
            rng.getrandbits(COORDINATOR_NUMBER_BITS),
            rng.getrandbits(COORDINATOR_NUMBER_BITS),
        ),
        gateway_inbox,
        mesh,
        service_documents.decode,
        cfg.peer_ports[0],
        departure_relays.DepartureRelays(address, mesh, rng),
        holder_inbox=holder_inbox,
        issuer=usage_issuer.Issuer(
            usage_terms.Exactness(
                cfg.usage_window_ms, cfg.usage_overage, cfg.usage_slack
            )
        ),
    )
    suspects = _open_suspects(cfg, gateway_owner, now_ms)
    register_owner = _open_register(
        cfg, address, rng, now_ms, register_inbox, gateway_inbox, mesh
    )
    register_owner.holder_inbox = holder_inbox
    register_owner.node.chooses_holders = orders_engines
    register_owner.node.defers_to_agents = ORDERS_FROM_FLAG.value == "auto"
    register_owner.node.process_number = rng.getrandbits(PROCESS_NUMBER_BITS)
    register_owner.node.shares = retry_shares.new_shares(
        fleet_launch.bind_chart("retry_share", retry_shares),
        retry_shares.make_times(retry_budget.span_ms(gw.budget_limits)),
    )
    frontend = fleet_frontend.Frontend(
        gateway_owner, session, exchanges, MAX_ANSWER_BYTES_FLAG.value
    )
    return NodeProcess(
        cfg,
        settings_path,
        signature,
        register_owner,
        gateway_owner,
        frontend,
        mesh,
        _make_holder(
            cfg, register_owner.node, holder_inbox, gateway_inbox, mesh
        ),
        suspects,
    )


def _open_suspects(
    cfg, gateway_owner: gateway_task.GatewayTask, now_ms: int
) -> suspect_store.SuspectStore | None:
    """Restore the list of suspects from the disk, if there is one."""
    if not cfg.data_folder:
        return None
    store, stored = suspect_store.open_store(cfg.data_folder)
    gateway_owner.suspect_inbox = store.inbox
    if stored is not None:
        suspect_memory.restore(
            gateway_owner.gw.suspect_state, stored, clock.wall_ms(), now_ms
        )
    return store


def _make_holder(
    cfg, node: register.Node, holder_inbox, gateway_inbox, mesh
) -> holder_task.HolderTask | None:
    """Make the task that orders engines; None if agents order them."""
    if holder_inbox is None:
        return None
    start_call = order_task.make_engine_caller(
        order_task.open_session(), engine_orders, cfg.name
    )

    def call_engine(call: order_holders.EngineCall) -> None:
        def post(message) -> None:
            mailbox.post_now(
                holder_inbox,
                order_holders.EngineMessage(
                    call.upstream_id, call.born_ms, message
                ),
            )

        def note_leaving() -> None:
            notice = presence.LeavingNotice(call.upstream_id, call.born_ms)
            mailbox.post_now(gateway_inbox, gateway.LeavingSeen(notice))

        def note_pause(pause_ms: int) -> None:
            notice = upstream_pauses.PauseNotice(
                call.upstream_id, call.address, call.born_ms, pause_ms
            )
            mailbox.post_now(gateway_inbox, gateway.PauseSeen(notice))

        start_call(call.address, call.call, post, note_leaving, note_pause)

    holder = order_holders.new_holder(
        node.me.address,
        fleet_launch.bind_chart("engine_order", agent),
        cfg.order_lease_ms,
    )
    holder.standing = node.standing
    return holder_task.HolderTask(
        holder, holder_inbox, gateway_inbox, mesh, call_engine
    )


def _open_register(
    cfg, address, rng, now_ms, register_inbox, gateway_inbox, mesh
) -> register_task.RegisterTask:
    last_write, stored = 0, None
    if cfg.data_folder:
        last_write, stored = slots.read(cfg.data_folder)
    new_store_id = register.GENESIS if cfg.is_first_start else uuid.uuid4().hex
    own_peer = register_messages.Peer(
        address,
        stored.store_id if stored is not None else new_store_id,
        cfg.name,
        bool(cfg.data_folder),
        cfg.operator_address,
        cfg.failure_domain,
    )
    seeds = tuple(f"{seed}:{cfg.peer_ports[0]}" for seed in cfg.seeds)
    node = register.new_node(
        own_peer,
        seeds,
        fleet_launch.bind_chart("member", register),
        rng,
        now_ms,
        stored,
    )
    node.tolerated_losses = cfg.tolerated_losses
    return register_task.RegisterTask(
        node, cfg.data_folder, last_write, register_inbox, gateway_inbox, mesh
    )


def _make_dispatcher(
    register_inbox: mailbox.Mailbox,
    gateway_inbox: mailbox.Mailbox,
    holder_inbox: mailbox.Mailbox | None,
):
    register_types = (
        agent.AgentPresent,
        register_messages.PeerHeartbeat,
        register_messages.RequestVote,
        register_messages.VoteReply,
        register_messages.CommittedDocument,
        register_messages.Append,
        register_messages.AppendReply,
    )

    for_holder = (
        agent.ResidencyRequest,
        memory_claims.MemoryClaim,
        memory_claims.MemoryRelease,
    )

    def dispatch(message) -> None:
        if isinstance(message, for_holder):
            if holder_inbox is not None:
                mailbox.post_now(holder_inbox, message)
            return
        is_for_register = isinstance(message, register_types)
        mailbox.post_now(
            register_inbox if is_for_register else gateway_inbox, message
        )

    return dispatch


async def _listen(proc: NodeProcess) -> None:
    cfg = proc.cfg
    api = fleet_operator.OperatorApi(
        proc.register, proc.gateway, operator_calls
    )
    await _listen_for_metrics(proc)
    if cfg.readiness_address:
        listener = fleet_operator.make_readiness_server(
            lambda: _is_ready(proc)
        )
        await _open_listener(proc, cfg.readiness_address, listener)
        proc.servers.append(listener.server)
    for address, listener in (
        (cfg.operator_address, fleet_operator.make_server(api)),
        (cfg.client_address, fleet_frontend.make_server(proc.frontend)),
    ):
        if address:
            await _open_listener(proc, address, listener)
            proc.listeners.append(listener)


async def _open_listener(
    proc: NodeProcess, address: str, listener: client_connections.Listener
) -> None:
    """Open the socket of a listener, with bounds on what clients may hold."""
    guard = client_guards.guard(
        listener, proc.cfg, proc.register, proc.gateway
    )
    host, _, port = address.rpartition(":")
    listener.server = await asyncio.get_running_loop().create_server(
        client_connections.protocol_factory(listener),
        host,
        int(port),
        backlog=LISTEN_BACKLOG,
    )
    client_guard.bound_buffers(listener.server.sockets)
    proc.guards.append(guard)


async def _listen_for_metrics(proc: NodeProcess) -> None:
    """Serve the metrics unless their port is 0."""
    port = METRICS_PORT_FLAG.value
    if not port:
        return
    listener = fleet_operator.make_metrics_server(lambda: _metrics(proc))
    try:
        await _open_listener(proc, f"{proc.cfg.ip}:{port}", listener)
    except OSError as exc:
        # A node that cannot serve its metrics still serves requests.
        events.emit(events.METRICS_UNAVAILABLE, reason=str(exc))
        return
    proc.servers.append(listener.server)


def _metrics(proc: NodeProcess) -> str:
    for guard in proc.guards:
        client_guard.set_gauges(guard)
    return gateway_task.render_metrics(proc.gateway)


def _is_ready(proc: NodeProcess) -> bool:
    ready = not proc.stop_requested.is_set() and gateway.is_ready(
        proc.gateway.gw, clock.boot_ms()
    )
    if ready != proc.was_ready:
        proc.was_ready = ready
        events.emit(events.READINESS_CHANGED, ready=ready)
    return ready


def _handle_signals(proc: NodeProcess) -> None:
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, proc.stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _reload_settings, proc)


def _reload_settings(proc: NodeProcess) -> None:
    """Apply the settings that may change while the process runs."""
    try:
        cfg = platform_settings.read(proc.settings_path)
    except platform_settings.MalformedSettingsError as exc:
        events.emit(events.SETTINGS_UNREADABLE, reason=str(exc))
        return
    port = cfg.peer_ports[0]
    proc.register.node.seeds = tuple(f"{s}:{port}" for s in cfg.seeds)
    proc.register.node.tolerated_losses = cfg.tolerated_losses
    events.emit(events.SETTINGS_RELOADED, seeds=list(cfg.seeds))


async def _watch_settings(proc: NodeProcess) -> None:
    while True:
        await asyncio.sleep(SETTINGS_POLL_S)
        signature = _file_signature(proc.settings_path)
        if signature != proc.settings_signature:
            proc.settings_signature = signature
            _reload_settings(proc)


def _file_signature(path: str) -> tuple:
    """Return values that differ after the file was changed or replaced.

    They are empty if the file cannot be read.
    """
    try:
        stat = os.stat(path)
    except OSError:
        return ()
    return (stat.st_mtime_ns, stat.st_size, stat.st_ino)


async def _shut_down_on_request(proc: NodeProcess) -> None:
    await proc.stop_requested.wait()
    events.emit(events.STOPPING)
    mailbox.post_now(proc.register.inbox, register.StopRequested())
    grace_ms = proc.cfg.grace_ms - EXIT_MARGIN_MS
    fleet_frontend.begin_stop(
        proc.frontend,
        asyncio.get_running_loop().time()
        + (grace_ms - ANSWER_MARGIN_MS) / 1000,
    )
    stop = shutdown.Shutdown(
        fleet_launch.bind_chart("shutdown", shutdown),
        lambda: (
            gateway.is_idle(proc.gateway.gw)
            and not connection_drain.holds_exit(proc.listeners)
            and not register.awaits_handover(
                proc.register.node, clock.boot_ms()
            )
        ),
        min(ACCEPT_AFTER_STOP_MS, grace_ms // 2),
        grace_ms,
    )
    await connection_drain.run(
        connection_drain.Drain(
            stop,
            proc.listeners,
            ANSWER_MARGIN_MS,
            lambda: mailbox.post_now(
                proc.gateway.inbox, gateway.ShutdownStarted()
            ),
            proc.gateway.task_metrics,
        )
    )


if __name__ == "__main__":
    run()
