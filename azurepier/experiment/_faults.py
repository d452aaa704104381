"""Injection of the faults of an experiment."""


def _sample_names(fleet, names, share, rng):
    names = sorted(names)
    count = max(round(share * len(names)), 1)
    return rng.sample(names, min(count, len(names)))


def _slow_workers(fleet, fault, rng):
    for name in _sample_names(fleet, fleet.workers, fault.share, rng):
        worker = fleet.workers[name]
        worker.set_slowdown(fault.times)
        fleet.driver.after(fault.for_s, worker.set_slowdown, 1.0)


def _stall_workers(fleet, fault, rng):
    for name in _sample_names(fleet, fleet.workers, fault.share, rng):
        worker = fleet.workers[name]
        worker.set_slowdown(float('inf'))
        fleet.driver.after(fault.for_s, worker.set_slowdown, 1.0)


def _fail_tasks(fleet, fault, rng):
    for name in _sample_names(fleet, fleet.workers, fault.share, rng):
        worker = fleet.workers[name]
        worker.failing = True
        fleet.driver.after(fault.for_s, setattr, worker, 'failing', False)


def _kill_entries(fleet, fault, rng):
    for name in _sample_names(fleet, fleet.entries, fault.share, rng):
        fleet.kill_entry(name)
        fleet.driver.after(fault.for_s, fleet.start_entry, name)


def _kill_endpoints(fleet, fault, rng):
    for name in _sample_names(fleet, fleet.endpoints, fault.share, rng):
        fleet.driver.kill(fleet.endpoints[name])
        fleet.driver.after(fault.for_s, fleet.start_endpoint, name)


def _kill_all_processes(fleet, fault, rng):
    for name in list(fleet.entries):
        fleet.kill_entry(name)
        fleet.driver.after(fault.for_s, fleet.start_entry, name)
    for name in list(fleet.endpoints):
        fleet.driver.kill(fleet.endpoints[name])
        fleet.driver.after(fault.for_s, fleet.start_endpoint, name)


# Functions ``(fleet, fault, rng)`` by the name of the fault. Each starts the
# fault and schedules its end.
FAULTS = {
    'slow': _slow_workers,
    'stall': _stall_workers,
    'fail': _fail_tasks,
    'kill_entries': _kill_entries,
    'kill_endpoints': _kill_endpoints,
    'kill_all': _kill_all_processes,
}
