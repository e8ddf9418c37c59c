"""Requests for tokens end in time, and replies belong to one request."""

import anyio

from ibisplank.connection import TokenReply, TokenRequest
from ibisplank.gateway._tokens import (
    REPLY_TIMEOUT_S,
    SILENCE_RETRY_S,
    TokenClient,
)
from ibisplank.ids import MemberId, ServerId

GRANTER = MemberId('granter')
SERVER = ServerId('s')


def test_reply_belongs_to_the_request_with_its_number() -> None:
    async def scenario() -> None:
        sent: list[TokenRequest] = []
        client = TokenClient(lambda _, message: sent.append(message))
        waits: dict[str, float] = {}

        async def request(name: str) -> None:
            waits[name] = await client.request(GRANTER, SERVER)

        async with anyio.create_task_group() as group:
            group.start_soon(request, 'first')
            group.start_soon(request, 'second')
            await anyio.sleep(0)
            client.record_reply(TokenReply(sent[1].number, 0.0))
            client.record_reply(TokenReply(sent[0].number, 0.7))
        assert waits == {'first': 0.7, 'second': 0.0}

    anyio.run(scenario)


def test_token_that_arrives_late_is_not_used() -> None:
    async def scenario() -> None:
        sent: list[TokenRequest] = []
        client = TokenClient(lambda _, message: sent.append(message))
        started_at = anyio.current_time()
        assert await client.request(GRANTER, SERVER) == SILENCE_RETRY_S
        assert anyio.current_time() - started_at < 4 * REPLY_TIMEOUT_S
        client.record_reply(TokenReply(sent[0].number, 0.0))
        assert await client.request(GRANTER, SERVER) == SILENCE_RETRY_S

    anyio.run(scenario)
