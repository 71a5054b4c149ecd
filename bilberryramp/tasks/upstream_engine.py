"""HTTP calls of an upstream process to its engine: state and orders."""

import asyncio
import dataclasses

import aiohttp
import msgspec

from bilberryramp.decisions.shared import views
from bilberryramp.decisions.upstream import model_orders, upstream_messages
from bilberryramp.tasks import clock, mailbox

__all__ = ["EngineState", "OrderBody", "send_order", "poll_state"]

ORDER_TIMEOUT_S = 4.0
STATE_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class OrderBody:
    """Body of ``POST /engine/orders``."""

    kind: model_orders.OrderKind
    fence: int
    model: str
    accelerators: tuple[int, ...]
    memory_mib: int


@dataclasses.dataclass(slots=True, frozen=True)
class EngineState:
    """Body of ``GET /engine/state``."""

    boot_id: str
    models: tuple[views.ReplicaPlace, ...] = ()


async def poll_state(
    session: aiohttp.ClientSession, url: str, inbox: mailbox.Mailbox
) -> None:
    """Poll the engine's state until the task is cancelled.

    Parameters
    ----------
    session
        HTTP client session.
    url
        Base URL of the engine.
    inbox
        Mailbox that receives an `EngineReported` or `EngineLost` for each
        poll.
    """
    timeout = aiohttp.ClientTimeout(total=STATE_TIMEOUT_S)
    while True:
        requested_ms = clock.now_ms()
        try:
            async with session.get(
                f"{url}/engine/state", timeout=timeout
            ) as resp:
                body = await resp.read()
            state = msgspec.json.decode(body, type=EngineState)
            report = model_orders.EngineReport(
                state.boot_id, state.models, requested_ms
            )
            message = upstream_messages.EngineReported(report)
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            message = upstream_messages.EngineLost()
        await mailbox.post(inbox, message)
        await asyncio.sleep(POLL_INTERVAL_S)


async def send_order(
    session: aiohttp.ClientSession,
    url: str,
    order: model_orders.EngineOrder,
    inbox: mailbox.Mailbox,
) -> None:
    """Send an order to the engine and post its outcome.

    The outcome is `CONFIRMED` for status 200, `REFUSED` for status 409 or if
    no connection could be opened, and `UNANSWERED` otherwise.

    Parameters
    ----------
    session
        HTTP client session.
    url
        Base URL of the engine.
    order
        Order to send.
    inbox
        Mailbox that receives exactly one `EngineAnswered`.
    """
    place = order.place
    body = OrderBody(
        order.kind,
        order.fence,
        place.model,
        place.accelerators,
        place.memory_mib,
    )
    outcome = model_orders.OrderOutcome.UNANSWERED
    try:
        async with session.post(
            f"{url}/engine/orders",
            data=msgspec.json.encode(body),
            timeout=aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S),
        ) as resp:
            await resp.read()
            if resp.status == 200:
                outcome = model_orders.OrderOutcome.CONFIRMED
            elif resp.status == 409:
                outcome = model_orders.OrderOutcome.REFUSED
    except aiohttp.ClientConnectorError:
        outcome = model_orders.OrderOutcome.REFUSED
    except (aiohttp.ClientError, TimeoutError):
        pass
    answered = upstream_messages.EngineAnswered(order, outcome)
    mailbox.post_now(inbox, answered)
