"""Threads that repeat a step until the process ends."""

import logging
import threading
import time
from collections.abc import Callable

from bayford.protocol.cloud_api import CloudBusyError
from bayford.storage.key_value_store import LeaseGoneError, OutcomeUnknownError, UnavailableError

log = logging.getLogger(__name__)

RETRY_S = 0.3  # delay after an external service refused or did not answer a request
RETRY_AFTER_FAULT_S = 1.0  # delay after a step failed because of a programming error

Step = Callable[[], float]  # runs once; returns the seconds to wait before the next run


def start_loop(name: str, step: Step) -> None:
    """Start a daemon thread that repeats `step`."""
    threading.Thread(target=_run, args=(name, step), name=name, daemon=True).start()


def _run(name: str, step: Step) -> None:
    while True:
        try:
            pause_s = step()
        except (UnavailableError, OutcomeUnknownError, LeaseGoneError, CloudBusyError) as error:
            log.debug("retrying: loop=%s error=%s", name, error)
            pause_s = RETRY_S
        except Exception:
            # If the thread ended, the controller would look alive but no longer do this work.
            log.exception("step failed: loop=%s", name)
            pause_s = RETRY_AFTER_FAULT_S
        if pause_s > 0:
            time.sleep(pause_s)
