"""Threads that repeat one step until the process ends."""

import logging
import threading
import time
from collections.abc import Callable

from bayford.protocol.cloud_api import CloudBusyError
from bayford.storage.key_value_store import LeaseGoneError, OutcomeUnknownError, UnavailableError

log = logging.getLogger(__name__)

RETRY_S = 0.3  # after a step that a service outside refused or did not answer
RETRY_AFTER_FAULT_S = 1.0  # after a step that failed for a fault of the program

Step = Callable[[], float]  # does its work once; seconds to wait before the next time


def start_loop(name: str, step: Step) -> None:
    """Repeat `step` in a daemon thread of its own."""
    threading.Thread(target=_run, args=(name, step), name=name, daemon=True).start()


def _run(name: str, step: Step) -> None:
    while True:
        try:
            pause_s = step()
        except (UnavailableError, OutcomeUnknownError, LeaseGoneError, CloudBusyError) as error:
            log.debug("retrying: loop=%s error=%s", name, error)
            pause_s = RETRY_S
        except Exception:
            # A thread that died would leave a controller that looks alive and does nothing.
            log.exception("step failed: loop=%s", name)
            pause_s = RETRY_AFTER_FAULT_S
        if pause_s > 0:
            time.sleep(pause_s)
