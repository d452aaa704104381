"""Placement policies: which endpoint gets a task, and when it waits.

A policy is made by a factory `policy(rng)` and is a function
`choose(ready, need)`. `ready` are the endpoints that can take the task now,
the fastest first; `need` is a `Need`. The result is one of `ready`, or HOLD
to keep the task in the queue for a faster endpoint that is about to have a
free slot.
"""

import attrs

from azurepier.kernel import registry

HOLD = 'hold'
# Endpoints whose speeds differ by less than this are taken as equal.
EQUAL_SPEED = 1.15
# A task is held only if waiting promises to end it earlier by this factor,
# because the estimate of the wait is rough.
HOLD_MARGIN = 1.1


@attrs.frozen
class PlacementRequest:
    """What a policy knows of a task.

    Parameters
    ----------
    work_s : float
        Expected work in seconds at speed 1.
    plan : Plan
        When busy slots are expected to become free.
    """

    work_s: float
    plan: object


def _emptiest(ready):
    """Return the emptiest of the endpoints as fast as the fastest."""
    best = ready[0]
    most = best.credit_share
    limit = best.speed / EQUAL_SPEED
    for view in ready[1:]:
        if view.speed < limit:
            break
        share = view.credit_share
        if share > most:
            best, most = view, share
    return best


@registry.register('placement', 'expected_completion')
def expected_completion(rng):
    """Return the policy that minimises the expected time of completion."""

    def choose(ready, need):
        best = _emptiest(ready)
        run_s = need.work_s / best.speed
        end_s, other = need.plan.earliest(
            need.work_s, best.speed * EQUAL_SPEED
        )
        if end_s * HOLD_MARGIN >= run_s:
            return best
        need.plan.reserve(other, need.work_s)
        return HOLD

    return choose


@registry.register('placement', 'random')
def random_choice(rng):
    """Return the policy that takes any endpoint with a free slot."""

    def choose(ready, need):
        return rng.choice(ready)

    return choose


@registry.register('placement', 'round_robin')
def round_robin(rng):
    """Return the policy that takes the endpoints in turn."""
    turn = 0

    def choose(ready, need):
        nonlocal turn
        turn += 1
        ordered = sorted(ready, key=lambda view: view.name)
        return ordered[turn % len(ordered)]

    return choose
