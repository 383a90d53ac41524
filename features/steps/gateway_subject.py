"""Run one or two gateway VMs with fakes on one event loop."""

import asyncio
import json

import aiohttp
import uvloop
from baobabwharf_core.requests import EndpointChoice
from baobabwharf_daemon.forwarding import watchdog
from gateway_fakes import KEY, FakeEndpoint, FakeVm, free_ports

BEARER = {'Authorization': f'Bearer {KEY}'}
CHAT = '/v1/chat/completions'
# Upper limit of waits for events that must happen; not a performance limit.
WAIT_TIMEOUT_S = 10


class GatewaySubject:
    def __init__(self, folder):
        self.folder = folder
        self.runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        self.endpoints = []
        self.vms = []
        self.status = None
        self.text = ''
        watchdog.STREAM_IDLE_TIMEOUT_S = 0.3

    def run(self, work):
        async def bounded():
            return await asyncio.wait_for(work, 2 * WAIT_TIMEOUT_S)

        return self.runner.run(bounded())

    @property
    def vm(self):
        return self.vms[0]

    @property
    def endpoint(self):
        return self.endpoints[0]

    async def start(self, names, count=1, **settings):
        regions = ('tunis-a', 'sfax-a')
        choices = [
            await self._start_endpoint(number, name)
            for number, name in enumerate(names.split(', '))
        ]
        for number in range(count):
            vm = FakeVm(
                self.folder, f'vm{number + 1}', regions[number], **settings
            )
            vm.router.endpoints = choices
            self.vms.append(vm)
            await vm.gateway.start()
        if count > 1:
            self.vm.router.remote = self.vms[1].forward
        self.session = aiohttp.ClientSession()

    async def _start_endpoint(self, number, name):
        endpoint = FakeEndpoint(f'e{number}', fault=name)
        if name == 'down':
            url = f'http://127.0.0.1:{free_ports(1)[0]}'
            return EndpointChoice(endpoint.name, url, True, True, True, '')
        if name == 'slow':
            endpoint.delay_s = 0.05
        if name == 'late':
            endpoint.delay_s = 0.5
        endpoint.resume = name != 'noresume'
        self.endpoints.append(endpoint)
        return await endpoint.start()

    def close(self):
        self.run(self._close())
        self.runner.close()

    async def _close(self):
        await self.session.close()
        for vm in self.vms:
            await vm.gateway.stop()
        for endpoint in self.endpoints:
            await endpoint.stop()

    async def send(self, method, path, vm=None, **options):
        options.setdefault('headers', BEARER)
        url = path if '://' in path else (vm or self.vm).caller + path
        async with self.session.request(method, url, **options) as answer:
            self.status = answer.status
            self.headers = answer.headers
            self.text = await answer.text()
            return answer.status

    @staticmethod
    def body(kind='stream', tokens=6, **fields):
        return {
            'model': 'rota-1',
            'messages': [{'role': 'user', 'content': 'Plan the night shift'}],
            'stream': kind == 'stream',
            'max_tokens': tokens,
            **fields,
        }

    async def chat(self, kind, tokens=6, **options):
        body = self.body(kind, tokens)
        return await self.send('POST', CHAT, json=body, **options)

    def answer(self):
        """Return the text of the response; a stream must end with [DONE]."""
        if not self.text.startswith('data:'):
            return json.loads(self.text)['choices'][0]['message']['content']
        events = self.text.strip().split('\n\n')
        assert events.pop() == 'data: [DONE]', self.text
        chunks = [json.loads(event.removeprefix('data: ')) for event in events]
        assert len({chunk['id'] for chunk in chunks}) == 1, self.text
        return ''.join(c['choices'][0]['delta']['content'] for c in chunks)

    def error(self):
        """Return the error object of a refusal or of a failed stream."""
        assert '[DONE]' not in self.text, self.text
        last = self.text.strip().split('\n\n')[-1]
        return json.loads(last.rpartition('data: ')[2])['error']

    async def wait_until(self, condition):
        for _ in range(WAIT_TIMEOUT_S * 100):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError('timed out waiting for a condition')

    async def send_raw(self, content, hold_s=0.0):
        """Send bytes over a plain connection and return the response."""
        port = self.vm.settings.listen.caller_port
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(content)
        await asyncio.sleep(hold_s)
        writer.write_eof()
        answer = await reader.read()
        writer.close()
        return answer
