"""Tests of the parser of callers' bodies."""

import copy
import json

import hypothesis
from hypothesis import strategies
import pytest

from azurepier import kernel
from azurepier import web
from azurepier.web.tests import fakes

_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, database=None
)
_LEAVES = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=70)
)
_JSON = strategies.recursive(
    _LEAVES,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=10,
)


def _outcome(body):
    """Parse, and check that nothing but the two expected ends happens."""
    try:
        spec = web.parse_job(body)
    except kernel.InvalidInputError as exc:
        assert exc.field
        assert exc.reason
        return None
    assert isinstance(spec, kernel.JobSpec)
    for task in spec.tasks:
        json.loads(task.payload)
        task.kind.encode()
    return spec


class TestFuzzing:
    """Guards against input that raises anything but InvalidInputError."""

    @_SETTINGS
    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes(self, body):
        _outcome(body)

    @_SETTINGS
    @hypothesis.given(_JSON)
    def test_any_json(self, value):
        _outcome(json.dumps(value).encode())

    @_SETTINGS
    @hypothesis.given(strategies.data())
    def test_valid_job_with_one_place_replaced(self, data):
        value = copy.deepcopy(
            fakes.job(urgent=True, idempotent=False, tasks=[_full_task()] * 2)
        )
        place = value
        while True:
            keys = sorted(place) if isinstance(place, dict) else [0, 1]
            key = data.draw(strategies.sampled_from(keys))
            inner = place[key]
            if not isinstance(inner, (dict, list)) or data.draw(
                strategies.booleans()
            ):
                break
            place = inner
        place[key] = data.draw(_JSON)
        _outcome(json.dumps(value).encode())

    @_SETTINGS
    @hypothesis.given(strategies.data())
    def test_valid_body_with_damaged_bytes(self, data):
        body = bytearray(json.dumps(fakes.job()).encode())
        at = data.draw(strategies.integers(0, len(body) - 1))
        body[at : at + data.draw(strategies.integers(0, 5))] = data.draw(
            strategies.binary(max_size=5)
        )
        _outcome(bytes(body))

    @_SETTINGS
    @hypothesis.given(_JSON)
    def test_any_payload_keeps_its_meaning(self, payload):
        # Guards against a payload that reaches the worker changed.
        body = json.dumps(fakes.job(tasks=[{'kind': 'k', 'payload': payload}]))
        spec = _outcome(body.encode())
        if spec is not None:
            assert json.loads(spec.tasks[0].payload) == payload


def _full_task():
    return {'kind': 'k', 'payload': [1, [2]], 'duration_ms': 5, 'size': 2}


def _with_task(**changes):
    return fakes.job(tasks=[_full_task(), _full_task() | changes])


_WRONG = [
    (fakes.job(customer=3), 'customer'),
    (fakes.job(customer=''), 'customer'),
    (fakes.job(deadline_ms=0), 'deadline_ms'),
    (fakes.job(deadline_ms=3_600_001), 'deadline_ms'),
    (fakes.job(deadline_ms=True), 'deadline_ms'),
    (fakes.job(deadline_ms=10.0), 'deadline_ms'),
    (fakes.job(urgent=1), 'urgent'),
    (fakes.job(idempotent='no'), 'idempotent'),
    (fakes.job(tasks=[]), 'tasks'),
    (fakes.job(tasks=[_full_task()] * 141), 'tasks'),
    (fakes.job(tasks={}), 'tasks'),
    (fakes.job(tasks=[3]), 'tasks[0]'),
    (fakes.job(colour='red'), 'colour'),
    (_with_task(kind=''), 'tasks[1].kind'),
    (_with_task(kind='k' * 65), 'tasks[1].kind'),
    (_with_task(kind='a\n'), 'tasks[1].kind'),
    (_with_task(kind='\ud800'), 'tasks[1].kind'),
    (_with_task(duration_ms=0), 'tasks[1].duration_ms'),
    (_with_task(duration_ms=3_600_001), 'tasks[1].duration_ms'),
    (_with_task(duration_ms=None), 'tasks[1].duration_ms'),
    (_with_task(size=0), 'tasks[1].size'),
    (_with_task(size=1_000_001), 'tasks[1].size'),
    (_with_task(size=1.5), 'tasks[1].size'),
    (_with_task(speed=1), 'tasks[1].speed'),
    ([], 'body'),
]


class TestRules:
    @pytest.mark.parametrize(('value', 'field'), _WRONG)
    def test_wrong_field_is_named(self, value, field):
        with pytest.raises(kernel.InvalidInputError) as info:
            web.parse_job(json.dumps(value).encode())
        assert info.value.field == field

    @pytest.mark.parametrize('field', ['customer', 'deadline_ms', 'tasks'])
    def test_missing_field_is_named(self, field):
        value = fakes.job()
        del value[field]
        with pytest.raises(kernel.InvalidInputError) as info:
            web.parse_job(json.dumps(value).encode())
        assert info.value.field == field

    @pytest.mark.parametrize('text', ['NaN', 'Infinity', '1e999', '-1e999'])
    def test_numbers_without_value_are_refused(self, text):
        # JSON has no such numbers, but Python's decoder accepts them.
        body = json.dumps(fakes.job()).replace('[2]', f'[{text}]')
        with pytest.raises(kernel.InvalidInputError):
            web.parse_job(body.encode())

    def test_repeated_key_is_refused(self):
        # Guards against two readers that pick different values.
        body = json.dumps(fakes.job()).replace('"b": 1', '"a": 1')
        with pytest.raises(kernel.InvalidInputError, match='twice'):
            web.parse_job(body.encode())

    @pytest.mark.parametrize('levels', [65, 100_000])
    def test_deep_nesting_is_refused(self, levels):
        # Guards against exhausting the stack here or in a worker.
        nested = '[' * levels + ']' * levels
        body = json.dumps(fakes.job()).replace('[2]', nested)
        with pytest.raises(kernel.InvalidInputError, match='deeper'):
            web.parse_job(body.encode())

    def test_digest_covers_each_field_but_no_order_of_keys(self):
        # Guards against a resubmission that is taken for another job, and
        # against another job that is taken for a resubmission.
        variants = [
            fakes.job(),
            fakes.job(urgent=True),
            fakes.job(idempotent=True),
            fakes.job(deadline_ms=5001),
            fakes.job(customer='open'),
            _with_task(),
            _with_task(size=3),
            _with_task(duration_ms=6),
            _with_task(payload=[1, [3]]),
            _with_task(kind='l'),
        ]
        digests = {_digest(value) for value in variants}
        assert len(digests) == len(variants)
        same = dict(reversed(fakes.job(urgent=False).items()))
        assert _digest(same) == _digest(fakes.job())


def _digest(value):
    return web.parse_job(json.dumps(value).encode()).digest
