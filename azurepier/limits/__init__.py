"""Quotas of the customers, shared between entries by leases.

The customer's home entry leases parts of the limits to the other entries;
each entry keeps a minimum that needs no lease. A time is passed in with each
call, and messages are returned to the caller.

Notes
-----
The bounds that hold, with a limit of `L` starts per second, a burst `B` and
`C` running tasks:

* While the members of all entries agree, at most ``L * t + B`` tasks start
  in any time `t`, and no start makes more than `C` tasks run.
* While the members differ, each group of entries that agree obeys the bounds
  by itself: `k` groups together stay within `k` times the limits.
* When the members agree again, leases end within `LEASE_S`; tasks above an
  entry's share are not stopped, but it starts none until it is within it.
"""

from azurepier.limits._limits import allowance
from azurepier.limits._limits import create
from azurepier.limits._limits import demand
from azurepier.limits._limits import ended
from azurepier.limits._limits import may_start
from azurepier.limits._limits import next_allowed_at
from azurepier.limits._limits import on_grant
from azurepier.limits._limits import on_request
from azurepier.limits._limits import on_tick
from azurepier.limits._limits import set_members
from azurepier.limits._limits import set_plans
from azurepier.limits._limits import started
from azurepier.limits._limits import take_outbox
from azurepier.limits._state import LEASE_S
from azurepier.limits._state import Limits
from azurepier.limits._state import TICK_S

__all__ = [
    'LEASE_S',
    'Limits',
    'TICK_S',
    'allowance',
    'create',
    'demand',
    'ended',
    'may_start',
    'next_allowed_at',
    'on_grant',
    'on_request',
    'on_tick',
    'set_members',
    'set_plans',
    'started',
    'take_outbox',
]
