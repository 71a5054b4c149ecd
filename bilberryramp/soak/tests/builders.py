"""Builders of the observations of a soak."""

from bilberryramp.soak import observations

DEFAULT_MS = 10_000


def make_history(*observed):
    return observations.History(list(observed))


def sent(
    request_id="q1",
    node="n1",
    may_repeat=False,
    at_ms=DEFAULT_MS,
    service="svc-app",
    max_attempts=2,
    deadline_ms=3000,
):
    return observations.RequestSent(
        request_id,
        node,
        may_repeat,
        at_ms,
        service,
        max_attempts,
        deadline_ms,
    )


def arrived(
    request_id="q1",
    upstream_id="e3-1",
    at_ms=DEFAULT_MS + 10,
    deadline_ms=2990,
):
    return observations.RequestArrived(
        request_id, upstream_id, at_ms, deadline_ms
    )


def paused(
    request_id="q1",
    upstream_id="e3-1",
    at_ms=DEFAULT_MS + 20,
    pause_ms=4000,
):
    return observations.PauseRequested(
        request_id, upstream_id, at_ms, pause_ms
    )


def answer(request_id="q1", status=200, **changes):
    fields = {
        "is_whole": status == 200,
        "owner": request_id if status == 200 else "",
        "at_ms": DEFAULT_MS + 500,
    }
    return observations.AnswerReceived(
        request_id, status, **(fields | changes)
    )


def ran(request_id="q1", upstream_id="e1-1", at_ms=DEFAULT_MS + 20):
    return observations.RunStarted(request_id, upstream_id, at_ms)


def accepted(version, at_ms=DEFAULT_MS, body=b"x"):
    return observations.DocumentAccepted(version, body, at_ms)


def read_back(version, sent_ms, body=b"x", is_last=False):
    return observations.DocumentRead(version, body, sent_ms, is_last)


def ordered(holder, fence, upstream_id="e1-1"):
    return observations.OrderAccepted(upstream_id, holder, fence, DEFAULT_MS)


def fault(kind, target="n1", from_ms=DEFAULT_MS, to_ms=DEFAULT_MS + 8000):
    return observations.Fault(kind, target, from_ms, to_ms)


def crashed(cause="7-f0", upstream_id="e1-1", at_ms=DEFAULT_MS, is_part=False):
    return observations.EngineCrashed(cause, upstream_id, at_ms, is_part)


def run_ended(
    request_id="q1",
    upstream_id="e1-1",
    at_ms=DEFAULT_MS + 1800,
    broke_off=False,
):
    return observations.RunEnded(request_id, upstream_id, broke_off, at_ms)


def signalled(name="n1", signal="SIGTERM", at_ms=DEFAULT_MS):
    return observations.SignalSent(name, signal, at_ms)


def ended(name="n1", at_ms=DEFAULT_MS + 4000, code=0):
    return observations.ProgramEnded(name, code, True, at_ms)


def in_pieces(request_id="q1", **changes):
    """Build a request that was read whole and lost as its node stopped."""
    fields = {
        "node": "n1",
        "may_repeat": False,
        "began_ms": DEFAULT_MS + 1000,
        "written_ms": DEFAULT_MS + 2500,
        "span_ms": 1500,
        "deadline_ms": 6000,
        "status": 0,
        "is_whole": False,
        "has_closed": True,
        "ended_ms": DEFAULT_MS + 4000,
    }
    return observations.PiecesSent(request_id, **(fields | changes))
