"""HTTP calls of an agent to its engine: orders and state reports."""

import asyncio
from collections.abc import Callable
from types import ModuleType

import aiohttp

from bilberryramp.decisions.fleet import agent
from bilberryramp.tasks import mailbox

__all__ = ["make_engine_caller"]

# An engine accepts or refuses an order at once, so a later answer is regarded
# as lost.
ORDER_TIMEOUT_S = 1.0
HTTP_OK = 200


def make_engine_caller(
    session: aiohttp.ClientSession,
    inbox: mailbox.Mailbox,
    wire: ModuleType,
    engine_address: str,
    holder: str,
) -> Callable:
    """Return a function that starts a call to the engine.

    Parameters
    ----------
    session
        HTTP client session.
    inbox
        Mailbox that receives an `OrderEnded` for each order and an
        `EngineReport` for each reading.
    wire
        Module that encodes orders, decodes answers and reports, and names
        the paths and the header of these calls.
    engine_address
        Host and port of the engine on this instance.
    holder
        Name of this node, which is sent with each order.

    Returns
    -------
    callable
        Function that takes a `SendOrder` or `ReadEngine`, starts the call
        and returns at once.
    """
    running_tasks: set[asyncio.Task] = set()

    async def send_order(order: agent.SendOrder) -> None:
        outcome = agent.OrderAnswer.NONE
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                resp = await session.post(
                    f"http://{engine_address}{wire.ORDER_PATH}",
                    data=wire.encode(order, holder),
                    headers={
                        "Content-Type": "application/json",
                        wire.EXPECTED_INSTANCE_HEADER: order.upstream_id,
                    },
                )
                await resp.read()
                outcome = wire.decode_answer(resp.status)
        except aiohttp.ClientConnectorError:
            # No connection was opened, so the order was not sent.
            outcome = agent.OrderAnswer.REFUSED
        except (TimeoutError, aiohttp.ClientError, OSError):
            # Whether the engine accepted the order is unknown; the agent
            # logs it.
            pass
        mailbox.post_now(inbox, agent.OrderEnded(outcome))

    async def read_engine(req: agent.ReadEngine) -> None:
        report = agent.EngineReport(-1)
        await asyncio.sleep(req.delay_ms / 1000)
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                resp = await session.get(
                    f"http://{engine_address}{wire.REPORT_PATH}"
                )
                body = await resp.read()
                if resp.status == HTTP_OK:
                    report = wire.decode_report(body)
        except (TimeoutError, aiohttp.ClientError, OSError):
            # A report with an order count of -1 counts as missing; the agent
            # reads the engine again until it has a valid one.
            pass
        mailbox.post_now(inbox, report)

    def start_call(effect: agent.SendOrder | agent.ReadEngine) -> None:
        is_read = isinstance(effect, agent.ReadEngine)
        task = asyncio.create_task(
            read_engine(effect) if is_read else send_order(effect)
        )
        running_tasks.add(task)
        task.add_done_callback(running_tasks.discard)

    return start_call
