"""`bilberry-standin`: simulates a model engine or plain service."""

import asyncio

from bilberryramp.decisions.shared import views
from bilberryramp.programs import launch
from bilberryramp.settings import reader, schema
from bilberryramp.standins import engine, plain_service
from bilberryramp.telemetry import events

__all__ = ["run"]


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
    runner, port = await launch.listen(app, cfg.host, cfg.port)
    stopped = asyncio.Event()
    launch.on_stop_signal(stopped.set)
    events.emit(events.STARTED, host=cfg.host, port=port)
    await stopped.wait()
    await runner.cleanup()
    return 0
