"""Requests that took down upstreams, and when to refuse them."""

from bilberryramp.decisions.shared import commands, views

__all__ = [
    "MAX_RECORDS",
    "MAX_STRIKES_KEPT",
    "MEMORY_MS",
    "QUARANTINE_MS",
    "RECOVERY_MS",
    "STRIKES_TO_QUARANTINE",
    "is_quarantined",
    "recently_lost",
    "strike",
]

STRIKES_TO_QUARANTINE = 2
QUARANTINE_MS = 600_000
RECOVERY_MS = 30_000
MEMORY_MS = 3_600_000
MAX_RECORDS = 4096
MAX_STRIKES_KEPT = 8


def strike(view: views.View, command: commands.ReportStrike) -> None:
    """Count an upstream lost while it ran a request.

    Parameters
    ----------
    view
        Its quarantine is changed.
    command
        Which request, which upstream, when.
    """
    records = view.quarantine
    record = records.pop(
        command.fingerprint, views.QuarantineRecord(strikes=())
    )
    known = {strike.attempt_id for strike in record.strikes}
    if command.attempt_id not in known:
        record = _with_strike(record, command)
    records[command.fingerprint] = record
    _forget(view, command.at_ms)


def is_quarantined(view: views.View, fingerprint: str, now_ms: int) -> bool:
    """Tell whether a request must be refused.

    Parameters
    ----------
    view
        The view in force.
    fingerprint
        Digest of the request.
    now_ms
        Wall time in milliseconds.

    Returns
    -------
    bool
        True while its quarantine lasts.
    """
    record = view.quarantine.get(fingerprint)
    return record is not None and now_ms < record.until_ms


def recently_lost(record: views.QuarantineRecord, now_ms: int) -> set[str]:
    """List the upstreams that may not have recovered from a request yet.

    Parameters
    ----------
    record
        The strikes against the request.
    now_ms
        Wall time in milliseconds.

    Returns
    -------
    set of str
        Upstream ids.
    """
    return {
        strike.upstream_id
        for strike in record.strikes
        if now_ms - strike.at_ms < RECOVERY_MS
    }


def _with_strike(record, command) -> views.QuarantineRecord:
    new = views.Strike(command.upstream_id, command.attempt_id, command.at_ms)
    strikes = (*record.strikes, new)[-MAX_STRIKES_KEPT:]
    full = len(strikes) >= STRIKES_TO_QUARANTINE
    until_ms = command.at_ms + QUARANTINE_MS if full else 0
    return views.QuarantineRecord(strikes, until_ms)


def _forget(view: views.View, now_ms: int) -> None:
    records = view.quarantine
    while records:
        oldest = next(iter(records))
        aged = now_ms - records[oldest].strikes[-1].at_ms > MEMORY_MS
        if len(records) <= MAX_RECORDS and not aged:
            return
        del records[oldest]
