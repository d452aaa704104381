"""Prometheus metrics of a process."""

import numbers

import attrs
import prometheus_client
from prometheus_client import core

from azurepier.kernel import Status

_DELAY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1, 5)
_RUN_TIME_BUCKETS_S = (0.01, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60, 300)


def _labelled_family(family_class, name, documentation, label, values):
    family = family_class(name, documentation, labels=[label])
    for key, value in values.items():
        family.add_metric([key], value)
    return family


def _by_class_name(counts):
    return {cls.__name__: count for cls, count in counts.items()}


@attrs.define(eq=False)
class _Collector:
    """Collects the counts of a shell when metrics are scraped.

    The shell counts in plain integers, so that no metric object is updated
    for each message.
    """

    shell: object
    budget: object = None

    def collect(self):
        """Yield metric families."""
        traffic = self.shell.hooks.traffic
        counter, gauge = core.CounterMetricFamily, core.GaugeMetricFamily
        for direction in ('sent', 'received'):
            yield _labelled_family(
                counter,
                f'azurepier_messages_{direction}',
                f'Messages {direction}, by type.',
                'type',
                _by_class_name(getattr(traffic, direction)),
            )
            yield counter(
                f'azurepier_{direction}_bytes',
                f'Bytes {direction} on connections between processes.',
                getattr(traffic, f'{direction}_bytes'),
            )
        yield counter(
            'azurepier_failed_connections',
            'Connections that ended before their handshake.',
            traffic.failed_handshakes,
        )
        yield counter(
            'azurepier_messages_ignored',
            'Messages of types that this build does not know.',
            traffic.ignored,
        )
        yield _labelled_family(
            counter,
            'azurepier_clients_closed',
            'Connections of clients that were closed, by limit.',
            'reason',
            dict(self.shell.limits.closed),
        )
        yield counter(
            'azurepier_handler_errors',
            'Events that the node failed to handle.',
            self.shell.handler_errors,
        )
        yield gauge(
            'azurepier_connections',
            'Open connections to other processes.',
            len(self.shell.conns),
        )
        yield from _node_families(self.shell.status())
        if self.budget is not None:
            yield from _platform_families(self.budget)


def _node_families(status):
    """Yield a gauge for each number in the status, and the event counters."""
    role = status['role']
    for key, value in status.items():
        if isinstance(value, numbers.Real):
            yield core.GaugeMetricFamily(
                f'azurepier_{role}_{key}', f'{key} of the {role}.', value
            )
    yield _labelled_family(
        core.CounterMetricFamily,
        f'azurepier_{role}_events',
        f'Events counted by the {role}.',
        'event',
        status.get('counters', {}),
    )


def _platform_families(budget):
    """Yield counters of the calls to the platform, which limits their rate."""
    for name, values in (
        ('calls', budget.calls),
        ('failed_calls', budget.failures),
    ):
        yield _labelled_family(
            core.CounterMetricFamily,
            f'azurepier_platform_{name}',
            f'{name} of the platform, by kind.'.replace('_', ' '),
            'call',
            values,
        )


@attrs.frozen
class Metrics:
    """Registry, and histograms that are updated with each observation."""

    registry: prometheus_client.CollectorRegistry
    timer_delays: prometheus_client.Histogram
    run_times: dict

    def observe_run(self, status, seconds):
        """Record the run time (s) of a task that ended on the worker."""
        self.run_times[status].observe(seconds)


def create(with_run_times=False):
    """Create metrics in a new registry.

    Parameters
    ----------
    with_run_times : bool
        Whether to add histograms of the run times of tasks.
    """
    registry = prometheus_client.CollectorRegistry()
    prometheus_client.ProcessCollector(registry=registry)
    prometheus_client.GCCollector(registry=registry)
    timer_delays = prometheus_client.Histogram(
        'azurepier_timer_delay_seconds',
        'Time by which timers fired late.',
        buckets=_DELAY_BUCKETS_S,
        registry=registry,
    )
    run_times = _make_run_histograms(registry) if with_run_times else {}
    return Metrics(registry, timer_delays, run_times)


def _make_run_histograms(registry):
    """Return the histogram of each status.

    They are looked up once, because a lookup by label takes longer than an
    observation.
    """
    run_times = prometheus_client.Histogram(
        'azurepier_task_run_seconds',
        "Time from a task's request to the worker to its answer.",
        ('status',),
        buckets=_RUN_TIME_BUCKETS_S,
        registry=registry,
    )
    return {status: run_times.labels(status.name.lower()) for status in Status}


def register_shell(metrics, shell, budget=None):
    """Add the counts of a shell, its node and the calls to the platform."""
    metrics.registry.register(_Collector(shell, budget))
    shell.observe_delay = metrics.timer_delays.observe
