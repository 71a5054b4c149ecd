"""Decode the calls of operators and upstreams to a node."""

import msgspec

from bilberryramp.decisions.fleet.core import presence
from bilberryramp.decisions.fleet.register import operator_calls as calls
from bilberryramp.decisions.shared import errors
from bilberryramp.platform import announcements, service_documents

__all__ = ["decode", "encode_heartbeat_answer"]


def decode(method: str, path: str, body: bytes):
    """Decode a call of an operator or upstream.

    Parameters
    ----------
    method
        HTTP method, in upper case.
    path
        Path of the request, with or without a query.
    body
        Body of the request.

    Returns
    -------
    Submit, ReadDocument, Heartbeat, Departure, MalformedCall or None
        The decoded call; None if no call has this method and path.
    """
    parts = path.partition("?")[0].strip("/").split("/")
    match (method, parts):
        case ("POST", ["config", "put"]):
            return _decode_submission(body)
        case ("GET", ["config", "get"]):
            return calls.ReadDocument()
        case ("POST", ["instances", upstream_id, "heartbeat"]):
            return _decode_heartbeat(upstream_id, body)
        case ("POST", ["instances", upstream_id, "deregister"]):
            return calls.Departure(upstream_id, body)
    return None


def complete_departure(
    call: calls.Departure, last: presence.Announcement | None
) -> presence.Announcement | None:
    """Return the announcement that follows from an upstream's departure.

    Parameters
    ----------
    call
        The departure.
    last
        Last announcement of the upstream; None if it is unknown.

    Returns
    -------
    Announcement or None
        None if neither the call nor `last` describes the upstream.
    """
    return announcements.decode_departure(call.upstream_id, call.body, last)


def encode_heartbeat_answer() -> bytes:
    """Encode the body of the answer to a heartbeat: an empty object."""
    return msgspec.json.encode({})


def _decode_submission(body: bytes):
    try:
        return calls.Submit(service_documents.decode(body), body)
    except errors.BilberryError as exc:
        return calls.MalformedCall(str(exc))


def _decode_heartbeat(upstream_id: str, body: bytes):
    try:
        return calls.Heartbeat(
            announcements.decode_heartbeat(upstream_id, body)
        )
    except errors.BilberryError as exc:
        return calls.MalformedCall(str(exc))
