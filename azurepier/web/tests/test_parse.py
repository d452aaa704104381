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
    derandomize=True, deadline=None, max_examples=400, database=None
)
_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=70),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=10,
)
_TASK = {'kind': 'k', 'payload': [1, [2]], 'duration_ms': 5, 'size': 2}


def _body(value):
    return json.dumps(value).encode()


def _with_task(**changes):
    return fakes.job(tasks=[_TASK, _TASK | changes])


def _places(value):
    """Yield each (container, key) in a JSON value."""
    if isinstance(value, (dict, list)):
        for key in value if isinstance(value, dict) else range(len(value)):
            yield value, key
            yield from _places(value[key])


@strategies.composite
def _one_place_replaced(draw):
    value = copy.deepcopy(fakes.job(urgent=True, tasks=[_TASK] * 2))
    place, key = draw(strategies.sampled_from(list(_places(value))))
    place[key] = draw(_JSON)
    return _body(value)


@strategies.composite
def _bytes_damaged(draw):
    body = bytearray(_body(fakes.job()))
    at = draw(strategies.integers(0, len(body) - 1))
    size = draw(strategies.integers(0, 5))
    body[at : at + size] = draw(strategies.binary(max_size=5))
    return bytes(body)


class TestFuzzing:
    @_SETTINGS
    @hypothesis.given(
        strategies.binary(max_size=200)
        | _JSON.map(_body)
        | _one_place_replaced()
        | _bytes_damaged()
    )
    def test_any_body_is_a_job_or_invalid_input(self, body):
        # Guards against input that raises anything else, and against a job
        # that can't be passed on.
        try:
            spec = web.parse_job(body)
        except kernel.InvalidInputError as exc:
            assert exc.field
            assert exc.reason
        else:
            for task in spec.tasks:
                json.loads(task.payload)
                task.kind.encode()

    @_SETTINGS
    @hypothesis.given(_JSON)
    def test_any_payload_keeps_its_meaning(self, payload):
        # Guards against a payload that reaches the worker changed.
        body = _body(fakes.job(tasks=[{'kind': 'k', 'payload': payload}]))
        try:
            spec = web.parse_job(body)
        except kernel.InvalidInputError:
            assert b'NaN' in body or b'Infinity' in body
        else:
            assert json.loads(spec.tasks[0].payload) == payload


_WRONG = [
    ('body', []),
    ('colour', fakes.job(colour='red')),
    ('tasks[0]', fakes.job(tasks=[3])),
    *(('customer', fakes.job(customer=wrong)) for wrong in (3, '', 'a\n')),
    *(
        ('deadline_ms', fakes.job(deadline_ms=wrong))
        for wrong in (0, 3_600_001, True, 10.0, None)
    ),
    ('urgent', fakes.job(urgent=1)),
    ('idempotent', fakes.job(idempotent='no')),
    *(('tasks', fakes.job(tasks=wrong)) for wrong in ([], [_TASK] * 141, {})),
    *(
        (f'tasks[1].{field}', _with_task(**{field: wrong}))
        for field, values in {
            'kind': ('', 'k' * 65, 'a\n', '\ud800', 7),
            'duration_ms': (0, 3_600_001, None, True),
            'size': (0, 1_000_001, 1.5),
            'speed': (1,),
            'payload': ('x' * kernel.MAX_PAYLOAD_BYTES,),
        }.items()
        for wrong in values
    ),
]


class TestRules:
    @pytest.mark.parametrize(('field', 'value'), _WRONG)
    def test_wrong_field_is_named(self, field, value):
        with pytest.raises(kernel.InvalidInputError) as info:
            web.parse_job(_body(value))
        assert info.value.field == field

    @pytest.mark.parametrize('field', ['customer', 'deadline_ms', 'tasks'])
    def test_missing_field_is_named(self, field):
        value = fakes.job()
        del value[field]
        self.test_wrong_field_is_named(field, value)

    @pytest.mark.parametrize(
        'text',
        ['NaN', 'Infinity', '1e999', '-1e999', '{"a":1,"a":1}']
        + ['[' * levels + ']' * levels for levels in (65, 100_000)],
    )
    def test_values_that_readers_treat_differently_are_refused(self, text):
        # JSON has no such numbers, but Python's decoder accepts them; of
        # repeated keys readers pick different ones; deep nesting exhausts
        # the stack here or in a worker.
        body = _body(fakes.job()).replace(b'[2]', text.encode())
        with pytest.raises(kernel.InvalidInputError):
            web.parse_job(body)

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
        digests = {web.parse_job(_body(value)).digest for value in variants}
        assert len(digests) == len(variants)
        same = _body(dict(reversed(fakes.job(urgent=False).items())))
        assert web.parse_job(same).digest in digests
