"""Replicated records of requests that make upstreams end.

A strike records that an upstream was lost while it ran a request. After
`STRIKES_TO_QUARANTINE` strikes the request is refused for `QUARANTINE_MS`. The
rules are those of `shared.quarantine`, which the fleet's nodes use as well.
"""

from bilberryramp.decisions.shared import (
    charting,
    commands,
    quarantine,
    views,
)

__all__ = [
    "MAX_RECORDS",
    "MAX_STRIKES_PER_REQUEST",
    "QUARANTINE_MS",
    "STRIKES_TO_QUARANTINE",
    "STRIKE_RETENTION_MS",
    "UPSTREAM_RECOVERY_MS",
    "is_quarantined",
    "lift",
    "recently_lost_upstreams",
    "record_strike",
]

STRIKES_TO_QUARANTINE = 2
QUARANTINE_MS = 600_000
UPSTREAM_RECOVERY_MS = 30_000
STRIKE_RETENTION_MS = 3_600_000
MAX_RECORDS = 4096
MAX_STRIKES_PER_REQUEST = 8


_LIMITS = quarantine.Limits(
    restrict_losses=1,
    quarantine_losses=STRIKES_TO_QUARANTINE,
    durations_ms=(QUARANTINE_MS,),
)


def record_strike(
    view: views.View, command: commands.ReportStrike, chart: charting.Chart
) -> None:
    """Record that an upstream was lost while it ran a request.

    Parameters
    ----------
    view
        Its `quarantine` is modified in place.
    command
        The request's fingerprint, the attempt, the upstream and the time;
        a repeated report of the same attempt is counted once.
    chart
        Bound ``suspect`` chart.
    """
    records = view.quarantine
    record = records.pop(
        command.fingerprint, views.QuarantineRecord(strikes=())
    )
    recorded_attempts = {strike.attempt_id for strike in record.strikes}
    if command.attempt_id not in recorded_attempts:
        record = _with_strike(record, command, chart)
    records[command.fingerprint] = record
    _remove_expired(view, command.at_ms)


def is_quarantined(view: views.View, fingerprint: str, now_ms: int) -> bool:
    """Return whether a request is quarantined and must be refused.

    Parameters
    ----------
    view
        The current view.
    fingerprint
        Digest of the request.
    now_ms
        Current wall-clock time in milliseconds.

    Returns
    -------
    bool
        True until the request's quarantine ends.
    """
    record = view.quarantine.get(fingerprint)
    return record is not None and now_ms < record.until_ms


def recently_lost_upstreams(
    record: views.QuarantineRecord, now_ms: int
) -> set[str]:
    """Return the lost upstreams that may not have recovered yet.

    Parameters
    ----------
    record
        The strikes against the request that ran when they were lost.
    now_ms
        Current wall-clock time in milliseconds.

    Returns
    -------
    set of str
        Ids of the upstreams lost within the last `UPSTREAM_RECOVERY_MS`.
    """
    return {
        strike.upstream_id
        for strike in record.strikes
        if now_ms - strike.at_ms < UPSTREAM_RECOVERY_MS
    }


def lift(view: views.View, fingerprint: str) -> None:
    """Free a request; an unknown one is ignored.

    Parameters
    ----------
    view
        Its `quarantine` is modified in place.
    fingerprint
        Digest of the request.
    """
    view.quarantine.pop(fingerprint, None)


def _with_strike(record, command, chart) -> views.QuarantineRecord:
    strike = views.Strike(
        command.upstream_id, command.attempt_id, command.at_ms
    )
    strikes = (*record.strikes, strike)[-MAX_STRIKES_PER_REQUEST:]
    suspect = _suspect_of(command.fingerprint, strikes, record)
    event = "evidence_changed"
    for _ in quarantine.fire(chart, suspect, event, command.at_ms):
        pass
    is_refused = suspect.phase == "quarantined"
    return views.QuarantineRecord(
        strikes, suspect.until_ms if is_refused else 0
    )


def _suspect_of(
    fingerprint: str, strikes: tuple, record: views.QuarantineRecord
) -> quarantine.Suspect:
    """Return the state of the chart that a record and a new strike describe.

    Strikes are confirmed losses. A struck request runs beside no other struck
    one, so they count as trials, and each begins another quarantine once
    there were enough of them.
    """
    suspect = quarantine.Suspect(
        fingerprint,
        _LIMITS,
        "quarantined" if record.until_ms else "observed",
        quarantine_count=max(len(strikes) - STRIKES_TO_QUARANTINE, 0),
        until_ms=record.until_ms,
    )
    for strike in strikes:
        key = (strike.attempt_id,)
        suspect.losses[key] = quarantine.Loss(
            key,
            strike.upstream_id,
            strike.at_ms,
            strike.at_ms,
            is_confirmed=True,
            is_trial=True,
        )
    return suspect


def _remove_expired(view: views.View, now_ms: int) -> None:
    records = view.quarantine
    while records:
        oldest = next(iter(records))
        is_expired = (
            now_ms - records[oldest].strikes[-1].at_ms > STRIKE_RETENTION_MS
        )
        if len(records) <= MAX_RECORDS and not is_expired:
            return
        del records[oldest]
