"""`bilberry-entry`: routes clients' requests to upstreams."""

import asyncio
import random
import uuid

from bilberryramp.decisions.entry import (
    entry_calls,
    entry_state,
    links,
    route_index,
    routing,
)
from bilberryramp.decisions.shared import (
    quarantine,
    subscription,
)
from bilberryramp.programs import launch
from bilberryramp.settings import reader, schema
from bilberryramp.tasks import (
    client_connections,
    client_guard,
    clock,
    connection_drain,
    control_link,
    entry_frontend,
    entry_router,
    mailbox,
)
from bilberryramp.telemetry import events, metrics

__all__ = ["run"]


def run() -> None:
    """Run the program."""
    launch.run_app(_main)


async def _main() -> int:
    cfg = reader.read_or_raise(
        launch.SETTINGS_FLAG.value, schema.EntryProgramSettings
    )
    launch.start_telemetry("bilberry-entry", cfg.name, cfg.telemetry)
    router = _new_router(cfg)
    stop_requested = asyncio.Event()
    launch.on_stop_signal(stop_requested.set)
    guards: list[client_guard.Guard] = []
    api = entry_frontend.make_app(
        cfg,
        router.inbox,
        router.entry.view,
        router.metrics,
        lambda: not stop_requested.is_set() and _is_ready(router.entry),
        lambda: [client_guard.set_gauges(guard) for guard in guards],
    )
    listener = await launch.make_listener(api, "callers", cfg.max_header_bytes)
    guards.append(
        launch.guard(
            listener,
            cfg.process_memory_mb,
            router.metrics,
            cfg.slow_reader_ms,
        )
    )
    port = await launch.open_listener(listener, cfg.host, cfg.port)
    events.emit(events.STARTED, host=cfg.host, port=port)
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(entry_router.run(router)),
            *(group.create_task(client_guard.run(guard)) for guard in guards),
        ]
        await stop_requested.wait()
        await _drain(cfg, router, listener)
        for task in tasks:
            task.cancel()
    events.emit(events.STOPPED)
    return 0


async def _drain(
    cfg: schema.EntryProgramSettings,
    router: entry_router.Router,
    listener: client_connections.Listener,
) -> None:
    """Let all requests end that were accepted, within the grace period."""
    stop = launch.new_stop(
        lambda: (
            entry_calls.is_idle(router.entry)
            and not connection_drain.holds_exit([listener])
        ),
        # The port stays open until the load balancer has seen the readiness
        # check fail.
        cfg.stop_notice_ms,
        cfg.grace_ms,
    )
    await launch.drain(
        stop,
        listener,
        router.metrics,
        lambda: mailbox.post_now(router.inbox, entry_router.EndCalls()),
    )


def _is_ready(entry: entry_state.Entry) -> bool:
    """Return whether the entry holds the tables in force and can serve."""
    return entry.fresh and entry.view.version > 0


def _new_router(cfg: schema.EntryProgramSettings) -> entry_router.Router:
    chart = launch.bind_chart("config", subscription)
    # The random part makes a restarted entry a new sender to upstreams.
    name = f"entry/{cfg.name}/{uuid.uuid4().hex[:8]}"
    controls = tuple(control.replica_id for control in cfg.controls)
    sub = subscription.new_subscription(
        name,
        controls,
        chart,
        launch.bind_chart("suspect", quarantine),
        clock.now_ms(),
    )
    entry = entry_state.Entry(
        cfg=entry_state.EntrySettings(
            name=name, policy=cfg.policy, max_calls=cfg.max_calls
        ),
        chart=launch.bind_chart("request", entry_calls),
        rng=random.Random(),
        view=sub.view,
        policy=routing.make_policy(cfg.policy),
        index=route_index.RouteIndex(sub.view),
    )
    return entry_router.Router(
        name=name,
        entry=entry,
        sub=sub,
        link_chart=launch.bind_chart("connection", links),
        inbox=mailbox.Mailbox(limit=8192),
        control=control_link.open_link(name, cfg.controls),
        metrics=metrics.Metrics(),
    )
