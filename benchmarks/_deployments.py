"""The two deployments for which the performance targets are defined."""

import attrs

SLOTS = 8
WORKERS = 11
WORKERS_PER_RACK = 3
DOMAINS = ('a', 'b', 'c')
SPEED_SPREAD = 4.0
# Coprime to the number of workers, to spread the speeds over the racks.
SPEED_STRIDE = 4
WITHIN_DOMAIN_S = 0.0001


@attrs.frozen
class Worker:
    """A worker; its speed is relative to the mean of the deployment."""

    name: str
    rack: int
    domain: str
    speed: float


@attrs.frozen
class Deployment:
    """Workers and one-way network delays of a deployment with three entries.

    Parameters
    ----------
    name : str
    between_domains_s : float
        Delay between failure domains (s).
    client_delay_s : float
        Delay between clients and entries (s).
    workers : tuple of Worker
    slots : int
        Slots of each worker.
    within_domain_s : float
        Delay within a failure domain (s).
    """

    name: str
    between_domains_s: float
    client_delay_s: float
    workers: tuple
    slots: int = SLOTS
    within_domain_s: float = WITHIN_DOMAIN_S

    @property
    def capacity(self):
        """Work per second of all slots, in seconds of run time at speed 1."""
        return self.slots * sum(worker.speed for worker in self.workers)

    @property
    def max_speed(self):
        """Speed of the fastest worker."""
        return max(worker.speed for worker in self.workers)

    def delay(self, sender, receiver):
        """Return the one-way delay between two processes (s)."""
        same = sender.node.options.domain == receiver.node.options.domain
        return self.within_domain_s if same else self.between_domains_s


def make_workers(count=WORKERS, spread=SPEED_SPREAD):
    """Return workers whose speeds form a geometric series of mean 1.

    Parameters
    ----------
    count : int
    spread : float
        Ratio of the highest to the lowest speed.
    """
    steps = max(count - 1, 1)
    relative_speeds = [spread ** (step / steps) for step in range(count)]
    mean = sum(relative_speeds) / count
    workers = []
    for number in range(count):
        rack = number // WORKERS_PER_RACK
        speed = relative_speeds[number * SPEED_STRIDE % count] / mean
        domain = DOMAINS[rack % len(DOMAINS)]
        workers.append(Worker(f'worker-{number}', rack, domain, speed))
    return tuple(workers)


DEPLOYMENTS = {
    deployment.name: deployment
    for deployment in (
        Deployment('prydderch', 0.0005, 0.003, make_workers()),
        Deployment('yastikevi', 0.001, 0.001, make_workers()),
    )
}
