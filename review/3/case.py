"""One wrong byte in the load header of a health answer ends the gateway."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    Deployment,
    Outcome,
    Record,
    Request,
    Route,
    Trouble,
    Upstream,
    find_broken,
    is_troubled,
    main,
    render,
    sending,
)

READ = Route('reads', timeout_s=1.0, aim_s=0.3)
SECONDS = 30.0
#: Every 50th health answer is spoiled, as the bench's `garble` spoils 0.02.
SPOILED_EVERY = 50


def make_spoiler(record: Record) -> Trouble:
    """Return what spoils one byte of each 50th health answer."""
    answers = 0

    async def spoil(
        upstream: Upstream,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        nonlocal answers
        if request.id:
            return False
        answers += 1
        if answers % SPOILED_EVERY:
            return False
        # The third comma of `0,0,3,100` arrives as another byte.
        load = 'e'.join(upstream.load().rsplit(',', 1))
        record.write(f'{upstream.name} answers a probe with the load {load}')
        headers = {'X-Upstream-Id': upstream.name, 'X-Upstream-Load': load}
        writer.write(render(200, b'', headers))
        await writer.drain()
        return True

    return spoil


async def run(record: Record) -> bool:
    """Return whether requests on kept connections were lost."""
    deployment = Deployment(record, [READ], ('z1', 'z2'))
    for zone in ('z1', 'z2'):
        for _ in range(2):
            await deployment.add_upstream('reads', zone, work_s=0.2, slots=12)
        deployment.add_machine(zone)
    outcomes: list[Outcome] = []
    try:
        await deployment.start()
        if is_troubled():
            for upstream in deployment.upstreams[::2]:
                upstream.trouble = make_spoiler(record)
        first, second = deployment.machines
        with (
            sending(first, READ, outcomes, requesters=24, pause_s=0.1),
            sending(second, READ, outcomes, requesters=24, pause_s=0.1),
        ):
            await asyncio.sleep(SECONDS)
    finally:
        await deployment.stop()
    sound = {
        request_id
        for upstream in deployment.upstreams[1::2]
        for request_id in upstream.ran
    }
    lost = [
        each.id
        for each in outcomes
        if each.ending == 'closed' and each.id in sound
    ]
    return bool(find_broken(deployment, deployment.machines, lost))


if __name__ == '__main__':
    sys.exit(main(run, FOLDER))
