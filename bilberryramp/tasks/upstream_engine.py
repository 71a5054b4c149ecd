"""HTTP calls of an upstream process to its engine: state and orders."""

import asyncio
import dataclasses

import aiohttp
import msgspec

from bilberryramp.decisions.shared import views
from bilberryramp.decisions.upstream import model_orders, upstream_messages
from bilberryramp.tasks import answer_limits, clock, http_requests, mailbox

__all__ = [
    "EngineState",
    "OrderBody",
    "open_session",
    "poll_state",
    "send_order",
]

ORDER_TIMEOUT_S = 4.0
STATE_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.5
# Maximum size of an engine's state and of an answer to an order.
MAX_ANSWER_BYTES = 2**20


@dataclasses.dataclass(slots=True, frozen=True)
class OrderBody:
    """Body of ``POST /engine/orders``.

    Attributes
    ----------
    kind
        Whether to load or to unload the model.
    fence
        Fencing token; higher in each later order.
    model
        Name of the model.
    accelerators
        Numbers of the engine's accelerators, from 0.
    memory_mib
        Memory that the model uses on each of them, in MiB.
    """

    kind: model_orders.OrderKind
    fence: int
    model: str
    accelerators: tuple[int, ...]
    memory_mib: int


@dataclasses.dataclass(slots=True, frozen=True)
class EngineState:
    """Body of the answer to ``GET /engine/state``.

    Attributes
    ----------
    boot_id
        Id that changes when the engine restarts.
    models
        Resident models with their accelerators and memory.
    """

    boot_id: str
    models: tuple[views.ReplicaPlace, ...] = ()


def open_session() -> aiohttp.ClientSession:
    """Open the client session for an engine's state and orders.

    Returns
    -------
    aiohttp.ClientSession
        Session that uses a connection once, so that no answer can be taken
        for that to a later call.
    """
    connector = aiohttp.TCPConnector(force_close=True)
    answer_limits.install(connector)
    return aiohttp.ClientSession(connector=connector)


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
                body = await http_requests.read_limited(resp, MAX_ANSWER_BYTES)
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
            await http_requests.read_limited(resp, MAX_ANSWER_BYTES)
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
