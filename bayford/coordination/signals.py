"""Events by which the threads of one controller wake one another."""

import threading


class Signals:
    """One event for each loop that others wake. Setting an event twice before its loop runs wakes it once."""

    def __init__(self) -> None:
        self.round = threading.Event()  # something has changed for the next scheduling round
        self.commit = threading.Event()  # the leader's state has changes to write
        self.verify = threading.Event()  # somebody waits for a verification of leadership
        self.verified = threading.Event()  # a verification has succeeded since it was cleared
