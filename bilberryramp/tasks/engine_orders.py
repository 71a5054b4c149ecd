"""Sends the leader's orders to engines over HTTP."""

import asyncio
from collections.abc import Callable
from types import ModuleType

import aiohttp

from bilberryramp.decisions.fleet import orders
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
    holder: str,
) -> Callable:
    """Make the function that starts an order.

    Parameters
    ----------
    session
        For HTTP.
    box
        Gets `OrderEnded`.
    wire
        Encodes orders and decodes their answers.
    holder
        Name of this node.

    Returns
    -------
    callable
        Returns at once.
    """
    running: set[asyncio.Task] = set()

    async def give(order: orders.SendOrder) -> None:
        ended = orders.OrderAnswer.NONE
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                resp = await session.post(
                    f"http://{order.address}{wire.ORDER_PATH}",
                    data=wire.encode(order, holder),
                    headers={
                        "Content-Type": "application/json",
                        wire.EXPECTED: order.upstream_id,
                    },
                )
                await resp.read()
                ended = wire.answer(resp.status)
        except aiohttp.ClientConnectorError:
            # Nothing was sent.
            ended = orders.OrderAnswer.REFUSED
        except (TimeoutError, aiohttp.ClientError, OSError):
            pass
        message = orders.OrderEnded(order.order_id, ended)
        mailbox.post_now(box, message)

    async def read(ask: orders.ReadEngine) -> None:
        found = orders.EngineRead(ask.upstream_id, -1)
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                resp = await session.get(
                    f"http://{ask.address}{wire.REPORT_PATH}",
                    headers={wire.EXPECTED: ask.upstream_id},
                )
                body = await resp.read()
                if resp.status == HTTP_OK:
                    found = wire.read_report(ask.upstream_id, body)
        except (TimeoutError, aiohttp.ClientError, OSError):
            # It is asked again as long as its orders are not known.
            pass
        mailbox.post_now(box, found)

    def start(effect: orders.SendOrder | orders.ReadEngine) -> None:
        is_read = isinstance(effect, orders.ReadEngine)
        task = asyncio.create_task(read(effect) if is_read else give(effect))
        running.add(task)
        task.add_done_callback(running.discard)

    return start
