"""Convert refusals to HTTP error responses and error events."""

from typing import Any

import msgspec
from baobabwharf_core.refusals import Executed, Refusal

from baobabwharf_daemon.metrics import REFUSALS

_MS_PER_S = 1000
_TYPES = {
    401: 'authentication_error',
    403: 'permission_error',
    404: 'not_found_error',
    409: 'conflict_error',
    429: 'rate_limit_error',
}
_SERVER_ERROR_STATUS = 500


def count_refusal(refusal: Refusal) -> None:
    """Increment the refusal counter of the reason."""
    REFUSALS.inc({'reason': refusal.code.value})


def error_object(refusal: Refusal, request_id: str) -> dict[str, Any]:
    """Return an error object as defined by the OpenAI API."""
    message = refusal.sentence
    if refusal.detail:
        message = f'{message} {refusal.detail}'
    return {
        'error': {
            'message': message,
            'type': _error_type(refusal.status),
            'param': None,
            'code': refusal.code.value,
            'executed': refusal.executed.value,
            'request_id': request_id,
        }
    }


def error_body(refusal: Refusal, request_id: str) -> bytes:
    """Return the JSON body of a refusal."""
    return msgspec.json.encode(error_object(refusal, request_id))


def error_event(refusal: Refusal, request_id: str) -> bytes:
    """Return the SSE event that ends a failed stream instead of [DONE]."""
    return b'event: error\ndata: %b\n\n' % error_body(refusal, request_id)


def error_headers(refusal: Refusal, request_id: str) -> dict[str, str]:
    """Return the headers of a refusal."""
    headers = {
        'X-Request-Id': request_id,
        'X-Executed': refusal.executed.value,
    }
    if refusal.executed is Executed.UNKNOWN:
        # The openai client retries 409 and 5xx unless this header forbids it.
        headers['X-Should-Retry'] = 'false'
    wait_ms = refusal.retry_after_ms
    if wait_ms is not None:
        headers['Retry-After'] = str(-(-wait_ms // _MS_PER_S))
        headers['Retry-After-Ms'] = str(wait_ms)
    return headers


def _error_type(status: int) -> str:
    if status >= _SERVER_ERROR_STATUS:
        return 'server_error'
    return _TYPES.get(status, 'invalid_request_error')
