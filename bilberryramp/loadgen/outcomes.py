"""What became of a workload's requests."""

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

_MAX_LATENCY_US = 3_600_000_000


@dataclasses.dataclass(slots=True)
class Outcomes:
    """Counts and latencies of one run.

    Attributes
    ----------
    first_token, between_tokens
        HdrHistograms in microseconds, from the intended start.
    moves
        Replicas placed after the first placement.
    offered_urgent, attained_urgent
        Requests of urgent routes.
    offered_by, attained_by
        Requests by group, which is the pool in virtual runs.
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
    """Start counting.

    Parameters
    ----------
    load
        The workload, for its targets.

    Returns
    -------
    Outcomes
        All zero.
    """
    return Outcomes(
        load,
        histogram.HdrHistogram(1, _MAX_LATENCY_US, 3),
        histogram.HdrHistogram(1, _MAX_LATENCY_US, 3),
    )


def record_offered(
    outcomes: Outcomes, group: str, urgent: bool = False
) -> None:
    """Count a request that was sent.

    Parameters
    ----------
    outcomes
        Changed in place.
    group, urgent
        The group it belongs to, and whether its route is urgent.
    """
    outcomes.offered += 1
    outcomes.offered_urgent += urgent
    outcomes.offered_by_group[group] += 1


def min_attainment(outcomes: Outcomes, excluded_group: str = "") -> float:
    """Return the attained part of the group that fared worst.

    Parameters
    ----------
    outcomes
        The outcomes.
    apart_from
        A group that is left out.

    Returns
    -------
    float
        From 0 to 1.
    """
    shares = (
        outcomes.attained_by_group[group] / offered
        for group, offered in outcomes.offered_by_group.items()
        if group != excluded_group
    )
    return min(shares, default=0.0)


def record_answered(
    outcomes: Outcomes,
    group: str,
    first_token_ms: float,
    between_tokens_ms: float,
    urgent: bool = False,
) -> None:
    """Count a request that was answered.

    Parameters
    ----------
    outcomes
        Changed in place.
    group
        The group it belongs to.
    first_token_ms
        From the intended start to the first token.
    between_tokens_ms
        Mean time between tokens.
    urgent
        Whether its route is urgent.
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
    """Return the attained part of the urgent requests, from 0 to 1."""
    return outcomes.attained_urgent / max(outcomes.offered_urgent, 1)


def attainment(outcomes: Outcomes) -> float:
    """Return the part of all requests offered that met both targets."""
    return outcomes.attained / max(outcomes.offered, 1)


def p95_ms(latencies: histogram.HdrHistogram) -> float:
    """Return the 95th percentile in milliseconds."""
    return latencies.get_value_at_percentile(95.0) / 1e3
