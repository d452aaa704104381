"""JSON encoding of jobs and answers in messages between entries."""

import json

from azurepier import kernel


def spec_to_json(spec):
    """Return the JSON encoding of a `JobSpec`, as bytes."""
    tasks = [
        [t.kind, t.payload.decode(), t.duration_ms, t.size] for t in spec.tasks
    ]
    return json.dumps(
        {
            'customer': spec.customer,
            'tasks': tasks,
            'deadline_ms': spec.deadline_ms,
            'urgent': spec.urgent,
            'idempotent': spec.idempotent,
            'digest': spec.digest,
        },
        separators=(',', ':'),
    ).encode()


_UNREADABLE_ERRORS = (ValueError, KeyError, TypeError, AttributeError)


def _read(field, reader, body):
    try:
        return reader(json.loads(body))
    except _UNREADABLE_ERRORS as exc:
        raise kernel.InvalidInputError(field, f'unreadable: {exc!r}') from exc


def spec_from_json(body):
    """Return the `JobSpec` encoded by `spec_to_json`.

    Raises
    ------
    InvalidInputError
        If it was not encoded by this version.
    """
    return _read('spec', _spec_from_data, body)


def _spec_from_data(data):
    data['tasks'] = tuple(
        kernel.TaskSpec(kind, payload.encode(), duration_ms, size)
        for kind, payload, duration_ms, size in data['tasks']
    )
    return kernel.JobSpec(**data)


def _complete_to_data(answer):
    return {
        'job_id': answer.job_id,
        'outputs': [output.decode() for output in answer.outputs],
    }


def _complete_from_data(data):
    outputs = tuple(output.encode() for output in data['outputs'])
    return kernel.Complete(data['job_id'], outputs)


def _ids_to_data(answer):
    return {'ids': answer.ids, 'expires_in_s': answer.expires_in_s}


def _ids_from_data(data):
    return kernel.Ids(tuple(data['ids']), data['expires_in_s'])


def _accepted_to_data(answer):
    return {'job_id': answer.job_id, 'state': answer.state}


def _refused_to_data(answer):
    return {
        'job_id': answer.job_id,
        'type': answer.type,
        'verdict': answer.verdict.value,
        'detail': answer.detail,
        'retry_after_s': answer.retry_after_s,
        'location': answer.location,
    }


def _refused_from_data(data):
    data['verdict'] = kernel.Verdict(data['verdict'])
    return kernel.Refused(**data)


_CODECS = {
    'ids': (kernel.Ids, _ids_to_data, _ids_from_data),
    'complete': (kernel.Complete, _complete_to_data, _complete_from_data),
    'accepted': (
        kernel.Accepted,
        _accepted_to_data,
        lambda data: kernel.Accepted(**data),
    ),
    'refused': (kernel.Refused, _refused_to_data, _refused_from_data),
}
_NAMES = {cls: name for name, (cls, _, _) in _CODECS.items()}


def answer_to_json(answer):
    """Return the JSON encoding of an answer, as bytes."""
    name = _NAMES[type(answer)]
    data = _CODECS[name][1](answer)
    return json.dumps([name, data], separators=(',', ':')).encode()


def answer_from_json(body):
    """Return the answer encoded by `answer_to_json`.

    Raises
    ------
    InvalidInputError
        If it was not encoded by this version.
    """
    return _read('answer', _answer_from_data, body)


def _answer_from_data(data):
    name, fields = data
    return _CODECS[name][2](fields)
