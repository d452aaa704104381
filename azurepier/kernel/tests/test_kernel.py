"""Tests of job ids, timers and errors."""

import pickle
import random

import pytest

from azurepier import kernel
from azurepier.kernel import InvalidInputError


class TestIds:
    def test_only_issued_ids_are_authentic(self):
        # Guards against forged ids.
        incarnation = kernel.ids.new_incarnation(random.Random(1))
        text = kernel.ids.make(incarnation, 300, 7, b'secret')
        assert kernel.ids.is_authentic(text, b'secret')
        assert not kernel.ids.is_authentic(text, b'other')
        forged = text.replace('-7-', '-8-')
        assert not kernel.ids.is_authentic(forged, b'secret')

    def test_malformed_ids_are_rejected(self):
        # Guards against an exception for an id that a caller has made up.
        for text in ('', 'a-b', 'a-1-zz-mac', 'x' * 200, 'é-1-1-m'):
            assert kernel.ids.parse(text) is None


class TestTimers:
    def test_resetting_a_timer_replaces_its_deadline(self):
        # Guards against a timer that also expires at its previous deadline.
        timers = kernel.Timers()
        timers.set('a', 1.0)
        timers.set('b', 2.0)
        timers.set('a', 3.0)
        assert timers.next_at() == 2.0
        assert list(timers.expired(2.5)) == ['b']
        assert list(timers.expired(3.0)) == ['a']
        assert timers.next_at() is None

    def test_canceled_timers_take_no_memory(self):
        # Guards against jobs with a late deadline that ended long ago.
        timers = kernel.Timers()
        timers.set('last', 5000.0)
        for number in range(10_000):
            timers.set(number, 3600.0 + number)
            timers.set('often', 7.0)
            timers.cancel(number)
        assert len(timers._heap) < 200
        assert list(timers.expired(9999.0)) == ['often', 'last']

    def test_order_with_many_replaced_deadlines(self):
        # Guards against timers that get lost with outdated ones.
        timers = kernel.Timers()
        rng = random.Random(1)
        expected = {}
        for _ in range(5000):
            key, at = rng.randrange(300), rng.randrange(1000)
            expected[key] = at
            timers.set(key, at)
            if rng.random() < 0.3:
                key = rng.randrange(300)
                expected.pop(key, None)
                timers.cancel(key)
        expired = list(timers.expired(1000))
        assert sorted(expired) == sorted(expected)
        assert [expected[key] for key in expired] == sorted(expected.values())


class TestErrors:
    def test_pickled(self):
        """Guards against an error that breaks a process pool.

        An exception raised in a worker process is pickled; if it cannot be
        unpickled, the pool breaks.
        """
        exc = pickle.loads(pickle.dumps(InvalidInputError('seeds', 'none')))
        assert (exc.field, exc.reason) == ('seeds', 'none')
        assert str(exc) == 'seeds: none'


class TestStatus:
    @pytest.mark.parametrize('number', [8, 99, -1, 2**31 - 1])
    def test_number_of_a_later_build(self, number):
        """Guards against an exception, and against a wrong "not run"."""
        status = kernel.Status(number)
        assert status is kernel.Status.LOST
        assert kernel.VERDICT_OF_STATUS[status] is kernel.Verdict.MAY_HAVE_RUN

    @pytest.mark.parametrize('value', [None, 'done', b'0'])
    def test_no_number(self, value):
        """Guards against an error in the code that is taken for a status."""
        with pytest.raises(ValueError, match='Status'):
            kernel.Status(value)
