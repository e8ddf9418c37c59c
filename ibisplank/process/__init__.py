"""The entry and agent daemons, and the components they are built from."""

from ibisplank.process.admission._claimrouter import ClaimRouter
from ibisplank.process.admission._permits import (
    PERMIT_LEASE_S,
    PERMIT_REQUEST_INTERVAL_S,
    Permits,
)
from ibisplank.process.admission._share import Permit, divide
from ibisplank.process.control._controlstate import ControlState
from ibisplank.process.control._membership import Membership
from ibisplank.process.control._probes import ProbeBudget, ProbeScheduler
from ibisplank.process.control._sharedsuspects import (
    ACK_TIMEOUT_S,
    SharedSuspects,
)
from ibisplank.process.daemons._agent import Agent
from ibisplank.process.daemons._clock import (
    make_member_id,
    make_token,
    read_clock,
)
from ibisplank.process.daemons._entry import Entry
from ibisplank.process.daemons._logbuffer import (
    LogBuffer,
    LogRateLimit,
    log_event,
)
from ibisplank.process.daemons._logging import (
    LogFormat,
    configure_buffered_logging,
    configure_logging,
)
from ibisplank.process.daemons._loop import run_loop
from ibisplank.process.daemons._metrics import Metrics
from ibisplank.process.daemons._peerlinks import PeerLinks
from ibisplank.process.daemons._settings import (
    DEFAULT_BODY_LIMIT,
    AgentSettings,
    EntrySettings,
    Location,
    split_address,
)
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
    'ACK_TIMEOUT_S',
    'DEFAULT_BODY_LIMIT',
    'GUARD_S',
    'PERMIT_LEASE_S',
    'PERMIT_REQUEST_INTERVAL_S',
    'Action',
    'Agent',
    'AgentSettings',
    'Assign',
    'AttemptRunner',
    'Borrower',
    'Broadcast',
    'ClaimRouter',
    'ControlState',
    'Deliver',
    'Entry',
    'EntrySettings',
    'HedgeCandidate',
    'Hedger',
    'Holder',
    'Lease',
    'Location',
    'LogBuffer',
    'LogFormat',
    'LogRateLimit',
    'Membership',
    'Metrics',
    'Outcome',
    'PeerLinks',
    'Permit',
    'Permits',
    'Policy',
    'ProbeBudget',
    'ProbeScheduler',
    'Queue',
    'QueuedCall',
    'Refuse',
    'ServerHealth',
    'Servers',
    'SharedSuspects',
    'Slot',
    'SlotDemand',
    'SlotScheduler',
    'configure_buffered_logging',
    'configure_logging',
    'divide',
    'log_event',
    'make_member_id',
    'make_token',
    'read_clock',
    'run_loop',
    'split_address',
)
