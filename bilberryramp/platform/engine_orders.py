"""Encode orders to engines, and decode their answers and reports."""

import msgspec

from bilberryramp.decisions.fleet.orders import agent
from bilberryramp.platform import announcements, exchanges

__all__ = [
    "EXPECTED_INSTANCE_HEADER",
    "ORDER_PATH",
    "REPORT_PATH",
    "decode_answer",
    "encode",
    "decode_report",
    "is_leaving",
    "pause_ms",
]

ORDER_PATH = "/order"
REPORT_PATH = "/report"
EXPECTED_INSTANCE_HEADER = "X-Bilberryramp-Expected-Instance"

is_leaving = exchanges.is_leaving
pause_ms = exchanges.pause_ms

_MAX_ORDER_COUNT = 2**53
_ANSWERS = {
    200: agent.OrderAnswer.DONE,
    202: agent.OrderAnswer.ACCEPTED,
    409: agent.OrderAnswer.BUSY,
    412: agent.OrderAnswer.FENCED,
}


def encode(order: agent.SendOrder, holder: str) -> bytes:
    """Encode an order.

    Parameters
    ----------
    order
        Order to load or unload a model or adapter.
    holder
        Name of the node that sends the order.

    Returns
    -------
    bytes
        Body of the HTTP request, as JSON.
    """
    fields = {
        "op": "load" if order.load else "unload",
        "model": order.model,
        "holder": holder,
        "fence": order.fence,
        # The engine refuses the order unless this equals the number of
        # orders that it has accepted.
        "precondition": order.expected_count,
    }
    if order.adapter:
        fields["adapter"] = order.adapter
    return msgspec.json.encode(fields)


def decode_answer(status: int) -> str:
    """Decode the HTTP status of an engine's answer to an order.

    Parameters
    ----------
    status
        HTTP status.

    Returns
    -------
    str
        One of `agent.OrderAnswer`. It is ``NONE`` for any 5xx status, after
        which the engine may or may not have accepted the order.
    """
    if status >= 500:
        return agent.OrderAnswer.NONE
    return _ANSWERS.get(status, agent.OrderAnswer.REFUSED)


def decode_report(body: bytes) -> agent.EngineReport:
    """Decode the report of an engine about its own state.

    Parameters
    ----------
    body
        Body of the HTTP answer, as JSON.

    Returns
    -------
    EngineReport
        The report; its order count is -1 if `body` is invalid.
    """
    try:
        raw = msgspec.json.decode(body)
        return agent.EngineReport(
            # Number of orders that the engine has accepted.
            _decode_order_count(raw["seq"]),
            announcements.decode_resident_models(raw.get("models") or ()),
            tuple(_decode_loading(row) for row in raw.get("coming") or ()),
            bool(raw["busy"]),
        )
    except (
        msgspec.MsgspecError,
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
        RecursionError,
    ):
        return agent.EngineReport(-1)


def _decode_order_count(raw) -> int:
    count = int(raw)
    if not 0 <= count <= _MAX_ORDER_COUNT:
        raise ValueError(f"{count} is not a number of orders")
    return count


def _decode_loading(row: str) -> tuple[str, str]:
    # The format is model/adapter@version.
    model, _, adapter = str(row).partition("@")[0].partition("/")
    return model, adapter
