"""Metrics of the HTTP interface for callers."""

import attrs
import prometheus_client

# The bounds range from requests that are rejected at once to jobs of many long
# tasks.
_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
    300.0,
)
CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST.encode()


@attrs.define
class Metrics:
    """Metrics of one application.

    `registry` is a prometheus_client.CollectorRegistry.
    """

    registry: object
    _response_seconds: object = None
    _children: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self._response_seconds = prometheus_client.Histogram(
            'azurepier_job_response_seconds',
            'Time from a submission to its answer.',
            ('class_', 'outcome'),
            buckets=_BUCKETS_S,
            registry=self.registry,
        )

    def observe(self, class_, outcome, seconds):
        """Record the response time of one submission.

        Parameters
        ----------
        class_ : str
            ``urgent``, ``ordinary``, or ``unknown`` if the submission was
            refused before its class was known.
        outcome : str
            ``complete``, ``accepted``, ``caller-gone`` or an error type.
        seconds : float
        """
        # Looking up a child by its labels takes longer than the observation.
        key = (class_, outcome)
        child = self._children.get(key)
        if child is None:
            child = self._response_seconds.labels(class_, outcome)
            self._children[key] = child
        child.observe(seconds)

    def exposition(self):
        """Return all metrics of the registry in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
