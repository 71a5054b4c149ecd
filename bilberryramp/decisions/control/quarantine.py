"""Quarantine of requests that repeatedly make upstreams fail.

A strike records that an upstream was lost while it ran a request. After
`STRIKES_TO_QUARANTINE` strikes the request is refused for `QUARANTINE_MS`.
"""

from bilberryramp.decisions.shared import commands, views

__all__ = [
    "MAX_RECORDS",
    "MAX_STRIKES_PER_REQUEST",
    "QUARANTINE_MS",
    "STRIKES_TO_QUARANTINE",
    "STRIKE_RETENTION_MS",
    "UPSTREAM_RECOVERY_MS",
    "is_quarantined",
    "recently_lost_upstreams",
    "record_strike",
]

STRIKES_TO_QUARANTINE = 2
QUARANTINE_MS = 600_000
UPSTREAM_RECOVERY_MS = 30_000
STRIKE_RETENTION_MS = 3_600_000
MAX_RECORDS = 4096
MAX_STRIKES_PER_REQUEST = 8


def record_strike(view: views.View, command: commands.ReportStrike) -> None:
    """Record that an upstream was lost while it ran a request.

    Parameters
    ----------
    view
        Its `quarantine` is modified in place.
    command
        The request's fingerprint, the attempt, the upstream and the time;
        a repeated report of the same attempt is counted once.
    """
    records = view.quarantine
    record = records.pop(
        command.fingerprint, views.QuarantineRecord(strikes=())
    )
    recorded_attempts = {strike.attempt_id for strike in record.strikes}
    if command.attempt_id not in recorded_attempts:
        record = _with_strike(record, command)
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


def _with_strike(record, command) -> views.QuarantineRecord:
    strike = views.Strike(
        command.upstream_id, command.attempt_id, command.at_ms
    )
    strikes = (*record.strikes, strike)[-MAX_STRIKES_PER_REQUEST:]
    is_quarantine_due = len(strikes) >= STRIKES_TO_QUARANTINE
    until_ms = command.at_ms + QUARANTINE_MS if is_quarantine_due else 0
    return views.QuarantineRecord(strikes, until_ms)


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
