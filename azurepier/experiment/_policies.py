"""Policies that an experiment compares: switches of single decisions.

`azurepier` is the product as it is. The baselines replace how jobs are
ordered, refused and placed; the mechanisms of the protocol stay.
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


def _fits(endpoints, job):
    resources = job.request.resources
    return [each for each in endpoints if _placement.fits(each, resources)]


def _random(endpoints, job, now, rng, allow_late=False):
    found = _fits(endpoints, job)
    return rng.choice(found) if found else None


def _two_choices(endpoints, job, now, rng, allow_late=False):
    found = _fits(endpoints, job)
    if not found:
        return None
    pair = rng.choices(found, k=2)
    return max(pair, key=lambda each: each.free_cpu)


def _least_loaded(endpoints, job, now, rng, allow_late=False):
    found = _fits(endpoints, job)
    return max(found, key=lambda each: each.free_cpu, default=None)


def _round_robin(endpoints, job, now, rng, allow_late=False):
    """Take the endpoint that got a task least recently."""
    found = _fits(endpoints, job)
    chosen = min(found, key=lambda each: each.last_sent_at, default=None)
    return chosen


def _by_arrival(jobs, *_):
    return sorted(jobs, key=lambda job: job.received_at)


def _by_objective(jobs, max_speed, now):
    return sorted(jobs, key=lambda job: _order.latest_start_at(job, max_speed))


_FIFO = (
    (_order, 'sort_jobs', _by_arrival),
    (_order, 'find_unservable', lambda *_: []),
)
_NO_MOVES = ((_progress, 'MOVES_MAX', 0),)


def _baseline(choose):
    return (*_FIFO, *_NO_MOVES, (_placement, 'choose', choose))


# Attributes that are replaced, by the name of the policy.
POLICIES = {
    'azurepier': (),
    'no refusals': ((_order, 'find_unservable', lambda *_: []),),
    'equal shares': ((_demand, 'share', lambda endpoint, mine: 1 / 3),),
    'no moves': _NO_MOVES,
    'no reserve': ((_reserve, 'is_deferred', lambda *_: False),),
    'short waits': ((_order, 'WAIT_FACTOR', 1.0),),
    'begun not first': ((_order, 'sort_jobs', _by_objective),),
    'no jitter': ((_placement, 'JITTER', 0.0),),
    'no sizes': ((_progress, '_update_work_estimate', lambda *_: None),),
    'no speeds': ((runner_progress, 'speed', lambda *_: 1.0),),
    'no trials': ((_trial, 'is_suspect', lambda *_: False),),
    'no spare room': ((_placement, 'has_spare_capacity', lambda *_: False),),
    'random': _baseline(_random),
    'two choices': _baseline(_two_choices),
    'least loaded': _baseline(_least_loaded),
    'round robin': _baseline(_round_robin),
    'fifo': _FIFO,
}


@contextlib.contextmanager
def applied(name):
    """Switch a policy on for the length of a ``with`` block."""
    with contextlib.ExitStack() as stack:
        for target, attribute, value in POLICIES[name]:
            stack.enter_context(mock.patch.object(target, attribute, value))
        yield
