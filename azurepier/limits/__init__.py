"""Quotas of the customers, shared between entries by leases.

Each customer has a home entry, chosen by rendezvous hashing, that divides the
customer's limit. It leases parts of the limit to the other entries; a minimum
of each entry needs no lease. The package does no I/O and reads no clock: the
time is an argument of each call, and messages are returned to the caller.

The caller calls `set_members` and `set_plans` on changes, `on_tick` every
`TICK_S`, `set_waiting` when a queue changes, `may_start` and `record_start`
for each task, `record_end` for each end, and sends what `on_tick`,
`on_request`, `on_grant` and `take_outbox` return. After each of these it calls
`may_start` again for the customers with waiting tasks.

Notes
-----
The bounds by the entries' clocks, for a limit of `L` starts per second, a
burst `B` (the larger of 0.1 s of `L` and the largest job) and `C` running
tasks:

* While all entries see the same members, at most ``L * t + B`` tasks start
  in any time `t`, and no start makes more than `C` tasks run. This assumes
  that an entry is not frozen between `may_start` and `record_start`, and that
  each member and the home receive a message from each other every
  `REDUCED_MINIMUM_S`; the running tasks of a member that is silent for longer,
  or that left, are not counted.
* While the members differ, the entries that see the same members form a
  group. Each group keeps these bounds by itself, so `k` groups together start
  at most ``k * (L * t + B)`` and run at most ``k * C`` tasks. An entry that
  was frozen for more than `LEASE_S` starts nothing until the home of its
  group grants it a lease or `REDUCED_MINIMUM_S` has passed, by which time it
  has left the others' members or is connected again.
* When the members agree again, the bound on starts holds from `LEASE_S` (and
  `CLOCK_DRIFT`) later. Tasks that started before are not stopped: an entry
  that runs more than its share starts none, and `C` may be exceeded by the
  tasks above the shares until those have ended.
* While a new plan is not in force everywhere, and for `LEASE_S` after that,
  the larger of the two limits holds; tasks above a smaller `C` may run on.
"""

from azurepier.limits._exchange import on_grant
from azurepier.limits._exchange import on_request
from azurepier.limits._exchange import on_tick
from azurepier.limits._exchange import take_outbox
from azurepier.limits._limits import allowance
from azurepier.limits._limits import create
from azurepier.limits._limits import may_start
from azurepier.limits._limits import next_allowed_at
from azurepier.limits._limits import record_end
from azurepier.limits._limits import record_start
from azurepier.limits._limits import set_members
from azurepier.limits._limits import set_plans
from azurepier.limits._limits import set_waiting
from azurepier.limits._state import LEASE_S
from azurepier.limits._state import Limits
from azurepier.limits._state import TICK_S

__all__ = [
    'LEASE_S',
    'Limits',
    'TICK_S',
    'allowance',
    'create',
    'may_start',
    'next_allowed_at',
    'on_grant',
    'on_request',
    'on_tick',
    'record_end',
    'record_start',
    'set_members',
    'set_plans',
    'set_waiting',
    'take_outbox',
]
