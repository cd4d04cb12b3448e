"""The size limit of messages, and how many tasks and commands fit into one message.

The protocol limits a request body, in both directions, and each line of a response to 64 KiB. A worker's
heartbeat lists every task on the machine, so the controllers have to bound the tasks of a machine: a longer
heartbeat would be refused by every controller, and the worker's lease would expire. The bound is in bytes of
the heartbeat's task list. It leaves room for the longest names, the largest integers and a space after each
comma and colon of the worker's JSON.
"""

import json
from collections.abc import Collection, Sequence
from typing import NamedTuple

import msgspec

from bayford.protocol import jobs, workers
from bayford.scheduling.model import AttemptKey

MAX_MESSAGE_BYTES = 64 * 1024  # of a request body, and of a line of a response
MAX_INTEGER = 2**64 - 1  # of attempts, epochs, sequence numbers and fencing tokens
LONGEST_DURATION_S = -1.2345678901234567e-300  # a number with as many characters as a float can have

_REASONS = (
    workers.FULL,
    workers.BUSY,
    workers.UNKNOWN,
    workers.DONE,
    workers.STOPPED,
    workers.ERROR,
    workers.PEER_LOST,
    workers.GANG_INCOMPLETE,
)
_PHASES = (workers.FETCHING, workers.GATHERING, workers.RUNNING, workers.CHECKPOINTING)
_ENTRY_SEPARATOR_CHARS = 2  # a comma and a space
_ESCAPE_CHARS = 1  # some encoders write the slash of a task id as `\/`


def _spaced_bytes(message: msgspec.Struct) -> int:
    """The bytes of a message as JSON with a space after each comma and colon."""
    return len(json.dumps(msgspec.to_builtins(message)))


def _report_entry_overhead() -> int:
    """The bytes of the longest entry of a heartbeat's task list, without the characters of the task id."""
    outcomes: list[tuple[str, str | None]] = [(phase, None) for phase in _PHASES]
    outcomes += [(workers.ENDED, reason) for reason in _REASONS]
    longest = max(
        _spaced_bytes(workers.TaskState("", MAX_INTEGER, phase, reason, is_checkpointed))
        for phase, reason in outcomes
        for is_checkpointed in (False, True)
    )
    return longest + _ENTRY_SEPARATOR_CHARS + _ESCAPE_CHARS


def _report_header_bytes() -> int:
    """The bytes of the longest heartbeat without its tasks."""
    name = "x" * jobs.MAX_NAME
    integer = MAX_INTEGER
    return _spaced_bytes(
        workers.Heartbeat(
            machine=name,
            address=name,
            type=name,
            zone=name,
            spot=False,
            epoch=integer,
            sequence=integer,
            fencing_token=integer,
            tasks=[],
            reclaim_notice_s=LONGEST_DURATION_S,
        )
    )


MAX_TASK_ID_CHARS = len(workers.format_task_id("x" * jobs.MAX_JOB_ID_CHARS, jobs.MAX_TASKS - 1))
REPORT_ENTRY_OVERHEAD_BYTES = _report_entry_overhead()
LONGEST_REPORT_ENTRY_BYTES = REPORT_ENTRY_OVERHEAD_BYTES + MAX_TASK_ID_CHARS
SHORTEST_REPORT_ENTRY_BYTES = REPORT_ENTRY_OVERHEAD_BYTES + len(workers.format_task_id("req-x", 0))
# The room of a machine for the tasks that its worker lists: those placed on it, and ended or unknown ones.
MAX_REPORT_ENTRIES_BYTES = MAX_MESSAGE_BYTES - _report_header_bytes()
MIN_REPORTABLE_TASKS = MAX_REPORT_ENTRIES_BYTES // LONGEST_REPORT_ENTRY_BYTES

LONGEST_COMMAND_BYTES = 1 + max(
    len(workers.encode_command(command))
    for command in (
        workers.Start("x" * MAX_TASK_ID_CHARS, MAX_INTEGER),
        workers.Stop("x" * MAX_TASK_ID_CHARS, MAX_INTEGER, LONGEST_DURATION_S),
        workers.Reap("x" * MAX_TASK_ID_CHARS, MAX_INTEGER),
    )
)
# Of a heartbeat's response and of a direct command, around the commands.
COMMANDS_ENVELOPE_BYTES = len(workers.encode_stop_commands(MAX_INTEGER, MAX_INTEGER, []))
MIN_COMMANDS_PER_MESSAGE = (MAX_MESSAGE_BYTES - COMMANDS_ENVELOPE_BYTES) // LONGEST_COMMAND_BYTES


class BoundedCommands(NamedTuple):
    """The commands that fit into a response to a heartbeat."""

    commands: list[workers.Command]
    deferred: int  # number of commands that did not fit


def report_entry_bytes(task_id: str) -> int:
    """The bytes that the worker's entry for the task may take in its heartbeat."""
    return REPORT_ENTRY_OVERHEAD_BYTES + len(task_id)


def longest_report_entry_bytes(job_id: str, tasks: int) -> int:
    """The bytes that the entry for any of the job's tasks may take, the job having `tasks` tasks."""
    return report_entry_bytes(workers.format_task_id(job_id, tasks - 1))


def reportable_tasks(entry_bytes: int) -> int:
    """How many tasks a machine can report whose entries take up to `entry_bytes` each."""
    return MAX_REPORT_ENTRIES_BYTES // entry_bytes


def reportable_starts(
    starts: Sequence[workers.Start], listed: Collection[AttemptKey]
) -> Sequence[workers.Start]:
    """Return the leading starts whose tasks fit into the worker's heartbeat beside those that it lists."""
    if len(starts) + len(listed) <= MIN_REPORTABLE_TASKS:
        return starts
    free_bytes = MAX_REPORT_ENTRIES_BYTES - sum(report_entry_bytes(task_id) for task_id, _ in listed)
    fitting = []
    for start in starts:
        free_bytes -= report_entry_bytes(start.task_id)
        if free_bytes < 0:
            break
        fitting.append(start)
    return fitting


def leading_commands(commands: list[workers.Command]) -> list[workers.Command]:
    """Return the leading commands that fit into one message to a worker: a response or a direct command."""
    if len(commands) <= MIN_COMMANDS_PER_MESSAGE:
        return commands
    free_bytes = MAX_MESSAGE_BYTES - COMMANDS_ENVELOPE_BYTES
    fitting: list[workers.Command] = []
    for command in commands:
        free_bytes -= 1 + len(workers.encode_command(command))  # 1: the comma after it
        if free_bytes < 0:
            break
        fitting.append(command)
    return fitting


def bounded_commands(
    stops_and_reaps: Sequence[workers.Command],
    starts: Sequence[workers.Start],
    listed: Collection[AttemptKey],
) -> BoundedCommands:
    """Return the commands for a response to a heartbeat; what does not fit goes into the next response.

    Commands come in the order of the arguments. Stops and reaps shorten the next heartbeats, so the starts
    behind them follow. `listed`: the tasks and attempts in the heartbeat.
    """
    commands = leading_commands([*stops_and_reaps, *reportable_starts(starts, listed)])
    return BoundedCommands(commands, len(stops_and_reaps) + len(starts) - len(commands))
