"""Policies that an experiment compares, as patches of module attributes.

`azurepier` is the unmodified product. The baselines replace the ordering, the
rejection and the placement of jobs; the protocol is the same for all.
"""

import contextlib
from unittest import mock

from azurepier.dispatch import _demand
from azurepier.dispatch import _order
from azurepier.dispatch import _placement
from azurepier.dispatch import _progress
from azurepier.dispatch import _reserve
from azurepier.runner import _progress as runner_progress
from azurepier.runner import _trial


def _with_free_capacity(endpoints, job):
    resources = job.request.resources
    return [
        endpoint
        for endpoint in endpoints
        if _placement.fits(endpoint, resources)
    ]


def _choose_random(endpoints, job, now, rng, allow_late=False):
    candidates = _with_free_capacity(endpoints, job)
    return rng.choice(candidates) if candidates else None


def _choose_best_of_two(endpoints, job, now, rng, allow_late=False):
    candidates = _with_free_capacity(endpoints, job)
    if not candidates:
        return None
    sampled = rng.choices(candidates, k=2)
    return max(sampled, key=lambda endpoint: endpoint.free_cpu)


def _choose_least_loaded(endpoints, job, now, rng, allow_late=False):
    candidates = _with_free_capacity(endpoints, job)
    return max(
        candidates, key=lambda endpoint: endpoint.free_cpu, default=None
    )


def _choose_round_robin(endpoints, job, now, rng, allow_late=False):
    """Return the endpoint to which no task was sent for the longest time."""
    candidates = _with_free_capacity(endpoints, job)
    chosen = min(
        candidates, key=lambda endpoint: endpoint.last_sent_at, default=None
    )
    return chosen


def _sort_by_arrival(jobs, *_):
    return sorted(jobs, key=lambda job: job.received_at)


def _sort_by_latest_start(jobs, max_speed, *_):
    return sorted(jobs, key=lambda job: _order.latest_start_at(job, max_speed))


_FIFO_PATCHES = (
    (_order, 'sort_jobs', _sort_by_arrival),
    (_order, 'find_unservable', lambda *_: []),
)
_NO_MOVES_PATCHES = ((_progress, 'MOVES_MAX', 0),)


def _baseline_patches(choose):
    return (*_FIFO_PATCHES, *_NO_MOVES_PATCHES, (_placement, 'choose', choose))


# Patches ``(module, attribute, value)`` by the name of the policy.
POLICIES = {
    'azurepier': (),
    'no refusals': ((_order, 'find_unservable', lambda *_: []),),
    'equal shares': ((_demand, 'share', lambda endpoint, mine: 1 / 3),),
    'no moves': _NO_MOVES_PATCHES,
    'no reserve': ((_reserve, 'is_deferred', lambda *_: False),),
    'short waits': ((_order, 'WAIT_FACTOR', 1.0),),
    'begun not first': ((_order, 'sort_jobs', _sort_by_latest_start),),
    'no jitter': ((_placement, 'JITTER', 0.0),),
    'no sizes': ((_progress, '_update_work_estimate', lambda *_: None),),
    'no speeds': ((runner_progress, 'speed', lambda *_: 1.0),),
    'no trials': ((_trial, 'is_suspect', lambda *_: False),),
    'no spare room': ((_placement, 'has_spare_capacity', lambda *_: False),),
    'random': _baseline_patches(_choose_random),
    'two choices': _baseline_patches(_choose_best_of_two),
    'least loaded': _baseline_patches(_choose_least_loaded),
    'round robin': _baseline_patches(_choose_round_robin),
    'fifo': _FIFO_PATCHES,
}


@contextlib.contextmanager
def apply_policy(name):
    """Apply the patches of a policy within a ``with`` block."""
    with contextlib.ExitStack() as stack:
        for module, attribute, value in POLICIES[name]:
            stack.enter_context(mock.patch.object(module, attribute, value))
        yield
