"""Memory that the incomplete answers of backend servers share."""

import contextlib
import sys
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field


def _ignore() -> None:
    """Do nothing; the default of an answer that is not accounted for."""


@dataclass(slots=True, eq=False)
class HeldAnswer:
    """Bytes of one answer that is being received.

    Attributes
    ----------
    server : str
        Address of the server that sends it.
    on_cut : callable
        Called if the answer is cut.
    """

    server: str
    on_cut: Callable[[], None] = _ignore
    size: int = 0


@dataclass(slots=True)
class AnswerMemory:
    """Bytes that the incomplete answers of all servers may take together.

    Load pattern: a server sends bytes that are no answer, without end, to many
    calls at once, fast or slowly. Each answer is within its own limit, but all
    of them are not within the memory of the process. Once too much is held,
    the largest answer of the server that holds most is cut. Waiting for room
    would be no remedy, as the answers that hold it may never end. A sound
    server loses an answer only if it holds more than each other server.

    Attributes
    ----------
    held : int
        Bytes held now.
    cuts : int
        Answers that were cut so far.

    Examples
    --------
    >>> memory = AnswerMemory(limit=10)
    >>> with memory.hold('a') as first, memory.hold('b') as second:
    ...     memory.add(first, 8)
    ...     memory.add(second, 4)
    ...     memory.held, memory.cuts
    (4, 1)
    """

    limit: int = sys.maxsize
    held: int = 0
    cuts: int = 0
    _answers: set[HeldAnswer] = field(default_factory=set)

    @contextlib.contextmanager
    def hold(
        self, server: str, on_cut: Callable[[], None] = _ignore
    ) -> Iterator[HeldAnswer]:
        """Account for an answer until it is complete or was given up."""
        answer = HeldAnswer(server, on_cut)
        self._answers.add(answer)
        try:
            yield answer
        finally:
            self._release(answer)

    def add(self, answer: HeldAnswer, size: int) -> None:
        """Record that more of an answer was received."""
        if answer not in self._answers:
            return
        answer.size += size
        self.held += size
        while self.held > self.limit:
            self._cut()

    def _cut(self) -> None:
        totals: Counter[str] = Counter()
        for each in self._answers:
            totals[each.server] += each.size
        server, _ = totals.most_common(1)[0]
        largest = max(
            (each for each in self._answers if each.server == server),
            key=_get_size,
        )
        largest.on_cut()
        self._release(largest)
        self.cuts += 1

    def _release(self, answer: HeldAnswer) -> None:
        if answer in self._answers:
            self._answers.remove(answer)
            self.held -= answer.size


def _get_size(answer: HeldAnswer) -> int:
    return answer.size
