"""Queue order: priority, fair queueing among customers, deadline."""

from hypothesis import given
from hypothesis import strategies as st

from ibisplank.ids import CustomerId, MemberId, Priority, ServiceId, ZoneId
from ibisplank.process import Queue, QueuedCall

CUSTOMERS = ('a', 'b', 'c')
priorities = st.sampled_from((Priority.EMERGENCY, Priority.NORMAL))
arrivals = st.tuples(
    priorities,
    st.sampled_from(CUSTOMERS),
    st.floats(0.1, 9.0),
)
#: A call that arrives, or None for a slot that becomes free.
histories = st.lists(st.none() | arrivals, max_size=120)


def make_call(
    number: int,
    customer: str,
    deadline: float = 1.0,
    priority: Priority = Priority.NORMAL,
) -> QueuedCall:
    return QueuedCall(
        priority,
        deadline,
        MemberId('m'),
        number,
        ServiceId('s'),
        CustomerId(customer),
        ZoneId('z'),
    )


def serve_first(queue: Queue) -> QueuedCall:
    """Remove and return the call that is granted the next slot."""
    first = next(iter(queue))
    queue.serve(first)
    return first


@given(histories)
def test_waiting_customer_sees_at_most_two_grants_of_any_other(
    history: list[tuple[Priority, str, float] | None],
) -> None:
    queue = Queue()
    grants_seen: dict[tuple[Priority, CustomerId], list[CustomerId]] = {}
    for number, event in enumerate(history):
        if event is not None:
            priority, customer, deadline = event
            queued = make_call(number, customer, deadline, priority)
            queue.add(queued)
            grants_seen.setdefault(queued.flow, [])
            continue
        if not queue:
            continue
        waiting = {queued.flow for queued in queue}
        served = serve_first(queue)
        assert served.priority == min(flow[0] for flow in waiting)
        grants_seen[served.flow] = []
        for flow in waiting - {served.flow}:
            if flow[0] == served.priority:
                grants_seen[flow].append(served.customer)
                assert grants_seen[flow].count(served.customer) <= 2
        for flow in set(grants_seen) - {queued.flow for queued in queue}:
            grants_seen.pop(flow)


@given(st.lists(arrivals, max_size=40))
def test_each_call_is_served_once_and_by_deadline_within_a_customer(
    calls: list[tuple[Priority, str, float]],
) -> None:
    queue = Queue()
    for number, (priority, customer, deadline) in enumerate(calls):
        queued = make_call(number, customer, deadline, priority)
        queue.add(queued)
        queue.add(queued)
    assert len(queue) == len(calls)
    served = [serve_first(queue) for _ in calls]
    assert not queue
    assert sorted(queued.call for queued in served) == list(range(len(calls)))
    for customer in CUSTOMERS:
        mine = [queued for queued in served if queued.customer == customer]
        assert mine == sorted(mine)


def test_idle_customer_saves_up_no_credit() -> None:
    queue = Queue()
    for number in range(20):
        queue.add(make_call(number, 'a'))
    for _ in range(10):
        serve_first(queue)
    for number in range(20, 30):
        queue.add(make_call(number, 'b', 9.0))
    served = [serve_first(queue).customer for _ in range(8)]
    assert served.count(CustomerId('a')) == 4


def test_expired_and_withdrawn_calls_are_removed() -> None:
    queue = Queue()
    queue.add(make_call(1, 'a', 1.0))
    queue.add(make_call(2, 'a', 3.0))
    queue.add(make_call(3, 'b', 3.0))
    queue.drop_expired(2.0)
    queue.drop(MemberId('m'), 3)
    queue.drop(MemberId('other'), 2)
    assert [queued.call for queued in queue] == [2]
