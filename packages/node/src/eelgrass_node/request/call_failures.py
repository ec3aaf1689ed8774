"""Records what the failure of a call says about its server and the path to it."""

from ..exceptions import CallFailed
from ..process.backends import Backend
from .reasons import (
    PATH_FAILURE_REASONS,
    SERVER_FAILING_REASONS,
    SUSPECT_SERVER_REASONS,
    TIMEOUT_REASONS,
    RetryReason,
)
from .serving_context import ServingContext

__all__ = ["record_failure"]


def record_failure(
    context: ServingContext, backend: Backend, failed: CallFailed
) -> None:
    """Record the failure of a call to a server."""
    reason = failed.reason
    if reason is RetryReason.BACKEND_OVERLOADED:
        context.brittle_servers.record_refusal(backend)
    if reason is RetryReason.BACKEND_REPLACED:
        context.on_server_replaced(backend)
    elif reason in SUSPECT_SERVER_REASONS:
        if not (backend.is_relayed and reason in PATH_FAILURE_REASONS):
            backend.suspect()
        if reason in SERVER_FAILING_REASONS:
            context.on_server_failing(backend)
    if reason is RetryReason.CONNECTION_SILENT:
        backend.connections.suspect_path()
        backend.connections.replace()
    if reason in TIMEOUT_REASONS and not backend.is_relayed:
        context.reachability.record_timeout(backend.entry.data_centre, backend.entry.id)
