"""Placement policies: which endpoint runs a task, or whether it waits.

A factory `policy(rng)` returns a function `choose(ready, request)`. `ready`
is a list of the endpoints that can start the task now, the fastest first, and
`request` is a `PlacementRequest`. The function returns an element of `ready`,
or `HOLD` to keep the task in the queue until a faster endpoint has a free
slot.
"""

import attrs

from azurepier.kernel import registry

HOLD = 'hold'
# Speeds within this factor of each other count as equal.
EQUAL_SPEED_FACTOR = 1.15
# A task is held only if it is expected to end earlier by this factor, because
# the forecast of free slots is inaccurate.
HOLD_MARGIN = 1.1


@attrs.frozen
class PlacementRequest:
    """A task to be placed.

    Parameters
    ----------
    work_s : float
        Expected work (s at speed 1).
    forecast : SlotForecast
        Expected free times of busy slots.
    """

    work_s: float
    forecast: object


def _least_loaded(ready):
    """Return the least loaded endpoint among the fastest ones."""
    best = ready[0]
    best_share = best.credit_share
    min_speed = best.speed / EQUAL_SPEED_FACTOR
    for view in ready[1:]:
        if view.speed < min_speed:
            break
        share = view.credit_share
        if share > best_share:
            best, best_share = view, share
    return best


@registry.register('placement', 'expected_completion')
def expected_completion(rng):
    """Return a policy that minimises the expected completion time."""

    def choose(ready, request):
        best = _least_loaded(ready)
        run_s = request.work_s / best.speed
        end_s, faster = request.forecast.earliest_end(
            request.work_s, best.speed * EQUAL_SPEED_FACTOR
        )
        if end_s * HOLD_MARGIN >= run_s:
            return best
        request.forecast.reserve(faster, request.work_s)
        return HOLD

    return choose


@registry.register('placement', 'random')
def random_choice(rng):
    """Return a policy that chooses a ready endpoint at random."""

    def choose(ready, request):
        return rng.choice(ready)

    return choose


@registry.register('placement', 'round_robin')
def round_robin(rng):
    """Return a policy that uses the ready endpoints in turn."""
    turn = 0

    def choose(ready, request):
        nonlocal turn
        turn += 1
        ordered = sorted(ready, key=lambda view: view.name)
        return ordered[turn % len(ordered)]

    return choose
