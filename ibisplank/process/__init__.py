"""What lives for a process: the daemons and the decisions they share."""

from ibisplank.process._actions import (
    Action,
    Assign,
    Broadcast,
    Deliver,
    Lease,
    Refuse,
)
from ibisplank.process._agent import Agent
from ibisplank.process._attempts import Attempts
from ibisplank.process._baselines import Policy
from ibisplank.process._borrower import Borrower, Need
from ibisplank.process._claimdesk import ClaimDesk
from ibisplank.process._clock import make_member, make_token, read_clock
from ibisplank.process._deaths import ACK_WAIT_S, Deaths
from ibisplank.process._dispatch import Outcome
from ibisplank.process._entry import Entry
from ibisplank.process._hedges import Hedges, Watch
from ibisplank.process._holder import Holder, Slot
from ibisplank.process._known import Known
from ibisplank.process._ledger import Ledger
from ibisplank.process._lines import LineLimit, LogLines, log_event
from ibisplank.process._links import Links
from ibisplank.process._logs import LogFormat, set_logs, set_structured_logs
from ibisplank.process._loop import run_loop
from ibisplank.process._membership import Membership
from ibisplank.process._metrics import Metrics
from ibisplank.process._ownership import GUARD_S
from ibisplank.process._permits import ASK_PAUSE_S, LEASE_S, Permits
from ibisplank.process._probes import ProbeBudget, Probes
from ibisplank.process._queue import Queue, Want
from ibisplank.process._servers import Servers
from ibisplank.process._settings import (
    DEFAULT_BODY_LIMIT,
    AgentSettings,
    EntrySettings,
    Place,
    split_address,
)
from ibisplank.process._share import Permit, divide
from ibisplank.process._trust import ServerTrust

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
    'Attempts',
    'Borrower',
    'Broadcast',
    'ClaimDesk',
    'Deaths',
    'Deliver',
    'Entry',
    'EntrySettings',
    'Hedges',
    'Holder',
    'Known',
    'Lease',
    'Ledger',
    'LineLimit',
    'Links',
    'LogFormat',
    'LogLines',
    'Membership',
    'Metrics',
    'Need',
    'Outcome',
    'Permit',
    'Permits',
    'Place',
    'Policy',
    'ProbeBudget',
    'Probes',
    'Queue',
    'Refuse',
    'ServerTrust',
    'Servers',
    'Slot',
    'Want',
    'Watch',
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
