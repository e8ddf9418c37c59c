"""A gateway ends when one that has handed calls over to it is killed."""

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    Deployment,
    Outcome,
    Record,
    Route,
    find_broken,
    is_troubled,
    main,
    sending,
)

QUICK = Route('quick', timeout_s=1.0, aim_s=0.3)
SLOW = Route('slow', timeout_s=2.0, aim_s=0.8)
CYCLES = 18
CUT_OFF = 6
SOUND = 2


async def run(record: Record) -> bool:
    """Return whether a rule was broken at the machines that stay sound."""
    deployment = Deployment(record, [QUICK, SLOW], ('z1', 'z2'))
    for _ in range(6):
        await deployment.add_upstream('quick', 'z2', work_s=0.03, slots=6)
        await deployment.add_upstream('slow', 'z2', work_s=0.3)
    cut_off = [deployment.add_machine('z1') for _ in range(CUT_OFF)]
    sound = [deployment.add_machine('z2') for _ in range(SOUND)]
    outcomes: list[Outcome] = []
    others: list[Outcome] = []
    try:
        await deployment.start()
        with contextlib.ExitStack() as stack:
            for machine in sound:
                stack.enter_context(
                    sending(
                        *(machine, SLOW, outcomes),
                        requesters=8,
                        pause_s=0.1,
                        limit_s=2.0,
                    )
                )
            for machine in cut_off:
                stack.enter_context(
                    sending(machine, QUICK, others, requesters=12, pause_s=0.1)
                )
            for _ in range(CYCLES):
                await asyncio.sleep(1.8)
                if not is_troubled():
                    await asyncio.sleep(3.2)
                    continue
                deployment.cut(cut_off)
                await asyncio.sleep(2.9)
                for machine in cut_off:
                    machine.send(signal.SIGKILL)
                await asyncio.sleep(0.2)
                deployment.cut([])
    finally:
        await deployment.stop()
    ran = {each for server in deployment.upstreams for each in server.ran}
    lost = [
        each.id
        for each in outcomes
        if each.ending == 'closed' and each.id in ran
    ]
    served = sum(each.status == 200 for each in others)
    record.write(f'{served} of {len(others)} served at the machines cut off')
    return bool(find_broken(deployment, sound, lost))


if __name__ == '__main__':
    sys.exit(main(run, FOLDER))
