"""Builders of workspaces, and of a fleet whose engines are too few."""

import heapq

from bilberryramp.decisions.fleet.core import calls, documents
from bilberryramp.decisions.fleet.gateway import gateway
from bilberryramp.decisions.fleet.tests import builders

# Time for which the one engine of the replays reads a prompt.
READ_MS = 50
# Interval at which the engine announces itself.
ANNOUNCE_MS = 1000
PROMPT_TOKENS = 2000


def make_workspace(name, rate=0.0, unit=documents.UsageUnit.TOKEN):
    """Build a workspace; a rate of 0 means that it has no limit."""
    limit = documents.UsageLimit(unit, rate, rate, 100) if rate else None
    return builders.make_workspace(name, (f"key-{name}",), limit=limit)


def make_call(call_id=1, workspace=None, arrived_ms=0, urgency=1):
    """Build a waiting call with a prompt."""
    route = builders.make_route(urgency=urgency)
    prompt = builders.make_prompt(PROMPT_TOKENS, 0)
    req = builders.make_request(prompt=prompt)
    call = calls.Call(
        call_id, req, route, "engines", arrived_ms, arrived_ms + 6000
    )
    call.workspace = workspace
    return call


def make_shared_gateway(workspaces):
    """Build a gateway with one engine of one place, shared by workspaces."""
    doc = builders.make_document(
        engine=builders.make_engine(slots=1), workspaces=tuple(workspaces)
    )
    return builders.make_gateway(doc, [builders.make_announcement("u1")])


def replay(gw, arrivals, workspace_of, until_ms):
    """Play arrivals, each with one return after a refusal.

    Parameters
    ----------
    gw
        A gateway from `make_shared_gateway`, whose time starts at 10,000 ms.
    arrivals
        Pairs of a time in milliseconds and a request's number.
    workspace_of
        Function from a request's number to its workspace.
    until_ms
        When the replay ends.

    Returns
    -------
    (dict, dict)
        How each request ended, ``"served"`` or ``"refused"``, with the time
        from its arrival in milliseconds, and when each was told to return.
    """
    events = [(at_ms, number, "arrive", at_ms) for at_ms, number in arrivals]
    events += [(at_ms, -1, "tick", 0) for at_ms in range(10_000, until_ms, 50)]
    events += [
        (at_ms, -1, "announce", 0)
        for at_ms in range(10_000, until_ms, ANNOUNCE_MS)
    ]
    heapq.heapify(events)
    ended, returns, first_ms = {}, {}, {}
    while events:
        now_ms, number, kind, _ = heapq.heappop(events)
        if kind in ("arrive", "return"):
            first_ms.setdefault(number, now_ms)
            left_ms = 6000 - (now_ms - first_ms[number])
            prompt = builders.make_prompt(PROMPT_TOKENS, 0)
            req = builders.make_request(
                prompt=prompt,
                client_timeout_ms=left_ms,
                key=workspace_of(number).keys[0],
            )
            message = calls.CallArrived(number, req, now_ms)
        elif kind == "tick":
            message = gateway.Tick()
        elif kind == "announce":
            message = builders.make_announcement("u1", seq=2 + now_ms)
        else:
            message = calls.AttemptEnded(
                number, calls.AttemptOutcome.DELIVERED
            )
        for effect in gateway.step(gw, now_ms, message):
            match effect:
                case calls.SendCall():
                    end = (now_ms + READ_MS, effect.call_id, "end", 0)
                    heapq.heappush(events, end)
                    took_ms = now_ms - first_ms[effect.call_id]
                    ended[effect.call_id] = ("served", took_ms)
                case calls.Refuse():
                    took_ms = now_ms - first_ms[effect.call_id]
                    ended[effect.call_id] = ("refused", took_ms)
                    if effect.call_id not in returns:
                        returns[effect.call_id] = now_ms
                        left_ms = 6000 - took_ms
                        wait_ms = min(effect.retry_after_ms, left_ms // 3)
                        again = (now_ms + wait_ms, effect.call_id)
                        heapq.heappush(events, (*again, "return", 0))
    return ended, returns
