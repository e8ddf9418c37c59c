"""Requests: parsing, claims of request ids, retries and refusals."""

from ibisplank.request._call import Call, CallHeaders, parse_call
from ibisplank.request._claim import (
    AlreadyClaimed,
    ClaimRecord,
    ClaimSink,
    ClaimState,
    ClaimWrite,
    NotOwned,
    decode_claim,
)
from ibisplank.request._claims import Claims, make_prefix
from ibisplank.request._claimwriter import ClaimWriter
from ibisplank.request._refusal import (
    refuse_busy,
    refuse_failed,
    refuse_suspect,
    refuse_unknown,
    render_refusal,
)
from ibisplank.request._retry import Failure, RetryBudget, may_retry
from ibisplank.request._suspects import (
    MAX_CRASHES,
    CallDigests,
    Suspect,
    Suspects,
    Verdict,
    choose_trial_server,
    digest_request,
)

__all__ = (
    'Call',
    'CallDigests',
    'CallHeaders',
    'ClaimRecord',
    'ClaimState',
    'ClaimSink',
    'ClaimWrite',
    'ClaimWriter',
    'Claims',
    'NotOwned',
    'decode_claim',
    'make_prefix',
    'Failure',
    'AlreadyClaimed',
    'RetryBudget',
    'MAX_CRASHES',
    'Suspect',
    'Suspects',
    'Verdict',
    'choose_trial_server',
    'digest_request',
    'may_retry',
    'parse_call',
    'refuse_busy',
    'refuse_failed',
    'refuse_suspect',
    'refuse_unknown',
    'render_refusal',
)
