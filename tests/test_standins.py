"""The stand-ins that the tests over loopback rely on."""

import socket
import subprocess
import sys
import threading
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from standins.controllers import ControllerEndedError, Controllers
from standins.ports import BLOCK_SIZE, END_PORT, FIRST_PORT, PortBlock
from standins.site import Site, await_state, job
from standins.users import Users

ROOT = Path(__file__).resolve().parent.parent
SITES = 60
PORTS_PER_SITE = 6
RESERVE_MANY = f"""
from standins.ports import PortBlock
blocks = [PortBlock({PORTS_PER_SITE}) for _ in range({SITES})]
print(*(port for block in blocks for port in block.ports), flush=True)
input()  # holds the ports until the test has read them
"""


def test_many_sites_at_once_never_share_a_port(tmp_path: Path) -> None:
    """Guards against a controller that ended at its start, since another site had taken its port."""
    zones = {"n0": "north", "n1": "south", "n2": "north"}
    folders = [tmp_path / str(n) for n in range(SITES)]
    for folder in folders:
        folder.mkdir()
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", RESERVE_MANY],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(3)
    ]
    with ThreadPoolExecutor(SITES) as pool:
        sites = list(pool.map(lambda folder: Controllers(folder, zones, "", ""), folders))
    taken = [int(port) for process in processes for port in _stdout_line(process).split()]
    taken += [int(address.partition(":")[2]) for site in sites for address in site.all_addresses()]
    for process in processes:
        process.communicate("\n", timeout=10)
    for site in sites:
        site.close()
    assert len(taken) == len(set(taken)) == 4 * SITES * PORTS_PER_SITE


def _stdout_line(process: "subprocess.Popen[str]") -> str:
    assert process.stdout is not None
    return process.stdout.readline()


def test_the_users_of_a_failed_test_stop_with_its_site(tmp_path: Path) -> None:
    """Guards against 24 threads that went on after a failed flood and failed a test that counts threads."""
    site = Site(tmp_path, "")
    users = Users(site, 1)
    flood = threading.Thread(target=users.flood, args=(_small_job, 10.0, 60.0, 0.1), daemon=True)
    flood.start()
    with pytest.raises(TimeoutError), site:
        await_state(lambda: False, "nothing", timeout_s=1.0)
    flood.join(timeout=1.0)
    assert users.submissions
    assert not flood.is_alive()
    assert [thread.name for thread in threading.enumerate() if thread.name.startswith("user-")] == []


def _small_job(number: int) -> dict[str, Any]:
    return job(number, "img-0", 1)


def test_a_block_with_a_port_in_use_is_passed_over_and_closed_blocks_are_free_again() -> None:
    first = PortBlock(3)
    first.close()
    with _listening_socket("127.0.0.1", first.ports[1]):
        second = PortBlock(3)
        second.close()
    assert second.ports != first.ports
    for _ in range(END_PORT - FIRST_PORT):  # more than there are blocks
        PortBlock(3).close()
    with pytest.raises(ValueError, match="not 16"):
        PortBlock(BLOCK_SIZE)


def test_a_controller_that_cannot_listen_ends_and_its_site_says_so_at_once(tmp_path: Path) -> None:
    """Guards against a test that waited 120 s for a controller that had ended at its start."""
    site = Site(tmp_path, "")
    host, _, port = site.controllers.front_addresses["n0"].partition(":")
    message = rf"n0 ended with status 3:\n(?s:.*)cannot listen: server=front address={host}:{port} "
    with _listening_socket(host, int(port)), site, pytest.raises(ControllerEndedError, match=message):
        await_state(lambda: False, "nothing")


def _listening_socket(host: str, port: int) -> socket.socket:
    """Returns a socket that occupies an address. Like a controller's, it may follow a closed one at once."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen()
    return sock
