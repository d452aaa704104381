"""Simulated fleet of entries and endpoints on virtual time."""

import json
import random
import typing

import attrs

from azurepier import config
from azurepier import endpoint
from azurepier import entry
from azurepier import kernel
from azurepier.kernel import events
from azurepier.testing import _driver

# A new entry starts no tasks while other entries may still use shares of its
# limits, see `azurepier.limits` (s).
SETTLE_S = 8.0
Status = kernel.Status


@attrs.define(eq=False)
class Fleet:
    """Entries, endpoints and their workers.

    Attributes
    ----------
    starts : dict of (str, int) to int
        Number of starts by job id and task, as counted by the workers.
    failing : set of str
        Endpoints whose workers fail all tasks.
    run_time : callable, optional
        ``run_time(start)`` returns the run time on a worker of speed 1 (s).
    """

    driver: _driver.Driver
    entries: list = attrs.field(factory=list)
    endpoints: list = attrs.field(factory=list)
    starts: dict = attrs.field(factory=dict)
    failing: set = attrs.field(factory=set)
    next_req: int = 1
    run_time: typing.Callable | None = None

    def submit(self, index, job_spec, job_id=None, detach=False):
        """Submit a job through an entry; return the request number."""
        process = self.entries[index]
        req = self.next_req
        self.next_req += 1
        event = events.Submit(req, job_id, job_spec, detach)
        self.driver.feed(process, event)
        return req

    def request(self, index, factory):
        """Pass `factory(req)` to an entry; return the request number `req`."""
        req = self.next_req
        self.next_req += 1
        self.driver.feed(self.entries[index], factory(req))
        return req

    def answer(self, index, req):
        """Return the answer to a request, or None."""
        name = self.entries[index].name
        timed_answer = self.driver.answers.get((name, req))
        return timed_answer[1] if timed_answer else None

    def new_id(self, index):
        """Return a new job id of an entry."""
        req = self.request(index, lambda req: events.NewIds(req, 1))
        return self.answer(index, req).ids[0]

    def configure(self, cfg):
        """Pass a configuration to all entries as read from the platform."""
        body = config.to_json(cfg)
        for process in self.entries:
            self.driver.feed(process, events.ConfigSeen(body))

    def add_endpoint(self, name, speed=1.0, slots=8, **options):
        """Start an endpoint process and its worker."""
        opts = endpoint.Options(
            name=name,
            worker=options.pop('worker', name),
            domain=options.pop('domain', 'a'),
            slots=slots,
            seeds=tuple(p.address for p in self.entries),
            **options,
        )
        rng = random.Random(f'{self.driver.seed} {name} {self.driver.now}')
        node = endpoint.create(opts, rng, self.driver.now)
        process = _driver.Process(name, node, endpoint.handle)
        process.worker = self._worker(name, speed)
        self.endpoints.append(process)
        return self.driver.add(process)

    def add_entry(self, name, domain='a', **options):
        """Start an entry."""
        address = f'{name}:1'
        opts = entry.Options(
            name=name,
            domain=domain,
            address=address,
            web_address=f'http://{name}',
            seeds=tuple(p.address for p in self.entries),
            **options,
        )
        rng = random.Random(f'{self.driver.seed} {name} {self.driver.now}')
        node = entry.create(opts, rng, self.driver.now)
        process = _driver.Process(name, node, entry.handle, address)
        self.entries.append(process)
        return self.driver.add(process)

    def _worker(self, name, speed):
        def run(start, now):
            key = (start.job_id, start.task)
            self.starts[key] = self.starts.get(key, 0) + 1
            if name in self.failing:
                return 0.001, Status.FAILED, b'worker is broken'
            if start.kind == 'fail':
                return 0.001, Status.FAILED, b'asked to fail'
            if self.run_time is not None:
                run_s = self.run_time(start) / speed
            else:
                run_s = json.loads(start.payload)['ms'] / 1000 / speed
            return run_s, Status.DONE, start.payload

        return run


def configuration(version=1, customers=('ash',), **plan):
    """Return a configuration with one plan for all customers."""
    fields = {
        'starts_per_s': 1e6,
        'concurrent': 100_000,
        'queue': 100_000,
        'urgent_share': 1.0,
        **plan,
    }
    return config.Configuration(
        version=version,
        edit_id=f'edit-{version}',
        author='tests',
        customers={c: config.Customer(c, 'basic') for c in customers},
        plans={'basic': config.Plan(name='basic', **fields)},
    )


def spec(times_ms=(50,), customer='ash', **options):
    """Return a job whose tasks sleep for the given times (ms)."""
    kind = options.pop('kind', 'sleep')
    tasks = tuple(
        kernel.TaskSpec(kind, json.dumps({'ms': ms, 'n': n}).encode(), ms)
        for n, ms in enumerate(times_ms)
    )
    fields = {'deadline_ms': 10_000, **options}
    digest = repr((customer, tasks, fields))
    return kernel.JobSpec(customer, tasks, digest=digest, **fields)


def make_fleet(entries=2, speeds=(1.0, 2.0, 4.0), seed=1, **options):
    """Return a connected fleet with an active configuration.

    The leader, which owns new jobs, is the first of the entries.

    Parameters
    ----------
    entries : int
        Number of entries.
    speeds : sequence of float
        Speeds of the endpoints.
    seed : int
    options : dict
        `slots`, `cfg` and `delay`; others are passed to `entry.Options`.
    """
    slots = options.pop('slots', 8)
    cfg = options.pop('cfg', None) or configuration()
    delay = options.pop('delay', None)
    driver = _driver.Driver(seed=seed)
    if delay is not None:
        driver.delay = delay
    fleet = Fleet(driver)
    for number in range(entries):
        fleet.add_entry(f'entry-{number}', **options)
    for number, speed in enumerate(speeds):
        fleet.add_endpoint(f'endpoint-{number}', speed, slots)
    fleet.configure(cfg)
    driver.run_until(SETTLE_S)
    fleet.entries.sort(key=lambda process: not process.node.leads)
    return fleet
