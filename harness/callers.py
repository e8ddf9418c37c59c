"""Callers of a soak, who note what they sent and what they got."""

import random
from dataclasses import dataclass

import anyio
import httpcore

from harness.member import Member
from harness.promises import Got, Promises, Sent
from harness.routes import HOST
from ibisplank.platform import HEADER_NAMES

DEADLINE_MS = 1000
#: A caller gives up after this time.
PATIENCE_S = 3.0


@dataclass
class Callers:
    """Calls to any of the gateways.

    Attributes
    ----------
    calling : bool
        Whether callers go on.
    """

    members: list[Member]
    promises: Promises
    luck: random.Random
    calling: bool = True
    _calls: int = 0

    async def call_on(self) -> None:
        """Call until told otherwise, on connections that are kept open."""
        async with httpcore.AsyncConnectionPool() as pool:
            while self.calling:
                await self.call(pool, self.luck.choice(self.members))
                await anyio.sleep(self.luck.uniform(0, 0.05))

    async def call(
        self,
        pool: httpcore.AsyncConnectionPool,
        member: Member,
    ) -> int:
        """Send one call; return its status, 0 where none came."""
        self._calls += 1
        name = f'c{self._calls}'
        once = self.luck.random() < 0.5
        body = name.encode() if once else b''
        path = f'/once/{name}' if once else f'/a/{name}'
        self.promises.sent[name] = Sent(path, once, body)
        headers = [
            (b'host', HOST.encode()),
            (HEADER_NAMES.request_id, name.encode()),
            (HEADER_NAMES.deadline_ms, str(DEADLINE_MS).encode()),
        ]
        try:
            with anyio.fail_after(PATIENCE_S):
                answer = await pool.request(
                    'POST' if once else 'GET',
                    f'http://{member.settings.callers}{path}',
                    headers=headers,
                    content=body or None,
                )
        except (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError):
            return 0
        fields = {key.lower(): text for key, text in answer.headers}
        self.promises.got[name] = Got(
            answer.status,
            fields.get(HEADER_NAMES.request_id.lower(), b'').decode(),
            HEADER_NAMES.signature.lower() in fields,
            answer.content,
        )
        return answer.status
