"""A wrong byte in the head of an engine's stream: bytes that are no answer."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common2 import engines, local  # noqa: E402

LOAD_S, STREAMS_PER_S = 35.0, 20.0
# The engine spoils answers for so long at a time, with pauses as long.
SPOILING_S = 5.0
# Share of the answers of one of the two engines that it spoils.
SPOILT_SHARE = 0.05
DEADLINE_MS = 6000
# Time for which a consumer reads on after a complete answer.
REST_S = 0.3


class SpoilingEngine(engines.Engine):
    """An engine that may spoil one byte of a header of its answers."""

    def __init__(self, record, name, spoils):
        super().__init__(record, name, "svc-llm", engines.MODELS)
        self.spoils = spoils
        self.began = None

    async def _stream(self, reader, writer, answer):
        pod = f"pod-{self.name}"
        self.began = self.began or time.monotonic()
        turn = int((time.monotonic() - self.began) / SPOILING_S)
        is_time = self.spoils and turn % 2 == 0
        if is_time and random.random() < SPOILT_SHARE:
            pod = pod.replace("-", "\x01", 1)
            request_id = answer[engines.PREFIX + "Request-Id"]
            self.record.note(f"spoilt the head of {request_id}")
        return await super()._stream(
            reader, writer, answer | {"X-Served-By": pod}
        )


class Consumer:
    """What consumers have seen."""

    def __init__(self, record):
        self.record = record
        self.statuses = {}
        self.wrong = []

    async def ask(self, machine, request_id):
        """Send a request on a new channel, and read its answer strictly."""
        headers = engines.consumer_headers(request_id, DEADLINE_MS, "m0")
        host, _, port = machine.front.rpartition(":")
        self.record.note(f"sent {request_id} to {machine.name}")
        status, rest = 0, b""
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                writer.write(
                    engines.encode_request(
                        "POST", "/first/a", headers, b"prompt"
                    )
                )
                start, answer = await engines.read_head(reader)
                status = int(start[1])
                body = await engines.read_body(reader, answer)
            try:
                rest = await asyncio.wait_for(reader.read(4096), REST_S)
            except TimeoutError:
                rest = b""
            self.record.note(f"answered {request_id} {status} {body[-40:]}")
        except (OSError, TimeoutError, TypeError, ValueError) as exc:
            self.record.note(f"no answer to {request_id}: {exc!r}")
        except asyncio.IncompleteReadError:
            self.record.note(f"{request_id}: the answer broke off")
        finally:
            writer.close()
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if rest:
            self.wrong.append(request_id)
            self.record(
                f"{request_id}: after the answer {status} with body {body} "
                f"came {rest}"
            )


async def _play(record, trouble, fleet):
    machines = fleet.machines
    served = []
    for number in (1, 2):
        engine = SpoilingEngine(record, f"i-{number}", trouble and number == 1)
        engine.on_run = lambda request_id, name=engine.name: record.note(
            f"run {request_id} by {name}"
        )
        await engine.start(f"{fleet.net}.{100 + number}")
        engine.beat_to([machine.control for machine in machines])
        served.append(engine)
    route = local.make_route("/first/", "svc-llm", "streaming")
    body = local.make_document(3, [route])
    if await asyncio.to_thread(local.put, record, machines, body, 12) is None:
        raise local.NotRunError("the first configuration was refused")
    await asyncio.sleep(6)
    consumer, tasks, number = Consumer(record), [], 0
    until = time.monotonic() + LOAD_S
    while time.monotonic() < until:
        number += 1
        request = consumer.ask(random.choice(machines), f"g{number:05d}")
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(random.expovariate(STREAMS_PER_S))
    await asyncio.gather(*tasks)
    for engine in served:
        await engine.stop()
    record(f"answers by status: {consumer.statuses}")
    record(f"answers followed by bytes that are none: {len(consumer.wrong)}")
    if consumer.statuses.get(200, 0) < 100:
        raise local.NotRunError("too few requests were served")
    return not consumer.wrong


def play(record, trouble):
    """Return whether consumers got nothing but answers."""
    fleet = local.Fleet(record, local.SMALL, durable=3)
    try:
        fleet.start()
        return asyncio.run(_play(record, trouble, fleet))
    finally:
        fleet.end()


local.run_case(FOLDER, play)
