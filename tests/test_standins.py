"""The stand-ins that the tests over loopback rely on."""

import socket
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from standins.controllers import ControllerEndedError, Controllers
from standins.ports import BLOCK_SIZE, END_PORT, FIRST_PORT, PortBlock
from standins.site import Site, await_state

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


def test_a_block_with_a_port_in_use_is_passed_over_and_closed_blocks_are_free_again() -> None:
    first = PortBlock(3)
    first.close()
    with socket.socket() as occupied:
        occupied.bind(("127.0.0.1", first.ports[1]))
        occupied.listen()
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
    with socket.socket() as occupied:
        occupied.bind((host, int(port)))
        occupied.listen()
        with (
            site,
            pytest.raises(
                ControllerEndedError,
                match=rf"n0 ended with status 3:\n(?s:.*)cannot listen: server=front address={host}:{port} ",
            ),
        ):
            await_state(lambda: False, "nothing")
