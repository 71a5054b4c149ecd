"""`bilberry-upstream`: connects one engine or plain service to the system."""

import uuid

import zmq
import zmq.asyncio

from bilberryramp.charts import loader
from bilberryramp.decisions.shared import (
    charting,
    pauses,
    quarantine,
    shutdown,
    subscription,
    views,
)
from bilberryramp.decisions.upstream import (
    admission,
    engine_pauses,
    ledger,
    model_orders,
    upstream_messages,
    upstream_work,
)
from bilberryramp.programs import launch
from bilberryramp.settings import reader, schema
from bilberryramp.tasks import (
    clock,
    control_link,
    engine_run,
    mailbox,
    upstream_engine,
    upstream_node,
)
from bilberryramp.telemetry import events

__all__ = ["run"]

# Time for which a stopping process answers entries that it is leaving, though
# it has no work. Each entry with a connection pings within it, see
# ``charts/connection.yaml``, and sends no more requests from then on.
LEAVING_NOTICE_MS = 1000


def run() -> None:
    """Run the program."""
    launch.run_app(_main)


async def _main() -> int:
    cfg = reader.read_or_raise(
        launch.SETTINGS_FLAG.value, schema.UpstreamSettings
    )
    launch.start_telemetry("bilberry-upstream", cfg.name, cfg.telemetry)
    listener, address = _open_listener(cfg.address)
    node = _new_node(cfg, listener, address)
    launch.on_stop_signal(
        lambda: mailbox.post_now(node.inbox, upstream_messages.StopRequested())
    )
    events.emit(events.STARTED, address=address)
    await upstream_node.run(node)
    events.emit(events.STOPPED)
    return 0


def _open_listener(address: str) -> tuple[zmq.asyncio.Socket, str]:
    listener = zmq.asyncio.Context.instance().socket(zmq.ROUTER)
    listener.setsockopt(zmq.ROUTER_HANDOVER, 1)
    listener.setsockopt(zmq.LINGER, 1000)
    host, _, port = address.rpartition(":")
    if port == "0":
        listener.bind(f"{host}:*")
    else:
        listener.bind(address)
    return listener, listener.getsockopt_string(zmq.LAST_ENDPOINT)


def _new_node(
    cfg: schema.UpstreamSettings, listener: zmq.asyncio.Socket, address: str
) -> upstream_node.UpstreamNode:
    chart = launch.bind_chart("config", subscription)
    name = f"upstream/{cfg.name}"
    controls = tuple(control.replica_id for control in cfg.controls)
    sub = subscription.new_subscription(
        name,
        controls,
        chart,
        launch.bind_chart("suspect", quarantine),
        clock.now_ms(),
    )
    state = _new_state(cfg, address, sub.view)
    state.stop = shutdown.Shutdown(
        chart=launch.bind_chart("shutdown", shutdown),
        is_idle=lambda: upstream_work.is_idle(state),
        notice_ms=LEAVING_NOTICE_MS,
    )
    return upstream_node.UpstreamNode(
        cfg=cfg,
        state=state,
        sub=sub,
        inbox=mailbox.Mailbox(limit=8192),
        listener=listener,
        control=control_link.open_link(name, cfg.controls),
        session=engine_run.open_session(),
        order_session=upstream_engine.open_session(),
    )


def _new_state(
    cfg: schema.UpstreamSettings, address: str, view: views.View
) -> upstream_work.UpstreamState:
    upstream = views.Upstream(
        upstream_id=cfg.name,
        incarnation=uuid.uuid4().hex,
        address=address,
        service=cfg.service,
        kind=cfg.kind,
        failure_domain=cfg.failure_domain,
        accelerators=cfg.accelerators,
        memory_mib=cfg.memory_mib,
        slots=cfg.slots,
    )
    orders = None
    if cfg.kind == views.UpstreamKind.ENGINE:
        adoption_chart = charting.bind(
            loader.load("adoption"),
            model_orders.adoption_guards,
            model_orders.adoption_actions,
        )
        orders = model_orders.new_orders(
            launch.bind_chart("order", model_orders),
            adoption_chart,
            ledger.Ledger(cfg.accelerators, cfg.memory_mib),
            cfg.fenced,
        )
    queue = admission.new_queue(cfg.queue_limit, cfg.slots)
    pause = engine_pauses.new_engine_pause(
        launch.bind_chart("upstream_pause", pauses), cfg.name
    )
    return upstream_work.UpstreamState(upstream, view, queue, orders, pause)
