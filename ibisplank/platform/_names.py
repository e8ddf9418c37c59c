"""Names of the platform's tables, rows and headers."""

from ibisplank.gateway import HeaderNames

#: Tables that the operator and the backend servers write.
OPERATOR_TABLE = 'op'
SERVER_TABLE = 'servers'
#: The gateways' own table of their addresses.
MEMBER_TABLE = 'ibisplank-members'
LIST_PATH = '/rows-get'
FEED_PATH = '/rows-feed'
WRITE_PATH = '/rows-tx'
CONFIG_KEY = 'config'
EVACUATE_PREFIX = 'evacuate/'
SETTINGS_VARIABLE = 'IBISPLANK_BOOT'

DIALECT = HeaderNames(
    request_id=b'x-request-id',
    deadline_ms=b'x-request-deadline',
    target_server=b'x-target-instance',
    signature=b'x-response-signature',
    not_run=b'x-not-executed',
    server_load=b'x-upstream-load',
    warmup_left=b'x-warmup-remaining',
    server_id=b'x-upstream-id',
)
