"""Sends an agent's orders to its engine over HTTP, and reads the engine."""

import asyncio
from collections.abc import Callable
from types import ModuleType

import aiohttp

from bilberryramp.decisions.fleet import agent
from bilberryramp.tasks import mailbox

__all__ = ["make_sender"]

# An engine accepts or refuses an order at once; after this long the answer
# is taken as lost.
ORDER_TIMEOUT_S = 1.0
HTTP_OK = 200


def make_sender(
    session: aiohttp.ClientSession,
    box: mailbox.Mailbox,
    wire: ModuleType,
    engine_address: str,
    holder: str,
) -> Callable:
    """Make the function that starts an order or a reading.

    Parameters
    ----------
    session
        For HTTP.
    box
        Gets `OrderEnded` and `EngineReport`.
    wire
        Encodes orders and decodes their answers.
    engine_address
        Of the engine on this instance.
    holder
        Name of this node.

    Returns
    -------
    callable
        Takes a `SendOrder` or `ReadEngine` and returns at once.
    """
    running: set[asyncio.Task] = set()

    async def give(order: agent.SendOrder) -> None:
        answer = agent.OrderAnswer.NONE
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
                answer = wire.decode_answer(resp.status)
        except aiohttp.ClientConnectorError:
            # Nothing was sent.
            answer = agent.OrderAnswer.REFUSED
        except (TimeoutError, aiohttp.ClientError, OSError):
            # The answer stays unknown, which the caller logs.
            pass
        mailbox.post_now(box, agent.OrderEnded(answer))

    async def read(ask: agent.ReadEngine) -> None:
        found = agent.EngineReport(-1)
        await asyncio.sleep(ask.delay_ms / 1000)
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                resp = await session.get(
                    f"http://{engine_address}{wire.REPORT_PATH}"
                )
                body = await resp.read()
                if resp.status == HTTP_OK:
                    found = wire.decode_report(body)
        except (TimeoutError, aiohttp.ClientError, OSError):
            # It is asked again as long as nothing is known.
            pass
        mailbox.post_now(box, found)

    def start(effect: agent.SendOrder | agent.ReadEngine) -> None:
        is_read = isinstance(effect, agent.ReadEngine)
        task = asyncio.create_task(read(effect) if is_read else give(effect))
        running.add(task)
        task.add_done_callback(running.discard)

    return start
