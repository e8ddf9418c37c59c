"""Event loop and garbage collection settings of the daemons."""

import gc
import os
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

#: Allocations between two collections of the youngest generation.
GC_ALLOCATIONS = 20000
#: Collections of a generation between two of the next older one.
GC_COLLECTIONS = 20
Result = TypeVar('Result')


def run_loop(
    main: Callable[..., Awaitable[Result]],
    *arguments: object,
) -> Result:
    """Run a coroutine function to completion on `uvloop` without io_uring.

    Objects that exist already are excluded from garbage collection, because
    its pauses add to the tail latency of calls.
    """
    os.environ['UV_USE_IO_URING'] = '0'
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_ALLOCATIONS, GC_COLLECTIONS, GC_COLLECTIONS)
    return anyio.run(
        main,
        *arguments,
        backend_options={'use_uvloop': True},
    )
