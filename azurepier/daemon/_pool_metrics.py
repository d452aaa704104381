"""Prometheus metrics of the processes that serve pools.

The client library is imported at the first scrape: it takes 30 ms and 3 MB,
and most processes are never scraped.
"""

import numbers

import attrs


@attrs.frozen
class _Collector:
    """Collects the counts of a shell, its node and the supervised tasks."""

    shell: object
    supervisor: object

    def collect(self):
        """Yield metric families."""
        from prometheus_client import core

        status = self.shell.status()
        role = status['role']
        for key, value in status.items():
            if isinstance(value, numbers.Real):
                yield core.GaugeMetricFamily(
                    f'azurepier_pool_{role}_{key}',
                    f'{key} of the {role}.',
                    value,
                )
        events = core.CounterMetricFamily(
            f'azurepier_pool_{role}_events',
            f'Events counted by the {role}.',
            labels=['event'],
        )
        for name, count in status['counters'].items():
            events.add_metric([name], count)
        yield events
        for name, histogram in self.shell.node.histograms.items():
            yield core.HistogramMetricFamily(
                f'azurepier_pool_{role}_{name}_seconds',
                f'{name} at the {role}.',
                buckets=histogram.cumulative(),
                sum_value=histogram.total,
            )
        failures = core.CounterMetricFamily(
            'azurepier_task_failures',
            'Ends of tasks that run as long as the process.',
            labels=['task'],
        )
        for name, count in self.supervisor.failures.items():
            failures.add_metric([name], count)
        yield failures
        yield core.GaugeMetricFamily(
            'azurepier_tasks_waiting',
            'Tasks that wait to be started again.',
            len(self.supervisor.awaiting_restart),
        )
        for direction in ('sent', 'received'):
            yield core.CounterMetricFamily(
                f'azurepier_{direction}_bytes',
                f'Bytes {direction} on connections between processes.',
                getattr(self.shell.hooks.traffic, f'{direction}_bytes'),
            )
        closed = core.CounterMetricFamily(
            'azurepier_clients_closed',
            'Connections of clients that were closed, by limit.',
            labels=['reason'],
        )
        for reason, count in list(self.shell.limits.closed.items()):
            closed.add_metric([reason], count)
        yield closed
        yield core.CounterMetricFamily(
            'azurepier_messages_ignored',
            'Messages of types that this build does not know.',
            self.shell.hooks.traffic.ignored,
        )
        yield core.CounterMetricFamily(
            'azurepier_handler_errors',
            'Events that the node failed to handle.',
            self.shell.handler_errors,
        )


def render(shell, supervisor):
    """Return the metrics of a process in Prometheus text format."""
    import prometheus_client

    registry = prometheus_client.CollectorRegistry()
    registry.register(_Collector(shell, supervisor))
    return prometheus_client.generate_latest(registry)
