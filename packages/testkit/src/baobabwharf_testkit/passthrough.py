"""Forward requests unchanged with sanic and aiohttp: the gateway's baseline."""

import argparse
import asyncio
import itertools
import logging
import signal
import sys

import aiohttp
import uvloop
from sanic import Request, Sanic

from baobabwharf_testkit.ports import free_port

_HOST = '127.0.0.1'
_PATH = '/v1/chat/completions'


class PassThroughProxy:
    """Forward each request to the next of the targets."""

    def __init__(self, targets: list[str]) -> None:
        self._targets = itertools.cycle(targets)
        self._session: aiohttp.ClientSession | None = None

    async def serve(self, port: int) -> None:
        """Serve until SIGTERM."""
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
        app = Sanic('passthrough', configure_logging=False)
        app.config.ACCESS_LOG = False
        app.add_route(self._relay, _PATH, methods=['POST'])
        app.add_route(self._health, '/health')
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(connector=connector)
        server = await app.create_server(
            host=_HOST, port=port, return_asyncio_server=True
        )
        assert server is not None
        await server.startup()
        await server.before_start()
        await server.after_start()
        await stopping.wait()
        await server.close()
        await self._session.close()

    async def _relay(self, request: Request) -> None:
        assert self._session is not None
        async with self._session.post(
            next(self._targets) + _PATH,
            data=request.body,
            headers={'Content-Type': 'application/json'},
        ) as upstream:
            response = await request.respond(
                status=upstream.status, content_type=upstream.content_type
            )
            assert response is not None
            async for chunk in upstream.content.iter_any():
                await response.send(chunk)
            await response.eof()

    async def _health(self, request: Request) -> None:
        response = await request.respond(status=200)
        assert response is not None
        await response.eof()


def main() -> int:
    """Print the URL and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('targets', nargs='+', metavar='URL')
    options = parser.parse_args()
    port = options.port or free_port()
    print(f'http://{_HOST}:{port}', flush=True)
    logging.basicConfig(level=logging.WARNING)
    uvloop.run(PassThroughProxy(options.targets).serve(port))
    return 0


if __name__ == '__main__':
    sys.exit(main())
