"""The callers' HTTP application."""

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
# Nobody receives this response; the server drops it.
_CALLER_GONE_STATUS = 400


def _guard(handler):
    """Return `handler` with every exception turned into a response."""

    async def guarded(request: Request) -> Response:
        try:
            return await handler(request)
        except _answers.Refusal as exc:
            if exc.refused.type == 'internal':
                _log.error(
                    '%s %s failed',
                    request.method,
                    request.path,
                    exc_info=exc.__cause__,
                )
            return _answers.to_response(exc.refused, exc.field)
        except kernel.InvalidInputError as exc:
            refusal = _answers.refuse('invalid-input', str(exc))
            return _answers.to_response(refusal.refused, exc.field)
        except (_requests.CallerGone, MessageAborted):
            return Response(_CALLER_GONE_STATUS)
        except Exception:
            _log.exception('%s %s failed', request.method, request.path)
            refusal = _answers.refuse('internal', 'the request failed')
            return _answers.to_response(refusal.refused)

    return guarded


async def _not_served(request: Request) -> Response:
    path = request.path if request.path.isprintable() else ascii(request.path)
    detail = f'{request.method} {path} is not served here'
    return _answers.problem(404, 'Not Found', detail)


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


def _application(routes):
    # An own router: the library's default one is shared by all applications.
    app = Application(router=Router(), show_error_details=False)
    for (method, path), handler in routes.items():
        app.router.add(method, path, _guard(handler))
    app.router.fallback = _not_served
    return app


def create_app(shell, registry=None):
    """Return the application that serves callers and operators.

    Parameters
    ----------
    shell : azurepier.daemon.Shell
        Its `node`, `ask`, `ring`, `status`, `config_json`, `keys` and `stop`
        are used.
    registry : prometheus_client.CollectorRegistry, optional
        Holds the metrics and is served as ``/metrics``. A new one by
        default.

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
    return _application(routes | _operator_routes(shell, metrics))


def create_operators_app(shell, registry):
    """Return the application of a process that takes no jobs.

    The parameters are those of `create_app`.
    """
    metrics = _metrics.Metrics(registry)
    return _application(_operator_routes(shell, metrics))
