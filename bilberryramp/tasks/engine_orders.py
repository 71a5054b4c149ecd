"""HTTP calls to engines: orders and state reports."""

import asyncio
from collections.abc import Callable
from types import ModuleType

import aiohttp

from bilberryramp.decisions.fleet.orders import agent
from bilberryramp.tasks import (
    answer_limits,
    http_requests,
    upstream_connections,
)

__all__ = ["make_engine_caller", "open_session"]

# An engine accepts or refuses an order at once, so a later answer is regarded
# as lost.
ORDER_TIMEOUT_S = 1.0
# Maximum size of an answer to an order and of a report.
MAX_ANSWER_BYTES = 2**20
# Time for which idle connections are kept open.
KEEPALIVE_S = 0.9
HTTP_OK = 200


def open_session() -> aiohttp.ClientSession:
    """Open the client session for orders and reports.

    Answers to these calls name no request. A connection is reused only if no
    byte has arrived on it since the last answer, and an order states how many
    orders the engine must have accepted before, so that a repeated answer can
    delay an order but not misdirect it.

    Returns
    -------
    aiohttp.ClientSession
        Session for `make_engine_caller`.
    """
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S)
    answer_limits.install(connector)
    upstream_connections.guard(connector, "")
    session = aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar()
    )
    # By default, aiohttp repeats a request whose connection was closed.
    session._retry_connection = False
    return session


def make_engine_caller(
    session: aiohttp.ClientSession, wire: ModuleType, holder: str
) -> Callable:
    """Return a function that starts a call to an engine.

    Parameters
    ----------
    session
        Session from `open_session`.
    wire
        Module that encodes orders, decodes answers and reports, and names
        the paths and the header of these calls.
    holder
        Name of this node, which is sent with each order.

    Returns
    -------
    callable
        Function that takes the engine's host and port, a `SendOrder` or
        `ReadEngine`, and three functions. It starts the call and returns at
        once. The first function is called with an `OrderEnded` or an
        `EngineReport`; before it the second one, without arguments, if the
        answer says that the engine is leaving, and the third one, with a time
        in milliseconds, if the engine wants no requests for so long.
    """
    running_tasks: set[asyncio.Task] = set()

    def check_head(
        resp: aiohttp.ClientResponse, note_leaving, note_pause
    ) -> None:
        if wire.is_leaving(resp.headers):
            note_leaving()
        if pause_ms := wire.pause_ms(resp.status, resp.headers):
            note_pause(pause_ms)

    async def send_order(
        address: str, order: agent.SendOrder, post, note_leaving, note_pause
    ) -> None:
        outcome = agent.OrderAnswer.NONE
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                async with session.post(
                    f"http://{address}{wire.ORDER_PATH}",
                    data=wire.encode(order, holder),
                    headers={
                        "Content-Type": "application/json",
                        wire.EXPECTED_INSTANCE_HEADER: order.upstream_id,
                    },
                    allow_redirects=False,
                ) as resp:
                    check_head(resp, note_leaving, note_pause)
                    await http_requests.read_limited(resp, MAX_ANSWER_BYTES)
                    outcome = wire.decode_answer(resp.status)
        except aiohttp.ClientConnectorError:
            # No connection was opened, so the order was not sent.
            outcome = agent.OrderAnswer.REFUSED
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
            # Whether the engine accepted the order is unknown; the agent
            # logs it.
            pass
        post(agent.OrderEnded(outcome))

    async def read_engine(
        address: str, req: agent.ReadEngine, post, note_leaving, note_pause
    ) -> None:
        report = agent.EngineReport(-1)
        await asyncio.sleep(req.delay_ms / 1000)
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                async with session.get(
                    f"http://{address}{wire.REPORT_PATH}",
                    allow_redirects=False,
                ) as resp:
                    check_head(resp, note_leaving, note_pause)
                    body = await http_requests.read_limited(
                        resp, MAX_ANSWER_BYTES
                    )
                    if resp.status == HTTP_OK:
                        report = wire.decode_report(body)
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
            # A report with an order count of -1 counts as missing; the agent
            # reads the engine again until it has a valid one.
            pass
        post(report)

    def start_call(
        address: str,
        call: agent.SendOrder | agent.ReadEngine,
        post: Callable,
        note_leaving: Callable = lambda: None,
        note_pause: Callable = lambda pause_ms: None,
    ) -> None:
        is_read = isinstance(call, agent.ReadEngine)
        perform = read_engine if is_read else send_order
        task = asyncio.create_task(
            perform(address, call, post, note_leaving, note_pause)
        )
        running_tasks.add(task)
        task.add_done_callback(running_tasks.discard)

    return start_call
