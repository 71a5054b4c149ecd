"""`bilberry-standin`: simulates a model engine or plain service."""

import asyncio

from bilberryramp.decisions.shared import views
from bilberryramp.programs import launch
from bilberryramp.settings import reader, schema
from bilberryramp.standins import engine, plain_service
from bilberryramp.tasks import connection_drain
from bilberryramp.telemetry import events, metrics

__all__ = ["run"]

# Maximum time from the stop signal to the exit.
GRACE_MS = 60_000


def run() -> None:
    """Run the program."""
    launch.run_app(_main)


async def _main() -> int:
    cfg = reader.read_or_raise(
        launch.SETTINGS_FLAG.value, schema.StandinSettings
    )
    launch.start_telemetry("bilberry-standin", cfg.name, cfg.telemetry)
    if cfg.kind == views.UpstreamKind.ENGINE:
        app = engine.make_app(engine.new_engine(cfg))
    else:
        app = plain_service.make_app(plain_service.new_service(cfg))
    listener, port = await launch.listen(app, "upstreams", cfg.host, cfg.port)
    stopped = asyncio.Event()
    launch.on_stop_signal(stopped.set)
    events.emit(events.STARTED, host=cfg.host, port=port)
    await stopped.wait()
    stop = launch.new_stop(
        lambda: not connection_drain.holds_exit([listener]), 0, GRACE_MS
    )
    await launch.drain(stop, listener, metrics.Metrics())
    return 0
