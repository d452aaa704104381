"""Endpoint processes, which run tasks of a pool's queues on one worker."""

from azurepier import _lazy

_MODEL = (
    'EndedRow',
    'ListFailed',
    'ListRuns',
    'RunOutcome',
    'RunningRow',
    'RunsListed',
    'StartAnswered',
    'StartResult',
    'StartRun',
    'StopAnswered',
    'StopRun',
    'Worker',
    'WorkerLeft',
    'WorkerReported',
)
_EVACUATION = ('ReadEvacuations',)
_SOURCES = {name: f'azurepier.runner._model:{name}' for name in _MODEL}
for _name in _EVACUATION:
    _SOURCES[_name] = f'azurepier.runner._evacuation:{_name}'
_SOURCES['LIST_TIMEOUT_MARGIN_S'] = (
    'azurepier.runner._requests:LIST_TIMEOUT_MARGIN_S'
)
_SOURCES['may_send_start'] = 'azurepier.runner._orders:may_send_start'
_SOURCES['Options'] = 'azurepier.runner._state:Options'
_NODE = ('create', 'handle', 'knows', 'recover', 'status')
for _name in _NODE:
    _SOURCES[_name] = f'azurepier.runner._node:{_name}'

__getattr__ = _lazy.loader(__name__, _SOURCES)

__all__ = [
    *_MODEL,
    *_EVACUATION,
    'LIST_TIMEOUT_MARGIN_S',
    'may_send_start',
    'Options',
    *_NODE,
]
