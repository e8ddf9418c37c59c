"""Tests of the faults of the stand-in backend server."""

import random

import anyio
import pytest

from ibisplank.connection import Scope
from ibisplank.standin import BackendStandin
from ibisplank.standin._backend import KEEP_ALIVE_S

CLIENT = ('127.0.0.1', 40000)


class ResponseRecorder:
    """Records the status of each response that an application sends."""

    def __init__(self) -> None:
        self.statuses: list[int] = []

    async def receive(self) -> dict[str, object]:
        return {'type': 'http.request', 'body': b'', 'more_body': False}

    async def send(self, message: dict[str, object]) -> None:
        if message['type'] == 'http.response.start':
            self.statuses.append(int(str(message['status'])))


def make_scope(path: str) -> Scope:
    return {
        'type': 'http',
        'path': path,
        'method': 'GET',
        'headers': [],
        'client': CLIENT,
    }


async def is_served(backend: BackendStandin, path: str = '/x') -> bool:
    recorder = ResponseRecorder()
    with anyio.move_on_after(0.2):
        await backend(make_scope(path), recorder.receive, recorder.send)
    return bool(recorder.statuses)


@pytest.mark.parametrize(
    ('idle_s', 'served'),
    [(0.0, False), (KEEP_ALIVE_S - 1, False), (KEEP_ALIVE_S + 1, True)],
)
def test_silence_ends_with_the_connection(
    monkeypatch: pytest.MonkeyPatch,
    idle_s: float,
    served: bool,
) -> None:
    """Silence applies to open connections, not to their client ports.

    After `KEEP_ALIVE_S` without a request the server has closed the
    connection, and the same client port belongs to a new one.
    """
    now = [100.0]
    monkeypatch.setattr(
        'ibisplank.standin._backend.anyio.current_time',
        lambda: now[0],
    )

    async def run() -> bool:
        backend = BackendStandin(2, random.Random(1), lambda: None)
        backend.faults.service_ms = 0.0
        assert await is_served(backend)
        assert await is_served(backend, '/standin/silence')
        now[0] += idle_s
        return await is_served(backend)

    assert anyio.run(run) is served
