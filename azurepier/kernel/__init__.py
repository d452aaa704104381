"""What all nodes share: messages, events, effects, ids, verdicts, errors."""

from azurepier.kernel._batches import batches
from azurepier.kernel import _effects as effects
from azurepier.kernel._errors import AzurepierError
from azurepier.kernel._errors import ConflictError
from azurepier.kernel._errors import InvalidInputError
from azurepier.kernel._errors import PlatformError
from azurepier.kernel._errors import SettingsError
from azurepier.kernel._errors import UnknownPluginError
from azurepier.kernel._errors import WireError
from azurepier.kernel import _events as events
from azurepier.kernel import _ids as ids
from azurepier.kernel._job import Accepted
from azurepier.kernel._job import AnyAnswer
from azurepier.kernel._job import BATCH_BYTES
from azurepier.kernel._job import Complete
from azurepier.kernel._job import ERROR_TYPES
from azurepier.kernel._job import Ids
from azurepier.kernel._job import JobSpec
from azurepier.kernel._job import MAX_ANSWER_BYTES
from azurepier.kernel._job import MAX_DEADLINE_MS
from azurepier.kernel._job import MAX_JOB_BYTES
from azurepier.kernel._job import MAX_PAYLOAD_BYTES
from azurepier.kernel._job import MAX_TASKS
from azurepier.kernel._job import Refused
from azurepier.kernel._job import TaskSpec
from azurepier.kernel import _registry as registry
from azurepier.kernel._timers import Timers
from azurepier.kernel._verdict import Status
from azurepier.kernel._verdict import Verdict
from azurepier.kernel._verdict import VERDICT_OF_STATUS
from azurepier.wire.gen.messages import ttypes as messages

__all__ = [
    'Accepted',
    'AnyAnswer',
    'AzurepierError',
    'BATCH_BYTES',
    'Complete',
    'ConflictError',
    'ERROR_TYPES',
    'Ids',
    'InvalidInputError',
    'JobSpec',
    'MAX_ANSWER_BYTES',
    'MAX_DEADLINE_MS',
    'MAX_JOB_BYTES',
    'MAX_PAYLOAD_BYTES',
    'MAX_TASKS',
    'PlatformError',
    'Refused',
    'SettingsError',
    'Status',
    'TaskSpec',
    'Timers',
    'UnknownPluginError',
    'VERDICT_OF_STATUS',
    'Verdict',
    'WireError',
    'batches',
    'effects',
    'events',
    'ids',
    'messages',
    'registry',
]
