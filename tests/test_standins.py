"""The stand-ins that the tests over loopback rely on."""

import socket
from pathlib import Path

import pytest

from standins.controllers import ControllerEndedError
from standins.site import Site, await_state


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
