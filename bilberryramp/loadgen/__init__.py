"""Load and experiments: workloads, virtual time, HTTP, reports."""

__all__ = [
    "deployment",
    "http_run",
    "outcomes",
    "report",
    "scenarios",
    "virtual",
    "workload",
]
