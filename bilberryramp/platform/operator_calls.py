"""Decodes the calls that operators and upstreams make to a node."""

import msgspec

from bilberryramp.decisions.fleet import operator_calls as calls
from bilberryramp.decisions.fleet import presence
from bilberryramp.decisions.shared import errors
from bilberryramp.platform import announcements, service_documents

__all__ = ["decode", "encode_heartbeat_answer"]


def decode(method: str, path: str, body: bytes):
    """Decode a call.

    Parameters
    ----------
    method, path, body
        Of the HTTP request.

    Returns
    -------
    Submit, ReadDocument, Heartbeat, Farewell or Unreadable
        In the project's own terms; None for a path that is not served.
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
    """Complete a farewell from what is known of the upstream."""
    return announcements.decode_departure(call.upstream_id, call.body, last)


def encode_heartbeat_answer() -> bytes:
    """Encode the answer to a heartbeat."""
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
