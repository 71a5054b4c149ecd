"""A part behind the 32nd of a prompt crashes engines, again and again."""

import asyncio
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common_3"))

import deployment  # noqa: E402

# Parts that all prompts of the route share, such as descriptions of tools.
# Behind them stand a document, which is the deadly part of some requests, and
# the request's own part.
COMMON_PARTS = int(os.environ.get("COMMON_PARTS", "34"))
DEADLY = "dead0001"
STABLE_WINDOW_S = 3.0
# Requests that the rule allows so long after the fifth crash.
ALLOWED = 3
CRASHES = 5
SOUND_PER_S, DEADLY_PER_S = 8, 0.8
CALM_S, PLAY_S = 6.0, 60.0


class Day:
    """What is known of the requests so far."""

    def __init__(self):
        self.rng = random.Random(5)
        self.sent = 0
        self.deadly = set()
        self.answers = {"sound": {}, "deadly": {}}
        self.crashes_s = []
        self.arrivals_s = []
        self.tasks = set()


def make_request(request_id, document):
    """Return the bytes of a request."""
    parts = [f"c0ff{n:02x}:60" for n in range(COMMON_PARTS)]
    parts += [f"{document}:200", f"e{request_id[1:]}:40"]
    tokens = 60 * COMMON_PARTS + 240
    head = (
        (deployment.REQUEST_ID, request_id),
        ("X-Bilberryramp-Deadline-Ms", "6000"),
        ("X-Bilberryramp-Model", "m0"),
        ("X-Bilberryramp-Token-Count", f"{tokens},12"),
        ("X-Bilberryramp-Prompt-Prefix", ",".join(parts)),
    )
    body = b"draft " + request_id.encode()
    return deployment.make_request("POST", "/draft/x", body, head)


async def ask(fleet, day, kind):
    """Send one request on a channel of its own."""
    day.sent += 1
    request_id = f"r{day.sent:06x}"
    document = f"d0c{day.rng.randrange(30):02x}"
    if kind == "deadly":
        day.deadly.add(request_id)
        if deployment.TROUBLE:
            document = DEADLY
    ip = day.rng.choice(fleet.node_ips)
    fleet.record.note("send", id=request_id, kind=kind, node=ip)
    writer = None
    try:
        async with asyncio.timeout(7):
            reader, writer = await asyncio.open_connection(
                ip, fleet.ports["front"]
            )
            writer.write(make_request(request_id, document))
            status, _, _ = await deployment.read_answer(reader)
    except (OSError, EOFError, TimeoutError, ValueError) as exc:
        status = type(exc).__name__
    finally:
        if writer is not None:
            writer.close()
    fleet.record.note("answer", id=request_id, status=status)
    counts = day.answers[kind]
    counts[status] = counts.get(status, 0) + 1


def start_asking(fleet, day, kind):
    """Send a request without waiting for its answer."""
    task = asyncio.create_task(ask(fleet, day, kind))
    day.tasks.add(task)
    task.add_done_callback(day.tasks.discard)


async def send_all(fleet, day, kind, per_s, end_s):
    """Send requests at random times until the end."""
    while time.monotonic() < end_s:
        start_asking(fleet, day, kind)
        await asyncio.sleep(day.rng.expovariate(per_s))


async def play(fleet):
    """Play the case and return the verdict."""
    day = Day()

    def on_run(engine, request):
        """Crash at the first token of an answer on the deadly part."""
        prefix = request.headers.get("X-Bilberryramp-Prompt-Prefix", "")
        if DEADLY not in prefix:
            return
        now_s = time.monotonic()
        day.arrivals_s.append(now_s)
        day.crashes_s.append(now_s)
        task = asyncio.create_task(engine.crash())
        day.tasks.add(task)
        task.add_done_callback(day.tasks.discard)

    for engine in fleet.engines:
        engine.on_run = on_run
    end_s = time.monotonic() + CALM_S + PLAY_S
    sound = asyncio.create_task(
        send_all(fleet, day, "sound", SOUND_PER_S, end_s)
    )
    await asyncio.sleep(CALM_S)
    await send_all(fleet, day, "deadly", DEADLY_PER_S, end_s)
    await sound
    late = 0
    if len(day.crashes_s) >= CRASHES:
        from_s = day.crashes_s[CRASHES - 1] + STABLE_WINDOW_S
        late = sum(at_s > from_s for at_s in day.arrivals_s)
    fleet.record.say(
        f"{len(day.deadly)} requests of the second kind, {len(day.crashes_s)} "
        f"crashes; {late} requests with the part reached engines later than "
        f"{STABLE_WINDOW_S} s after the fifth; answers {day.answers}"
    )
    if day.tasks:
        await asyncio.wait(day.tasks, timeout=8)
    return deployment.BROKEN if late > ALLOWED else deployment.HELD


deployment.run(FOLDER, play, model_engines=6, plain_engines=2)
