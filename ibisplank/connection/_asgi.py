"""HTTP servers with `uvicorn`, and helpers for ASGI applications."""

import contextlib
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterator,
    MutableMapping,
)
from typing import Any

import uvicorn

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]


class HttpServer(uvicorn.Server):
    """HTTP server that leaves signal handling to the process that runs it."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def make_server(app: App, host: str, port: int, **options: Any) -> HttpServer:
    """Return an HTTP server for an application, not yet started."""
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        log_config=None,
        access_log=False,
        lifespan='off',
        interface='asgi3',
        server_header=False,
        date_header=False,
        proxy_headers=False,
        **options,
    )
    return HttpServer(config)


async def receive_parts(receive: Receive) -> AsyncIterator[bytes]:
    """Yield the parts of the request body as they arrive.

    Raises
    ------
    ConnectionResetError
        The client disconnected before the body was complete.
    """
    more = True
    while more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise ConnectionResetError
        yield message.get('body', b'')
        more = message.get('more_body', False)


async def read_body(receive: Receive, limit: int | None = None) -> bytes | None:
    """Return the request body, or None if it exceeds the limit.

    Raises
    ------
    ConnectionResetError
        The client disconnected before the body was complete.
    """
    parts = []
    size = 0
    async for part in receive_parts(receive):
        size += len(part)
        if limit is not None and size > limit:
            return None
        parts.append(part)
    return b''.join(parts)


async def send_answer(
    send: Send,
    status: int,
    body: bytes,
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> None:
    """Send a complete HTTP response."""
    length = (b'content-length', str(len(body)).encode())
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [length, *headers],
        },
    )
    await send({'type': 'http.response.body', 'body': body})


async def send_torn_answer(send: Send) -> None:
    """Send the start of a response, then close the connection.

    Raises
    ------
    ConnectionResetError
        Always; makes the server close the connection.
    """
    head = {
        'type': 'http.response.start',
        'status': 200,
        'headers': [(b'content-length', b'2')],
    }
    await send(head)
    await send(
        {'type': 'http.response.body', 'body': b'{', 'more_body': True},
    )
    raise ConnectionResetError


def find_transport(send: Send) -> Any:
    """Return the transport of the connection of a request.

    ASGI offers no way to do this, so it is taken from the object of `uvicorn`
    that `send` belongs to.
    """
    cycle: Any = getattr(send, '__self__')  # noqa: B009
    return cycle.transport


def abort_connection(send: Send) -> None:
    """Reset the connection of a request without an answer."""
    find_transport(send).abort()
