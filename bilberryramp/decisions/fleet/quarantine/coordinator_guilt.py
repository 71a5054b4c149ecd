"""Which of several suspects is to blame for the ends of upstreams.

A loss is shared if another request, or something outside of all requests, may
have ended the upstream. Rivals of a suspect are more likely causes of all its
losses: another identity of the same requests, or several that only together
were lost at all of the same upstreams.
"""

from bilberryramp.decisions.fleet.core import identities
from bilberryramp.decisions.fleet.quarantine import coordinator_state
from bilberryramp.decisions.shared import quarantine

__all__ = ["assess"]

# Time within which the ends of several upstreams may have a common cause.
COINCIDENCE_MS = 100


def assess(
    coord: coordinator_state.Coordinator, suspect: quarantine.Suspect
) -> None:
    """Compare a suspect with the others that were lost beside it.

    Parameters
    ----------
    coord
        State of the coordinator.
    suspect
        The suspect. Its rivals and the `is_shared` of its losses are updated.
    """
    _mark_shared_losses(coord, suspect)
    rivals = _find_rivals(coord, suspect)
    suspect.rival_count = len(rivals)
    suspect.has_lasting_rivals = any(
        identities.kind_of(identity) is identities.Kind.PART
        for identity in rivals
    )


def _mark_shared_losses(
    coord: coordinator_state.Coordinator, suspect: quarantine.Suspect
) -> None:
    """Mark the losses in trials that prove nothing.

    Losses outside of trials prove nothing anyway.
    """
    for key, loss in suspect.losses.items():
        loss.is_shared = loss.is_trial and (
            _ended_with_others(coord, suspect, loss)
            or any(
                _may_have_ended(coord.suspects[identity], key, loss)
                for identity in coord.identities_at.get(key, ())
                if identity != suspect.key
            )
        )


def _ended_with_others(
    coord: coordinator_state.Coordinator,
    suspect: quarantine.Suspect,
    loss: quarantine.Loss,
) -> bool:
    """Return whether other upstreams ended at the time of a loss.

    They may have a cause in common, such as a loss of power, unless the
    suspect was lost at them as well.
    """
    return any(
        abs(first_ms - loss.ended_ms) <= COINCIDENCE_MS
        and key not in suspect.losses
        and any(
            coord.suspects[identity].losses[key].is_confirmed
            for identity in coord.identities_at.get(key, ())
        )
        for key, first_ms in coord.first_breaks_ms.items()
    )


def _may_have_ended(
    other: quarantine.Suspect, key: tuple, loss: quarantine.Loss
) -> bool:
    """Return whether another request may have ended an upstream as well.

    The identities of one request do not share its losses; `_find_rivals`
    chooses between them.
    """
    is_same_request = (
        loss.trial_id > 0 and other.losses[key].trial_id == loss.trial_id
    )
    if other.phase == "observed" or is_same_request:
        return False
    count = quarantine.count_successive(other.losses.values(), False)
    return count >= coordinator_state.LIMITS.restrict_losses


def _find_rivals(
    coord: coordinator_state.Coordinator, suspect: quarantine.Suspect
) -> list[str]:
    """Return a few more likely suspects that explain all confirmed losses.

    The suspect that explains the most of the remaining losses is taken first,
    which finds a small number, if not always the smallest.
    """
    keys = {key for key, loss in suspect.losses.items() if loss.is_confirmed}
    explained: dict[str, set] = {}
    for key in keys:
        for identity in coord.identities_at[key]:
            other = coord.suspects[identity]
            if other.losses[key].is_confirmed and _likelihood(
                other
            ) > _likelihood(suspect):
                explained.setdefault(identity, set()).add(key)
    rivals: list[str] = []
    while keys:
        best = max(
            explained, key=lambda i: len(explained[i] & keys), default=""
        )
        if not best or not explained[best] & keys:
            return []
        keys -= explained[best]
        rivals.append(best)
    return rivals


def _likelihood(suspect: quarantine.Suspect) -> tuple:
    return (not suspect.has_run, suspect.depth)
