"""What lives for a process: the daemons and the decisions they share."""

from ibisplank.process.admission._claimdesk import ClaimDesk
from ibisplank.process.admission._permits import ASK_PAUSE_S, LEASE_S, Permits
from ibisplank.process.admission._share import Permit, divide
from ibisplank.process.daemons._agent import Agent
from ibisplank.process.daemons._clock import make_member, make_token, read_clock
from ibisplank.process.daemons._entry import Entry
from ibisplank.process.daemons._lines import LineLimit, LogLines, log_event
from ibisplank.process.daemons._links import Links
from ibisplank.process.daemons._logs import (
    LogFormat,
    set_logs,
    set_structured_logs,
)
from ibisplank.process.daemons._loop import run_loop
from ibisplank.process.daemons._metrics import Metrics
from ibisplank.process.daemons._settings import (
    DEFAULT_BODY_LIMIT,
    AgentSettings,
    EntrySettings,
    Place,
    split_address,
)
from ibisplank.process.knowledge._deaths import ACK_WAIT_S, Deaths
from ibisplank.process.knowledge._known import Known
from ibisplank.process.knowledge._membership import Membership
from ibisplank.process.knowledge._probes import ProbeBudget, Probes
from ibisplank.process.placing._actions import (
    Action,
    Assign,
    Broadcast,
    Deliver,
    Lease,
    Refuse,
)
from ibisplank.process.placing._attempts import AttemptRunner
from ibisplank.process.placing._baselines import Policy
from ibisplank.process.placing._borrower import Borrower, SlotDemand
from ibisplank.process.placing._dispatch import Outcome
from ibisplank.process.placing._health import ServerHealth
from ibisplank.process.placing._hedges import HedgeCandidate, Hedger
from ibisplank.process.placing._holder import Holder, Slot
from ibisplank.process.placing._ownership import GUARD_S
from ibisplank.process.placing._queue import Queue, QueuedCall
from ibisplank.process.placing._scheduler import SlotScheduler
from ibisplank.process.placing._servers import Servers

__all__ = (
    'ACK_WAIT_S',
    'ASK_PAUSE_S',
    'DEFAULT_BODY_LIMIT',
    'GUARD_S',
    'LEASE_S',
    'Action',
    'Agent',
    'AgentSettings',
    'Assign',
    'AttemptRunner',
    'Borrower',
    'Broadcast',
    'ClaimDesk',
    'Deaths',
    'Deliver',
    'Entry',
    'EntrySettings',
    'Hedger',
    'Holder',
    'Known',
    'Lease',
    'SlotScheduler',
    'LineLimit',
    'Links',
    'LogFormat',
    'LogLines',
    'Membership',
    'Metrics',
    'SlotDemand',
    'Outcome',
    'Permit',
    'Permits',
    'Place',
    'Policy',
    'ProbeBudget',
    'Probes',
    'Queue',
    'Refuse',
    'ServerHealth',
    'Servers',
    'Slot',
    'QueuedCall',
    'HedgeCandidate',
    'divide',
    'log_event',
    'make_member',
    'make_token',
    'read_clock',
    'run_loop',
    'set_logs',
    'set_structured_logs',
    'split_address',
)
