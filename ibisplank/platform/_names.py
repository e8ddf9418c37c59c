"""Names of the platform's tables, row keys, URL paths and headers."""

from ibisplank.gateway import HeaderNames

#: Table written by the operator, and table written by the backend servers.
OPERATOR_TABLE = 'op'
SERVER_TABLE = 'servers'
#: Table in which gateways register their addresses for one another.
MEMBER_TABLE = 'ibisplank-members'
LIST_PATH = '/rows-get'
FEED_PATH = '/rows-feed'
WRITE_PATH = '/rows-tx'
ERA_HEADER = b'store-era'
CONFIG_KEY = 'config'
EVACUATE_PREFIX = 'evacuate/'
SETTINGS_VARIABLE = 'IBISPLANK_BOOT'

HEADER_NAMES = HeaderNames(
    request_id=b'x-request-id',
    deadline_ms=b'x-request-deadline',
    target_server=b'x-target-instance',
    signature=b'x-response-signature',
    not_run=b'x-not-executed',
    server_load=b'x-upstream-load',
    rate_limit=b'server-limit',
    warmup_left=b'x-warmup-remaining',
    server_id=b'x-upstream-id',
    leaving=b'server-leaving',
    retry_after=b'retry-after',
)
