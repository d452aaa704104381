"""Metrics of a process in Prometheus' format."""

import numbers

import attrs
import prometheus_client
from prometheus_client import core

from azurepier.kernel import Status

_DELAY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1, 5)
_RUN_BUCKETS_S = (0.01, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60, 300)


def _family(kind, name, text, label, values):
    family = kind(name, text, labels=[label])
    for key, value in values.items():
        family.add_metric([key], value)
    return family


def _by_class(counts):
    return {cls.__name__: count for cls, count in counts.items()}


@attrs.define(eq=False)
class _Collector:
    """Reads the shell's counts when metrics are asked for.

    Counting in plain integers keeps the metrics out of the path of each
    message.
    """

    shell: object
    budget: object = None

    def collect(self):
        """Yield metric families."""
        traffic = self.shell.hooks.traffic
        counter, gauge = core.CounterMetricFamily, core.GaugeMetricFamily
        for verb in ('sent', 'received'):
            yield _family(
                counter,
                f'azurepier_messages_{verb}',
                f'Messages {verb}, by type.',
                'type',
                _by_class(getattr(traffic, verb)),
            )
            yield counter(
                f'azurepier_{verb}_bytes',
                f'Bytes {verb} on connections between processes.',
                getattr(traffic, f'{verb}_bytes'),
            )
        yield counter(
            'azurepier_failed_connections',
            'Connections that ended before their handshake.',
            traffic.failed_handshakes,
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
    """Yield a gauge for each number in the status, and the counters."""
    role = status['role']
    for key, value in status.items():
        if isinstance(value, numbers.Real):
            yield core.GaugeMetricFamily(
                f'azurepier_{role}_{key}', f'{key} of the {role}.', value
            )
    yield _family(
        core.CounterMetricFamily,
        f'azurepier_{role}_events',
        f'Events counted by the {role}.',
        'event',
        status.get('counters', {}),
    )


def _platform_families(budget):
    """Yield the calls to the platform, which limits their number."""
    for name, values in (
        ('calls', budget.calls),
        ('failed_calls', budget.failures),
    ):
        yield _family(
            core.CounterMetricFamily,
            f'azurepier_platform_{name}',
            f'{name} of the platform, by kind.'.replace('_', ' '),
            'call',
            values,
        )


@attrs.frozen
class Metrics:
    """Metrics that are observed one by one."""

    registry: prometheus_client.CollectorRegistry
    delays: prometheus_client.Histogram
    runs: dict

    def observe_run(self, status, seconds):
        """Count one task that ended on the worker."""
        self.runs[status].observe(seconds)


def create(with_runs=False):
    """Return metrics in a registry of their own.

    Parameters
    ----------
    with_runs : bool
        Whether the process runs tasks.
    """
    registry = prometheus_client.CollectorRegistry()
    prometheus_client.ProcessCollector(registry=registry)
    prometheus_client.GCCollector(registry=registry)
    delays = prometheus_client.Histogram(
        'azurepier_timer_delay_seconds',
        'Time by which timers fired late.',
        buckets=_DELAY_BUCKETS_S,
        registry=registry,
    )
    runs = _run_histograms(registry) if with_runs else {}
    return Metrics(registry, delays, runs)


def _run_histograms(registry):
    """Return a histogram by status; to look it up by label takes longer."""
    runs = prometheus_client.Histogram(
        'azurepier_task_run_seconds',
        "Time from a task's request to the worker to its answer.",
        ('status',),
        buckets=_RUN_BUCKETS_S,
        registry=registry,
    )
    return {status: runs.labels(status.name.lower()) for status in Status}


def add_shell(metrics, shell, budget=None):
    """Show the counts of a shell, its node and its calls to the platform."""
    metrics.registry.register(_Collector(shell, budget))
    shell.delays = metrics.delays.observe
