"""HTTP applications of entries and endpoint processes."""

import logging

from blacksheep import Application
from blacksheep.exceptions import MessageAborted
from blacksheep import Request
from blacksheep import Response
from blacksheep.server.routing import Router
import prometheus_client

from azurepier import kernel
from azurepier.web import _answers
from azurepier.web import _drain
from azurepier.web import _jobs
from azurepier.web import _metrics
from azurepier.web import _operators
from azurepier.web import _requests

_log = logging.getLogger(__name__)
# The connection is closed, so the server discards the response.
_DISCONNECTED_STATUS = 400


def _with_error_responses(handler):
    """Wrap `handler` so that every exception becomes a response."""

    async def wrapped(request: Request) -> Response:
        try:
            return await handler(request)
        except _answers.RefusedError as exc:
            if exc.refused.type == 'internal':
                _log.error(
                    '%s %s failed',
                    request.method,
                    request.path,
                    exc_info=exc.__cause__,
                )
            return _answers.to_response(exc.refused, exc.field)
        except kernel.InvalidInputError as exc:
            error = _answers.refused_error('invalid-input', str(exc))
            return _answers.to_response(error.refused, exc.field)
        except (_requests.CallerDisconnectedError, MessageAborted):
            return Response(_DISCONNECTED_STATUS)
        except Exception:
            _log.exception('%s %s failed', request.method, request.path)
            error = _answers.refused_error(
                'internal', 'unexpected error while handling the request'
            )
            return _answers.to_response(error.refused)

    return wrapped


async def _not_found(request: Request) -> Response:
    path = request.path if request.path.isprintable() else ascii(request.path)
    detail = f'no resource for {request.method} {path}'
    return _answers.problem_response(404, 'Not Found', detail)


def _operator_routes(shell, metrics):
    return {
        ('GET', '/healthz'): _operators.make_healthz(),
        ('GET', '/readyz'): _operators.make_readyz(shell),
        ('GET', '/metrics'): _operators.make_metrics(metrics),
        ('GET', '/v1/events'): _operators.make_events(shell),
        ('GET', '/v1/status'): _operators.make_status(shell),
        ('GET', '/v1/config'): _operators.make_config(shell),
        ('POST', '/v1/drain'): _drain.make_drain(shell),
    }


def _make_application(routes):
    # The library's default router is shared by all applications.
    app = Application(router=Router(), show_error_details=False)
    for (method, path), handler in routes.items():
        app.router.add(method, path, _with_error_responses(handler))
    app.router.fallback = _not_found
    return app


def create_app(shell, registry=None):
    """Return the application that serves callers and operators.

    Parameters
    ----------
    shell : azurepier.daemon.Shell
        The application uses its `node`, `ask`, `ring`, `status`,
        `config_json`, `keys` and `stop`.
    registry : prometheus_client.CollectorRegistry, optional
        Registry of the metrics that ``/metrics`` returns. Default: a new
        one.

    Returns
    -------
    blacksheep.Application
    """
    if registry is None:
        registry = prometheus_client.CollectorRegistry()
    metrics = _metrics.Metrics(registry)
    submit = _jobs.make_submit(shell, metrics)
    routes = {
        ('PUT', '/v1/jobs/:id'): submit,
        ('POST', '/v1/jobs'): submit,
        ('GET', '/v1/jobs/:id'): _jobs.make_fetch(shell),
        ('DELETE', '/v1/jobs/:id'): _jobs.make_cancel(shell),
        ('POST', '/v1/job-ids'): _jobs.make_new_ids(shell),
    }
    return _make_application(routes | _operator_routes(shell, metrics))


def create_operators_app(shell, registry):
    """Return the application of a process that accepts no jobs.

    The parameters are those of `create_app`.
    """
    metrics = _metrics.Metrics(registry)
    return _make_application(_operator_routes(shell, metrics))
