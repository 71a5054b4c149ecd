"""Encodes orders to engines and decodes their answers."""

import msgspec

from bilberryramp.decisions.fleet import orders

__all__ = ["EXPECTED", "answer", "encode", "path"]

path = "/order"
EXPECTED = "X-Bilberryramp-Expected-Instance"

_ANSWERS = {
    200: orders.OrderAnswer.DONE,
    202: orders.OrderAnswer.ACCEPTED,
    409: orders.OrderAnswer.BUSY,
    412: orders.OrderAnswer.FENCED,
}


def encode(order: orders.SendOrder, holder: str) -> bytes:
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
    }
    if order.adapter:
        fields["adapter"] = order.adapter
    return msgspec.json.encode(fields)


def answer(status: int) -> str:
    """Decode the status of an answer.

    Parameters
    ----------
    status
        HTTP status.

    Returns
    -------
    str
        One of `orders.OrderAnswer`. Any 5xx leaves open whether the order
        was taken.
    """
    if status >= 500:
        return orders.OrderAnswer.NONE
    return _ANSWERS.get(status, orders.OrderAnswer.REFUSED)
