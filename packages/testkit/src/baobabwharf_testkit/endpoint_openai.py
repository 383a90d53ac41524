"""Serve the OpenAI interface of a simulated engine."""

import asyncio
import json
import os
from typing import Any

import msgspec
from aiohttp import web
from baobabwharf_core.announcements import (
    EXECUTED_HEADER,
    PRIORITY_HEADER,
    REQUEST_ID_HEADER,
    RESUME_HEADER,
)

from baobabwharf_testkit.endpoint_engine import Engine, Generation
from baobabwharf_testkit.endpoint_model import EndpointSettings, Faults
from baobabwharf_testkit.expected_responses import (
    output_tokens,
    prompt_text,
    prompt_tokens,
)

_CROSSED = 'crossed-answer'
_EXIT_CODE = 70
_MS_PER_S = 1000
_DONE = b'data: [DONE]\n\n'


class Call(msgspec.Struct):
    """Hold a parsed request and how its response is written."""

    chat: bool
    body: dict[str, Any]
    generation: Generation
    response_id: str
    streaming: bool
    break_after: int

    @property
    def model(self) -> str:
        """Return the requested model."""
        return str(self.body.get('model', ''))

    @property
    def prompt_tokens(self) -> int:
        """Return the number of tokens of the prompt."""
        return prompt_tokens(self.generation.prompt)

    def envelope(self, kind: str) -> dict[str, Any]:
        """Return the fields that all objects of a response share."""
        return {
            'id': f'cmpl-{self.response_id}',
            'object': kind,
            'created': 0,
            'model': self.model,
        }

    def usage(self, completion: int) -> dict[str, int]:
        """Return the usage object."""
        return {
            'prompt_tokens': self.prompt_tokens,
            'completion_tokens': completion,
            'total_tokens': self.prompt_tokens + completion,
        }


class OpenAi:
    """Serve chat and text completions."""

    def __init__(
        self, settings: EndpointSettings, engine: Engine, faults: Faults
    ) -> None:
        self._settings = settings
        self._engine = engine
        self._faults = faults

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the OpenAI interface."""
        return [
            web.post('/v1/chat/completions', self._chat),
            web.post('/v1/completions', self._text),
            web.get('/v1/models', self._models),
        ]

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        return await self._respond(request, chat=True)

    async def _text(self, request: web.Request) -> web.StreamResponse:
        return await self._respond(request, chat=False)

    async def _models(self, request: web.Request) -> web.StreamResponse:
        names = self._settings.models
        listed = [{'id': name, 'object': 'model'} for name in names]
        return web.json_response({'object': 'list', 'data': listed})

    async def _respond(
        self, request: web.Request, chat: bool
    ) -> web.StreamResponse:
        if self._faults.consume('refuse_next'):
            return refusal_response(request)
        body = await request.json()
        if body.get('model') not in self._settings.models:
            return _error(request, 404, 'The model is not loaded.')
        call = self._parse(request, body, chat)
        if self._faults.consume('fail_next'):
            return _error(request, 500, 'The engine failed.')
        if self._faults.consume('late_next'):
            await asyncio.sleep(self._faults.late_ms / _MS_PER_S)
        if call.streaming:
            return await self._stream(request, call)
        return await self._respond_without_streaming(request, call)

    def _parse(
        self, request: web.Request, body: dict[str, Any], chat: bool
    ) -> Call:
        headers = request.headers
        response_id = headers.get(REQUEST_ID_HEADER, '')
        prompt = prompt_text(body)
        if self._faults.consume('cross_next'):
            response_id = _CROSSED
            prompt = f'{_CROSSED} {prompt}'
        broken = self._faults.consume('break_next')
        return Call(
            chat=chat,
            body=body,
            generation=Generation(
                request_id=headers.get(REQUEST_ID_HEADER, ''),
                prompt=prompt,
                token_count=output_tokens(body),
                start_index=int(headers.get(RESUME_HEADER, '0')),
                priority=int(headers.get(PRIORITY_HEADER, '0')),
            ),
            response_id=response_id,
            streaming=bool(body.get('stream')),
            break_after=self._faults.break_after_tokens if broken else -1,
        )

    async def _respond_without_streaming(
        self, request: web.Request, call: Call
    ) -> web.StreamResponse:
        parts = []
        async for token in self._engine.tokens(call.generation):
            parts.append(token)
            self._exit_if_requested(len(parts))
        if call.generation.cancelled:
            return _error(request, 503, 'The request was cancelled.')
        text = ''.join(parts)
        choice: dict[str, Any] = {'index': 0, 'finish_reason': 'length'}
        if call.chat:
            choice['message'] = {'role': 'assistant', 'content': text}
            response = call.envelope('chat.completion')
        else:
            choice['text'] = text
            response = call.envelope('text_completion')
        response['choices'] = [choice]
        response['usage'] = call.usage(call.generation.token_count)
        return web.json_response(
            response, headers={REQUEST_ID_HEADER: call.response_id}
        )

    async def _stream(
        self, request: web.Request, call: Call
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                'Cache-Control': 'no-cache',
                REQUEST_ID_HEADER: call.response_id,
            }
        )
        await response.prepare(request)
        complete = await self._write_tokens(request, response, call)
        if not complete:
            _abort_connection(request)
            return response
        await response.write(_final_events(call))
        await response.write_eof()
        return response

    async def _write_tokens(
        self, request: web.Request, response: web.StreamResponse, call: Call
    ) -> bool:
        template = _chunk_template(call)
        written = 0
        async for token in self._engine.tokens(call.generation):
            if written == call.break_after:
                return False
            await response.write(template.replace(b'TOKEN', token.encode()))
            written += 1
            self._exit_if_requested(written)
        return not call.generation.cancelled

    def _exit_if_requested(self, written: int) -> None:
        limit = self._faults.exit_after_tokens
        if limit and written >= limit:
            os._exit(_EXIT_CODE)


def refusal_response(request: web.Request) -> web.Response:
    """Return a refusal that says that the call did not run."""
    response = _error(request, 503, 'The endpoint takes no work now.')
    response.headers[EXECUTED_HEADER] = 'no'
    return response


def _error(request: web.Request, status: int, sentence: str) -> web.Response:
    request_id = request.headers.get(REQUEST_ID_HEADER, '')
    return web.json_response(
        {'error': {'message': sentence, 'type': 'endpoint_error'}},
        status=status,
        headers={REQUEST_ID_HEADER: request_id},
    )


def _abort_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


def _event(payload: dict[str, Any]) -> bytes:
    return b'data: ' + json.dumps(payload).encode() + b'\n\n'


def _chunk_template(call: Call) -> bytes:
    return _event(_chunk(call, 'TOKEN', None))


def _chunk(call: Call, token: str, finish: str | None) -> dict[str, Any]:
    choice: dict[str, Any] = {'index': 0, 'finish_reason': finish}
    if call.chat:
        choice['delta'] = {'content': token} if token else {}
        chunk = call.envelope('chat.completion.chunk')
    else:
        choice['text'] = token
        chunk = call.envelope('text_completion')
    chunk['choices'] = [choice]
    return chunk


def _final_events(call: Call) -> bytes:
    final_events = _event(_chunk(call, '', 'length'))
    options = call.body.get('stream_options') or {}
    if options.get('include_usage'):
        chunk = _chunk(call, '', None)
        chunk['choices'] = []
        chunk['usage'] = call.usage(call.generation.token_count)
        final_events += _event(chunk)
    return final_events + _DONE
