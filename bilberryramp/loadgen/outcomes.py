"""Counts and latencies of a workload's requests."""

import collections
import dataclasses

from hdrh import histogram

from bilberryramp.loadgen import workload

__all__ = [
    "Outcomes",
    "record_answered",
    "attainment",
    "min_attainment",
    "new_outcomes",
    "record_offered",
    "p95_ms",
    "urgent_attainment",
]

_MAX_LATENCY_US = 3_600_000_000  # one hour


@dataclasses.dataclass(slots=True)
class Outcomes:
    """Counts and latencies of one run.

    Attributes
    ----------
    load
        The workload, which has the latency targets.
    first_token
        Histogram of the times from the intended start of a request to its
        first token, in microseconds.
    between_tokens
        Histogram of the mean times between tokens of each answer, in
        microseconds.
    offered
        Number of requests sent.
    attained
        Number of requests that met both latency targets.
    refused
        Number of requests that were not run; in HTTP runs, of responses with
        a status other than 200.
    failed
        Number of requests that ended with any other failure.
    moves
        Number of model loads started after the initial placement.
    offered_urgent, attained_urgent
        `offered` and `attained` for routes with priority ``urgent`` only.
    offered_by_group, attained_by_group
        `offered` and `attained` of each group. A group is a pool in virtual
        runs and a model in HTTP runs.
    """

    load: workload.Workload
    first_token: histogram.HdrHistogram
    between_tokens: histogram.HdrHistogram
    offered: int = 0
    attained: int = 0
    refused: int = 0
    failed: int = 0
    moves: int = 0
    offered_urgent: int = 0
    attained_urgent: int = 0
    offered_by_group: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    attained_by_group: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


def new_outcomes(load: workload.Workload) -> Outcomes:
    """Create outcomes without any requests.

    Parameters
    ----------
    load
        The workload, which has the latency targets.

    Returns
    -------
    Outcomes
        Counts of zero and empty histograms.
    """
    return Outcomes(
        load,
        histogram.HdrHistogram(1, _MAX_LATENCY_US, 3),
        histogram.HdrHistogram(1, _MAX_LATENCY_US, 3),
    )


def record_offered(
    outcomes: Outcomes, group: str, urgent: bool = False
) -> None:
    """Record that a request was sent.

    Parameters
    ----------
    outcomes
        The outcomes of the run. Modified in place.
    group
        Group of the request: its pool or its model.
    urgent
        Whether the priority of the request's route is ``urgent``.
    """
    outcomes.offered += 1
    outcomes.offered_urgent += urgent
    outcomes.offered_by_group[group] += 1


def min_attainment(outcomes: Outcomes, excluded_group: str = "") -> float:
    """Return the lowest attainment of a group.

    Attainment is the fraction of requests that met both latency targets.

    Parameters
    ----------
    outcomes
        The outcomes of the run.
    excluded_group
        Name of a group that is ignored.

    Returns
    -------
    float
        Attainment from 0 to 1; 0 if no request was sent.
    """
    attainments = (
        outcomes.attained_by_group[group] / offered
        for group, offered in outcomes.offered_by_group.items()
        if group != excluded_group
    )
    return min(attainments, default=0.0)


def record_answered(
    outcomes: Outcomes,
    group: str,
    first_token_ms: float,
    between_tokens_ms: float,
    urgent: bool = False,
) -> None:
    """Record that a request was answered in full.

    Parameters
    ----------
    outcomes
        The outcomes of the run. Modified in place.
    group
        Group of the request: its pool or its model.
    first_token_ms
        Time from the intended start to the first token, in milliseconds.
    between_tokens_ms
        Mean time between tokens, in milliseconds.
    urgent
        Whether the priority of the request's route is ``urgent``.
    """
    load = outcomes.load
    outcomes.first_token.record_value(max(int(first_token_ms * 1e3), 1))
    outcomes.between_tokens.record_value(max(int(between_tokens_ms * 1e3), 1))
    met_targets = (
        first_token_ms <= load.first_token_ms
        and between_tokens_ms <= load.between_tokens_ms
    )
    outcomes.attained += met_targets
    outcomes.attained_urgent += met_targets and urgent
    outcomes.attained_by_group[group] += met_targets


def urgent_attainment(outcomes: Outcomes) -> float:
    """Return the fraction of urgent requests that met both targets."""
    return outcomes.attained_urgent / max(outcomes.offered_urgent, 1)


def attainment(outcomes: Outcomes) -> float:
    """Return the fraction of all sent requests that met both targets."""
    return outcomes.attained / max(outcomes.offered, 1)


def p95_ms(latencies: histogram.HdrHistogram) -> float:
    """Return the 95th percentile of a histogram, in milliseconds."""
    return latencies.get_value_at_percentile(95.0) / 1e3
