"""Tests of the validation and parsing of request bodies."""

import copy
import json

import hypothesis
from hypothesis import strategies
import pytest

from azurepier import kernel
from azurepier import web
from azurepier.web.tests import fakes

_FUZZING_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=400, database=None
)
_JSON_VALUES = strategies.recursive(
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


def _job_with_task(**changes):
    return fakes.make_job(tasks=[_TASK, _TASK | changes])


def _containers_and_keys(value):
    """Yield each (container, key) pair of a JSON value, recursively."""
    if isinstance(value, (dict, list)):
        for key in value if isinstance(value, dict) else range(len(value)):
            yield value, key
            yield from _containers_and_keys(value[key])


@strategies.composite
def _job_with_one_value_replaced(draw):
    value = copy.deepcopy(fakes.make_job(urgent=True, tasks=[_TASK] * 2))
    container, key = draw(
        strategies.sampled_from(list(_containers_and_keys(value)))
    )
    container[key] = draw(_JSON_VALUES)
    return _body(value)


@strategies.composite
def _job_with_bytes_replaced(draw):
    body = bytearray(_body(fakes.make_job()))
    start = draw(strategies.integers(0, len(body) - 1))
    size = draw(strategies.integers(0, 5))
    body[start : start + size] = draw(strategies.binary(max_size=5))
    return bytes(body)


class TestFuzzing:
    @_FUZZING_SETTINGS
    @hypothesis.given(
        strategies.binary(max_size=200)
        | _JSON_VALUES.map(_body)
        | _job_with_one_value_replaced()
        | _job_with_bytes_replaced()
    )
    def test_any_body_is_parsed_or_rejected(self, body):
        # Guards against other exceptions, and against a job that can't be
        # sent to other processes.
        try:
            spec = web.parse_job(body)
        except kernel.InvalidInputError as exc:
            assert exc.field
            assert exc.reason
        else:
            for task in spec.tasks:
                json.loads(task.payload)
                task.kind.encode()

    @_FUZZING_SETTINGS
    @hypothesis.given(_JSON_VALUES)
    def test_payload_is_preserved(self, payload):
        # Guards against a payload that is altered on the way to the worker.
        body = _body(fakes.make_job(tasks=[{'kind': 'k', 'payload': payload}]))
        try:
            spec = web.parse_job(body)
        except kernel.InvalidInputError:
            assert b'NaN' in body or b'Infinity' in body
        else:
            assert json.loads(spec.tasks[0].payload) == payload


_INVALID_JOBS = [
    ('body', []),
    ('colour', fakes.make_job(colour='red')),
    ('tasks[0]', fakes.make_job(tasks=[3])),
    *(
        ('customer', fakes.make_job(customer=invalid))
        for invalid in (3, '', 'a\n')
    ),
    *(
        ('deadline_ms', fakes.make_job(deadline_ms=invalid))
        for invalid in (0, 3_600_001, True, 10.0, None)
    ),
    ('urgent', fakes.make_job(urgent=1)),
    ('idempotent', fakes.make_job(idempotent='no')),
    *(
        ('tasks', fakes.make_job(tasks=invalid))
        for invalid in ([], [_TASK] * 141, {})
    ),
    *(
        (f'tasks[1].{field}', _job_with_task(**{field: invalid}))
        for field, values in {
            'kind': ('', 'k' * 65, 'a\n', '\ud800', 7),
            'duration_ms': (0, 3_600_001, None, True),
            'size': (0, 1_000_001, 1.5),
            'speed': (1,),
            'payload': ('x' * kernel.MAX_PAYLOAD_BYTES,),
        }.items()
        for invalid in values
    ),
]


class TestRules:
    @pytest.mark.parametrize(('field', 'value'), _INVALID_JOBS)
    def test_invalid_field_is_reported(self, field, value):
        with pytest.raises(kernel.InvalidInputError) as info:
            web.parse_job(_body(value))
        assert info.value.field == field

    @pytest.mark.parametrize('field', ['customer', 'deadline_ms', 'tasks'])
    def test_missing_field_is_reported(self, field):
        value = fakes.make_job()
        del value[field]
        self.test_invalid_field_is_reported(field, value)

    @pytest.mark.parametrize(
        'text',
        ['NaN', 'Infinity', '1e999', '-1e999', '{"a":1,"a":1}']
        + ['[' * levels + ']' * levels for levels in (65, 100_000)],
    )
    def test_ambiguous_or_deeply_nested_payload_is_rejected(self, text):
        # Python's decoder accepts numbers that JSON does not allow, parsers
        # differ in which duplicate key they keep, and deep nesting exhausts
        # the stack here or in a worker.
        body = _body(fakes.make_job()).replace(b'[2]', text.encode())
        with pytest.raises(kernel.InvalidInputError):
            web.parse_job(body)

    def test_digest_covers_all_fields_but_not_key_order(self):
        # Guards against a resubmission that is treated as a different job,
        # and against a different job that is treated as a resubmission.
        variants = [
            fakes.make_job(),
            fakes.make_job(urgent=True),
            fakes.make_job(idempotent=True),
            fakes.make_job(deadline_ms=5001),
            fakes.make_job(customer='open'),
            _job_with_task(),
            _job_with_task(size=3),
            _job_with_task(duration_ms=6),
            _job_with_task(payload=[1, [3]]),
            _job_with_task(kind='l'),
        ]
        digests = {web.parse_job(_body(value)).digest for value in variants}
        assert len(digests) == len(variants)
        reordered = _body(dict(reversed(fakes.make_job(urgent=False).items())))
        assert web.parse_job(reordered).digest in digests
