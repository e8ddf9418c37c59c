"""Ignores SIGHUP, the signal to reload, while a program starts.

By default SIGHUP would end the process. Ignoring it loses no change, because
the program reads its settings after this module is imported.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
