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


def make_sender(
    session: aiohttp.ClientSession,
    box: mailbox.Mailbox,
    wire: ModuleType,
    holder: str,
) -> Callable[[orders.SendOrder], None]:
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
                    f"http://{order.address}{wire.path}",
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

    def start(order: orders.SendOrder) -> None:
        task = asyncio.create_task(give(order))
        running.add(task)
        task.add_done_callback(running.discard)

    return start
