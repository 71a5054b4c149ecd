"""Judgement of calls by the keys that the document in force contains."""

from collections.abc import Iterator

from bilberryramp.decisions.fleet.core import calls, workspaces
from bilberryramp.decisions.fleet.core.traces import Trace
from bilberryramp.decisions.fleet.gateway import gateway_state

__all__ = ["judge", "key_details", "waiting_calls"]


def judge(gw: gateway_state.Gateway, call: calls.Call) -> Iterator:
    """Judge a call that is not at an upstream by the document in force.

    Parameters
    ----------
    gw
        State of the gateway, which must have a document.
    call
        The call. Modified in place.

    Yields
    ------
    Trace
        If an earlier document judged otherwise.
    """
    version, was = call.judged_version, _state(call)
    workspaces.judge(gw.index, call)
    if version is not None and _state(call) != was:
        yield Trace(
            "call.judged_anew",
            {
                "request_id": call.request.request_id,
                "phase": call.phase,
                "sends": call.send_count,
                "workspace": workspaces.name(call),
                "workspace_before": was[0],
                "is_admitted": call.is_admitted,
                "key_digest": workspaces.digest(call.request.key),
                "document": gw.doc.version,
                "document_before": version,
            },
        )


def _state(call: calls.Call) -> tuple[str, bool]:
    return workspaces.name(call), call.is_admitted


def waiting_calls(gw: gateway_state.Gateway) -> list[calls.Call]:
    """List the calls of a gateway that are not at an upstream."""
    return [*gw.queue.values(), *gw.held.values()]


def key_details(gw: gateway_state.Gateway, call: calls.Call) -> dict:
    """Describe for the log why a call is not admitted, without its key.

    Parameters
    ----------
    gw
        State of the gateway.
    call
        The refused call.

    Returns
    -------
    dict
        Fields of a `Trace`; empty for a call that is admitted.
    """
    if call.is_admitted:
        return {}
    if not call.request.key:
        cause = "no_key"
    elif call.workspace is None:
        cause = "no_such_key"
    else:
        cause = "key_removed"
    return {
        "cause": cause,
        "key_digest": workspaces.digest(call.request.key),
        "workspace": workspaces.name(call),
        "route": call.route.name,
        "document": gw.doc.version,
    }
