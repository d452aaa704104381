"""Entries that place tasks by the resources of endpoints.

Every entry owns the jobs that its callers submit and dispatches them itself.
Admission is left to the endpoint processes (`azurepier.runner`), since only
they know the free capacity of their workers exactly.
"""

from azurepier import _lazy

_SOURCES = {
    'CallersConfirmed': 'azurepier.dispatch._model:CallersConfirmed',
    'CancelJob': 'azurepier.dispatch._model:CancelJob',
    'Canceled': 'azurepier.dispatch._model:Canceled',
    'CloseIdleCallers': 'azurepier.dispatch._model:CloseIdleCallers',
    'ConfirmCallers': 'azurepier.dispatch._model:ConfirmCallers',
    'Finished': 'azurepier.dispatch._model:Finished',
    'Entry': 'azurepier.dispatch._state:Entry',
    'FirstConfigApplied': 'azurepier.dispatch._model:FirstConfigApplied',
    'JobRequest': 'azurepier.dispatch._model:JobRequest',
    'Options': 'azurepier.dispatch._state:Options',
    'Policy': 'azurepier.dispatch._policy:Policy',
    'Queue': 'azurepier.dispatch._model:Queue',
    'Rejected': 'azurepier.dispatch._model:Rejected',
    'Resources': 'azurepier.dispatch._model:Resources',
    'Routing': 'azurepier.dispatch._model:Routing',
    'RoutingLoaded': 'azurepier.dispatch._config:RoutingLoaded',
    'STORE': 'azurepier.dispatch._config:STORE',
    'StoreAnswering': 'azurepier.dispatch._transfer:StoreAnswering',
    'Submit': 'azurepier.dispatch._model:Submit',
    'Verdict': 'azurepier.kernel._verdict:Verdict',
    'arriving': 'azurepier.dispatch._arriving',
    'bounds': 'azurepier.dispatch._bounds',
    'create': 'azurepier.dispatch._node:create',
    'explain': 'azurepier.dispatch._explain:explain',
    'find_queue': 'azurepier.dispatch._model:find_queue',
    'handle': 'azurepier.dispatch._node:handle',
    'is_ready': 'azurepier.dispatch._node:is_ready',
    'decode_policy': 'azurepier.dispatch._policy:decode_policy',
    'knows': 'azurepier.dispatch._node:knows',
    'load_policy': 'azurepier.dispatch._policy:load_policy',
    'policy': 'azurepier.dispatch._policy',
    'pending': 'azurepier.dispatch._node:pending',
    'recover': 'azurepier.dispatch._node:recover',
    'status': 'azurepier.dispatch._node:status',
}

__getattr__ = _lazy.loader(__name__, _SOURCES)

__all__ = [
    'CallersConfirmed',
    'CancelJob',
    'Canceled',
    'CloseIdleCallers',
    'ConfirmCallers',
    'Entry',
    'Finished',
    'FirstConfigApplied',
    'JobRequest',
    'Options',
    'Policy',
    'Queue',
    'Rejected',
    'Resources',
    'Routing',
    'RoutingLoaded',
    'STORE',
    'StoreAnswering',
    'Submit',
    'Verdict',
    'arriving',
    'bounds',
    'create',
    'decode_policy',
    'explain',
    'find_queue',
    'handle',
    'is_ready',
    'knows',
    'load_policy',
    'policy',
    'pending',
    'recover',
    'status',
]
