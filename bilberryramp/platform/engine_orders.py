"""Encodes orders to engines and decodes their answers."""

import msgspec

from bilberryramp.decisions.fleet import agent
from bilberryramp.platform import announcements

__all__ = [
    "EXPECTED_INSTANCE_HEADER",
    "ORDER_PATH",
    "REPORT_PATH",
    "decode_answer",
    "encode",
    "decode_report",
]

ORDER_PATH = "/order"
REPORT_PATH = "/report"
EXPECTED_INSTANCE_HEADER = "X-Bilberryramp-Expected-Instance"

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
        What the engine is to do.
    holder
        Name of the node that gives the order.

    Returns
    -------
    bytes
        JSON.
    """
    fields = {
        "op": "load" if order.load else "unload",
        "model": order.model,
        "holder": holder,
        "fence": order.fence,
        # The engine compares this with its count of accepted orders.
        "precondition": order.expected_count,
    }
    if order.adapter:
        fields["adapter"] = order.adapter
    return msgspec.json.encode(fields)


def decode_answer(status: int) -> str:
    """Decode the status of an answer.

    Parameters
    ----------
    status
        HTTP status.

    Returns
    -------
    str
        One of `agent.OrderAnswer`. Any 5xx leaves open whether the order
        was taken.
    """
    if status >= 500:
        return agent.OrderAnswer.NONE
    return _ANSWERS.get(status, agent.OrderAnswer.REFUSED)


def decode_report(body: bytes) -> agent.EngineReport:
    """Decode an engine's report on itself.

    Parameters
    ----------
    body
        JSON.

    Returns
    -------
    EngineRead
        With an order count of -1 when the report cannot be read.
    """
    try:
        raw = msgspec.json.decode(body)
        return agent.EngineReport(
            int(raw["seq"]),
            announcements.decode_resident_models(raw.get("models") or ()),
            tuple(_decode_loading(row) for row in raw.get("coming") or ()),
            bool(raw["busy"]),
        )
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
        return agent.EngineReport(-1)


def _decode_loading(row: str) -> tuple[str, str]:
    # Written as model, slash, adapter, at sign and version.
    model, _, adapter = str(row).partition("@")[0].partition("/")
    return model, adapter
