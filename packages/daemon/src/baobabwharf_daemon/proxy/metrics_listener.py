"""Serve the metrics of this VM on a separate port."""

from sanic import HTTPResponse, Request

from baobabwharf_daemon.gateway.http_server import HttpServer, create_app
from baobabwharf_daemon.metrics import render_metrics


def metrics_server(host: str, port: int) -> HttpServer:
    """Return a server for GET /metrics."""
    app = create_app('metrics')
    app.add_route(_metrics, '/metrics', methods=('GET',))
    return HttpServer(app, host, port, None)


async def _metrics(request: Request) -> HTTPResponse:
    content, headers = render_metrics(request.headers.get('accept', ''))
    return HTTPResponse(content, headers=headers)
