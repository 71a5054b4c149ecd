"""Generate load over HTTP or in simulated time, and report the results."""

__all__ = [
    "deployment",
    "http_run",
    "outcomes",
    "report",
    "scenarios",
    "virtual",
    "workload",
]
